package main

import (
	"context"
	"os"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/entry"
	"github.com/ragwortdoor/ragwortdoor/internal/signals"
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

// eraLog logs the eras of the platform's store.
type eraLog struct{ out *decisionlog.Logger }

// StoreRestored implements platform.EraObserver.
func (l eraLog) StoreRestored(era, previous int64) {
	l.out.Warn("store restored", "era", era, "previous", previous, "remedy", "none: lists are read again, and what the store lost is kept until it is written again")
}

// StoreEraFell implements platform.EraObserver.
func (l eraLog) StoreEraFell(era, highest int64) {
	l.out.Warn("store era fell", "era", era, "highest", highest, "remedy", "check that the settings name the store that was used before")
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String(flagEntrySettings)
	settings, err := platform.LoadSettings(path)
	if err != nil || cmd.Bool(flagEntryCheck) {
		return err
	}
	logger := decisionlog.New(log.InfoLevel)
	defer logger.Start(os.Stdout)()
	store := platform.NewStore(settings.StoreAddr, eraLog{logger})
	pool := platform.NewPool()
	process := entry.New(settings.Entry, entry.Deps{
		Dialect: platform.Dialect{},
		Table:   store,
		Source:  store,
		Engines: platform.NewEngines(pool),
		Pool:    pool,
		Log:     logger,
	})
	go process.ReloadOnHangup(signals.Hangups(), func() (entry.Settings, error) {
		next, err := platform.LoadSettings(path)
		return next.Entry, err
	})
	return process.Run(ctx)
}
