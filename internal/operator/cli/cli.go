// Package cli implements ragwortdoor, the command-line tool for operators. It
// publishes object sets, shows and drains nodes, and evaluates router logs.
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
	// dialTimeout limits the wait for a server that cannot be reached.
	dialTimeout = 3 * time.Second
)

const description = `Exit codes:
  0  success
  1  failure, for example because no router responds or the platform is down
  2  usage error or invalid object set
  3  the object, revision, request or host does not exist
  4  conflict: another operator made a change first
  5  apply --wait: published, but some routers did not confirm it in time

If --server lists several routers, they are tried in order.`

// Run executes the command line args, with the program name first, and returns
// the exit code.
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
		Usage:       "publish object sets, show and drain nodes, and explain slow requests",
		Description: description,
		Writer:      stdout,
		ErrWriter:   stderr,
		Suggest:     true,
		Flags:       globalFlags(),
		Action:      rootAction,
		// Run returns the exit code; the library must not exit the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
	}
	app.Commands = append(app.Commands, configCommands()...)
	app.Commands = append(app.Commands, nodeCommands()...)
	app.Commands = append(app.Commands, logCommands()...)
	for _, command := range app.Commands {
		command.OnUsageError = onUsageError
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
		&cli.StringFlag{Name: flagServer, Value: defaultServer, Usage: "operator API URL of a router, or several separated by commas", Sources: cli.EnvVars("RAGWORTDOOR_SERVER")},
		&cli.StringFlag{Name: flagTokenFile, Usage: "file with the bearer token of the operator API", Sources: cli.EnvVars("RAGWORTDOOR_TOKEN_FILE")},
		&cli.StringFlag{Name: flagCA, Usage: "PEM file with the CA certificates for https servers"},
		&cli.StringFlag{Name: flagCert, Usage: "PEM file with the certificate to present to routers that require one"},
		&cli.StringFlag{Name: flagKey, Usage: "PEM file with the private key of the certificate"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "output format: table or json", Validator: checkOutput},
	}
}

func checkOutput(format string) error {
	if format != outputTable && format != outputJSON {
		return fmt.Errorf("unknown output format %q: choose table or json", format)
	}
	return nil
}

func rootAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageErrorf("unknown command %q: see \"ragwortdoor --help\"", cmd.Args().First())
	}
	if err := cli.ShowRootCommandHelp(cmd); err != nil {
		return err
	}
	return usageErrorf("no command given")
}

// newClient creates a client from the global flags.
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
		return nil, usageErrorf("file %q does not exist: pass an existing file, or - for standard input", path)
	}
	return data, err
}

// arguments returns the positional arguments. It returns a usage error unless
// there are between minArgs and maxArgs of them.
func arguments(cmd *cli.Command, minArgs, maxArgs int) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < minArgs || len(args) > maxArgs {
		return nil, usageErrorf("wrong number of arguments: %s %s", cmd.FullName(), cmd.ArgsUsage)
	}
	return args, nil
}
