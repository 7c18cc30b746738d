package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/entry"
	"github.com/ragwortdoor/ragwortdoor/platform"
)

const (
	flagEntrySettings = "settings"
	flagEntryCheck    = "check"
)

// entryCommand runs the process of an entry host on the users' platform.
func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the router of an entry host on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagEntrySettings, Usage: "settings `FILE` of the platform, JSON", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.BoolFlag{Name: flagEntryCheck, Usage: "check the settings and exit"},
		},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String(flagEntrySettings)
	settings, err := platform.LoadSettings(path)
	if err != nil || cmd.Bool(flagEntryCheck) {
		return err
	}
	logger := decisionlog.New(log.InfoLevel)
	defer logger.Start(os.Stdout)()
	go reloadOnHangup(ctx, path, logger)
	store := platform.NewStore(settings.StoreAddr)
	pool := platform.NewPool()
	return entry.New(settings.Entry, entry.Deps{
		Dialect: platform.Dialect{},
		Table:   store,
		Source:  store,
		Engines: platform.NewEngines(pool),
		Pool:    pool,
		Log:     logger,
	}).Run(ctx)
}

// reloadOnHangup checks the settings again on SIGHUP. Addresses and bounds are
// those of the host and take effect at the next start.
func reloadOnHangup(ctx context.Context, path string, logger *decisionlog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := platform.LoadSettings(path); err != nil {
			logger.Warn("reload", "outcome", "kept", "err", err)
			continue
		}
		logger.Info("reload", "outcome", "checked", "settings", path)
	}
}
