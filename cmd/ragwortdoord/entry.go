package main

import (
	"context"
	"os"

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

// entryCommand returns the command that runs the router of an entry host on the users'
// platform.
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
	store := platform.NewStore(settings.StoreAddr)
	pool := platform.NewPool()
	process := entry.New(settings.Entry, entry.Deps{
		Dialect: platform.Dialect{},
		Table:   store,
		Source:  store,
		Engines: platform.NewEngines(pool),
		Pool:    pool,
		Log:     logger,
	})
	go process.ReloadOnHangup(ctx, func() (entry.Settings, error) {
		next, err := platform.LoadSettings(path)
		return next.Entry, err
	})
	return process.Run(ctx)
}
