// Package cli is the operators' command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
)

const (
	defaultServer = "http://127.0.0.1:8081"
	callTimeout   = 30 * time.Second
	// dialTimeout bounds the wait for a server that can't be reached.
	dialTimeout = 3 * time.Second
)

const description = `Exit codes:
  0  done
  1  failure, for example no router or platform answers
  2  wrong usage, or an object set with faults
  3  the object, revision, request or host is not known
  4  conflict: another operator came first
  5  apply --wait: published, but some routers have not confirmed it in time

Several servers, separated by commas, are tried in turn.`

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := newApp(stdout, stderr)
	err := app.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	printError(app, stderr, err)
	return exitCode(err)
}

func newApp(stdout, stderr io.Writer) *cli.Command {
	app := &cli.Command{
		Name:        "ragwortdoor",
		Usage:       "publish object sets, see the nodes, and learn why requests waited",
		Description: description,
		Writer:      stdout,
		ErrWriter:   stderr,
		Suggest:     true,
		Flags:       globalFlags(),
		Action:      noCommand,
		// The exit code is Run's result.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
	}
	app.Commands = append(app.Commands, configCommands()...)
	app.Commands = append(app.Commands, nodeCommands()...)
	app.Commands = append(app.Commands, waitCommands()...)
	for _, command := range app.Commands {
		command.OnUsageError = usageError
	}
	return app
}

const (
	flagServer    = "server"
	flagTokenFile = "token-file"
	flagCA        = "tls-ca-file"
	flagCert      = "tls-cert-file"
	flagKey       = "tls-key-file"
	flagOutput    = "output"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagServer, Value: defaultServer, Usage: "operator API of a router, or several separated by commas", Sources: cli.EnvVars("RAGWORTDOOR_SERVER")},
		&cli.StringFlag{Name: flagTokenFile, Usage: "file with the shared token", Sources: cli.EnvVars("RAGWORTDOOR_TOKEN_FILE")},
		&cli.StringFlag{Name: flagCA, Usage: "authority of the routers' certificates, PEM, for https servers"},
		&cli.StringFlag{Name: flagCert, Usage: "certificate to show to routers that demand one, PEM"},
		&cli.StringFlag{Name: flagKey, Usage: "key of the certificate, PEM"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "table or json", Validator: checkOutput},
	}
}

func checkOutput(format string) error {
	if format != outputTable && format != outputJSON {
		return fmt.Errorf("output %q is not known: choose table or json", format)
	}
	return nil
}

func noCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usage("no command %q: see \"ragwortdoor --help\"", cmd.Args().First())
	}
	if err := cli.ShowRootCommandHelp(cmd); err != nil {
		return err
	}
	return usage("a command is missing")
}

// newClient makes a client from the global flags.
func newClient(cmd *cli.Command) (*operator.Client, error) {
	creds, err := settings.Credentials(&apiv1.SecuritySettings{
		TokenFile:   cmd.String(flagTokenFile),
		TlsCaFile:   cmd.String(flagCA),
		TlsCertFile: cmd.String(flagCert),
		TlsKeyFile:  cmd.String(flagKey),
	})
	if err != nil {
		return nil, err
	}
	var servers []string
	for server := range strings.SplitSeq(cmd.String(flagServer), ",") {
		if server = strings.TrimSpace(server); server != "" {
			servers = append(servers, server)
		}
	}
	return operator.NewClient(operator.ClientOptions{
		Servers: servers,
		Token:   creds.Token,
		HTTP: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				TLSClientConfig: creds.Client,
				DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			},
		},
	}), nil
}

// readFile reads a file, or standard input for "-".
func readFile(cmd *cli.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.Root().Reader)
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, usage("no file %q: name a file that exists, or - for standard input", path)
	}
	return data, err
}

// arguments returns the positional arguments, or a usage error when their
// number is wrong.
func arguments(cmd *cli.Command, least, most int) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < least || len(args) > most {
		return nil, usage("wrong number of arguments: %s %s", cmd.FullName(), cmd.ArgsUsage)
	}
	return args, nil
}
