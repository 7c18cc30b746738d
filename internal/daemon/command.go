package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
)

// Exit codes of ragwortdoord.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2 // wrong flags or settings
)

const (
	flagSettings     = "settings"
	flagDeployment   = "deployment"
	flagPlatformOnly = "platform-only"
	flagPortOffset   = "port-offset"
	flagLogLevel     = "log-level"
	flagSuite        = "suite"
	flagSeed         = "seed"
	flagDuration     = "duration"
	flagRate         = "rate"
	flagRuns         = "runs"
	flagSlowest      = "slowest"
	flagOnly         = "only"

	allDeployments = "all"
)

// Main runs the command line, with more commands than the package's own, and
// returns the exit code. A cancelled ctx stops the process gracefully.
func Main(ctx context.Context, args []string, more ...*cli.Command) int {
	err := command(more...).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "ragwortdoord:", err)
	var wrong *settings.Error
	if errors.As(err, &wrong) {
		return ExitSettings
	}
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitSettings
	}
	return ExitFailure
}

// usageError is a wrong command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func command(more ...*cli.Command) *cli.Command {
	root := &cli.Command{
		Name:  "ragwortdoord",
		Usage: "serve rarely used language models",
		Description: "Exit codes: 0 after a planned stop, 1 on a failure, 2 on wrong flags or settings.\n" +
			"SIGTERM and SIGINT stop a process after its running requests have ended.",
		Action:         unknownCommand,
		OnUsageError:   wrongUsage,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       append([]*cli.Command{routerCommand(), sidecarCommand(), devCommand(), loadTestCommand()}, more...),
	}
	for _, sub := range root.Commands {
		sub.OnUsageError = wrongUsage
	}
	return root
}

func wrongUsage(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{err}
}

// unknownCommand runs when no command was named, or one that does not exist.
func unknownCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return &usageError{fmt.Errorf("no command %q: see \"ragwortdoord --help\"", name)}
	}
	return cli.ShowRootCommandHelp(cmd)
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: flagSettings, Usage: "settings `FILE`, JSON; must be given"}
}

// settingsPath returns the file that the command line names.
func settingsPath(cmd *cli.Command) (string, error) {
	path := cmd.String(flagSettings)
	if path == "" {
		return "", &usageError{errors.New("no settings: pass --settings FILE, see docs/operators/settings.md")}
	}
	return path, nil
}

func routerCommand() *cli.Command {
	return &cli.Command{
		Name:   "router",
		Usage:  "run the router of an entry host",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runRouter,
	}
}

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:   "sidecar",
		Usage:  "run the sidecar of an upstream host",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runSidecar,
	}
}

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a router, sidecars and stand-ins for the platform on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDeployment, Usage: "`NAME` of the sample deployment: " + deploymentNames(), Value: sample.OffcutGiveaway().Name},
			&cli.BoolFlag{Name: flagPlatformOnly, Usage: "run the stand-ins alone"},
			&cli.IntFlag{Name: flagPortOffset, Usage: "`NUMBER` added to each port, 8080 to 8320 without it"},
			&cli.StringFlag{Name: flagLogLevel, Usage: "`LEVEL` of logs: debug, info, warn or error", Value: "info"},
		},
		Action: runDev,
	}
}

func loadTestCommand() *cli.Command {
	return &cli.Command{
		Name:  "loadtest",
		Usage: "run load against a deployment of stand-ins in this process and print tables",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDeployment, Usage: "`NAME` of the sample deployment, or all: " + deploymentNames(), Value: allDeployments},
			&cli.StringFlag{Name: flagSuite, Usage: "`NAME` of the comparison: " + suiteNames(), Value: suiteScenarios},
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed of the load", Value: 1},
			&cli.DurationFlag{Name: flagDuration, Usage: "length of one run", Value: 20 * time.Second},
			&cli.FloatFlag{Name: flagRate, Usage: "chat requests a second", Value: 10},
			&cli.StringFlag{Name: flagOnly, Usage: "run the trials whose scenario or policy contains `TEXT`"},
			&cli.IntFlag{Name: flagSlowest, Usage: "wait records to print for each run: failed requests, then the slowest"},
			&cli.IntFlag{Name: flagRuns, Usage: "runs of each policy, with consecutive seeds", Value: 1},
			&cli.StringFlag{Name: flagLogLevel, Usage: "`LEVEL` of logs: debug, info, warn or error", Value: "error"},
		},
		Action: runLoadTest,
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
	path, err := settingsPath(cmd)
	if err != nil {
		return err
	}
	cfg, err := settings.LoadRouter(path)
	if err != nil {
		return err
	}
	logger, err := newLogger(cfg.GetLog())
	if err != nil {
		return err
	}
	r, err := NewRouter(cfg, logger)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

func runSidecar(ctx context.Context, cmd *cli.Command) error {
	path, err := settingsPath(cmd)
	if err != nil {
		return err
	}
	cfg, err := settings.LoadSidecar(path)
	if err != nil {
		return err
	}
	logger, err := newLogger(cfg.GetLog())
	if err != nil {
		return err
	}
	s, err := NewSidecar(cfg, logger)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	shape, err := sample.ByName(cmd.String(flagDeployment))
	if err != nil {
		return &usageError{err}
	}
	logger, err := newLogger(&apiv1.LogSettings{Level: cmd.String(flagLogLevel)})
	if err != nil {
		return err
	}
	return RunDev(ctx, DevOptions{Shape: shape, PlatformOnly: cmd.Bool(flagPlatformOnly), PortOffset: cmd.Int(flagPortOffset), Log: logger})
}

func runLoadTest(ctx context.Context, cmd *cli.Command) error {
	shapes := sample.Shapes()
	if name := cmd.String(flagDeployment); name != allDeployments {
		shape, err := sample.ByName(name)
		if err != nil {
			return &usageError{err}
		}
		shapes = []sample.Shape{shape}
	}
	logger, err := newLogger(&apiv1.LogSettings{Level: cmd.String(flagLogLevel)})
	if err != nil {
		return err
	}
	return RunLoadTest(ctx, LoadTestOptions{
		Shapes:   shapes,
		Suite:    cmd.String(flagSuite),
		Seed:     cmd.Uint64(flagSeed),
		Duration: cmd.Duration(flagDuration),
		Rate:     cmd.Float(flagRate),
		Runs:     cmd.Int(flagRuns),
		Only:     cmd.String(flagOnly),
		Slowest:  cmd.Int(flagSlowest),
		Out:      os.Stdout,
		Log:      logger,
	})
}

// newLogger logs to standard error as the settings say.
func newLogger(cfg *apiv1.LogSettings) (*log.Logger, error) {
	level := log.InfoLevel
	if cfg.GetLevel() != "" {
		parsed, err := log.ParseLevel(cfg.GetLevel())
		if err != nil {
			return nil, &usageError{fmt.Errorf("log level %q: choose debug, info, warn or error: %w", cfg.GetLevel(), err)}
		}
		level = parsed
	}
	formatter := log.LogfmtFormatter
	switch cfg.GetFormat() {
	case "json":
		formatter = log.JSONFormatter
	case "text":
		formatter = log.TextFormatter
	}
	return log.NewWithOptions(os.Stderr, log.Options{Level: level, Formatter: formatter, ReportTimestamp: true}), nil
}
