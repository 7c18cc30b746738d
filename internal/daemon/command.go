package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/entry"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
	"github.com/ragwortdoor/ragwortdoor/internal/signals"
)

// Exit codes of ragwortdoord.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2 // invalid flags or settings
)

const (
	flagSettings     = "settings"
	flagCheck        = "check"
	flagDeployment   = "deployment"
	flagPlatformOnly = "platform-only"
	flagPortOffset   = "port-offset"
	flagLogLevel     = "log-level"
)

// Main runs the command line args, with the package's own commands and extra ones,
// and returns the exit code. Cancelling ctx stops the process gracefully.
func Main(ctx context.Context, args []string, extra ...*cli.Command) int {
	err := rootCommand(extra...).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "ragwortdoord:", err)
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return ExitSettings
	}
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitSettings
	}
	return ExitFailure
}

// usageError wraps an error in the command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func rootCommand(extra ...*cli.Command) *cli.Command {
	root := &cli.Command{
		Name:  "ragwortdoord",
		Usage: "serve rarely used language models",
		Description: "Exit codes: 0 after a planned stop, 1 on a failure, 2 on wrong flags or settings.\n" +
			"SIGTERM and SIGINT stop a process after its running requests have ended.\n" +
			"SIGHUP makes a router read its settings again, also while it stops; it stops dev.",
		Action:         unknownCommand,
		OnUsageError:   onUsageError,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       append([]*cli.Command{routerCommand(), devCommand()}, extra...),
	}
	for _, sub := range root.Commands {
		sub.OnUsageError = onUsageError
	}
	return root
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{err}
}

// unknownCommand shows the help when no command was given, and fails for one that
// does not exist.
func unknownCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return &usageError{fmt.Errorf("no command %q: see \"ragwortdoord --help\"", name)}
	}
	return cli.ShowRootCommandHelp(cmd)
}

func routerCommand() *cli.Command {
	return &cli.Command{
		Name:  "router",
		Usage: "run the router of an entry host",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE`, JSON; must be given"},
			&cli.BoolFlag{Name: flagCheck, Usage: "check the settings and exit"},
		},
		Action: runRouter,
	}
}

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a router and stand-ins for everything around it, on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDeployment, Usage: "`NAME` of the sample deployment: " + deploymentNames(), Value: sample.OffcutGiveaway().Name},
			&cli.BoolFlag{Name: flagPlatformOnly, Usage: "run the stand-ins alone"},
			&cli.IntFlag{Name: flagPortOffset, Usage: "`NUMBER` added to each port, 8080 to 8320 without it"},
			&cli.StringFlag{Name: flagLogLevel, Usage: "`LEVEL` of logs: debug, info, warn or error", Value: "info"},
		},
		Action: runDev,
	}
}

func deploymentNames() string {
	var names []string
	for _, s := range sample.Shapes() {
		names = append(names, s.Name)
	}
	return strings.Join(names, ", ")
}

func runRouter(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String(flagSettings)
	if path == "" {
		return &usageError{errors.New("no settings: pass --settings FILE, see docs/operators/settings.md")}
	}
	cfg, err := settings.LoadRouter(path)
	if err != nil || cmd.Bool(flagCheck) {
		return err
	}
	level, err := parseLevel(cfg.GetLog().GetLevel())
	if err != nil {
		return err
	}
	logger := decisionlog.New(level)
	defer logger.Start(os.Stdout)()
	r, err := NewRouter(cfg, logger)
	if err != nil {
		return err
	}
	go r.process.ReloadOnHangup(signals.Hangups(), func() (entry.Settings, error) {
		next, err := settings.LoadRouter(path)
		return entrySettings(next), err
	})
	return r.Run(ctx)
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	shape, err := sample.ByName(cmd.String(flagDeployment))
	if err != nil {
		return &usageError{err}
	}
	level, err := parseLevel(cmd.String(flagLogLevel))
	if err != nil {
		return err
	}
	logger := decisionlog.New(level)
	defer logger.Start(os.Stdout)()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals.Hangups() // the terminal was closed
		cancel()
	}()
	return RunDev(ctx, DevOptions{Shape: shape, PlatformOnly: cmd.Bool(flagPlatformOnly), PortOffset: cmd.Int(flagPortOffset), Log: logger})
}

func parseLevel(name string) (log.Level, error) {
	level, err := log.ParseLevel(name)
	if err != nil {
		return 0, &usageError{fmt.Errorf("log level %q: choose debug, info, warn or error: %w", name, err)}
	}
	return level, nil
}
