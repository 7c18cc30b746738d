package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// live are the settings that change while the process runs.
type live struct {
	stopGrace  time.Duration
	stopLinger time.Duration
}

func liveOf(s Settings) *live {
	out := &live{stopGrace: s.StopGrace, stopLinger: s.DrainDelay}
	if out.stopLinger <= 0 {
		out.stopLinger = time.Duration(stopLingerShare * float64(s.StopGrace))
	}
	return out
}

// Reload takes over the settings that can change while the process runs: those of
// a stop, and the share of retries. It returns the names of the others that
// differ, which take effect at the next start.
func (p *Process) Reload(next Settings) (pending []string) {
	p.front.live.Store(liveOf(next))
	p.front.budget.SetShare(next.RetryShare * retryMargin)
	for _, field := range []struct {
		name   string
		differ bool
	}{
		{"host", next.Host != p.settings.Host},
		{"failure domain", next.FailureDomain != p.settings.FailureDomain},
		{"callers' address", next.CallerAddr != p.settings.CallerAddr},
		{"readiness address", next.ReadyAddr != p.settings.ReadyAddr},
		{"peers' address", next.PeerAddr != p.settings.PeerAddr},
		{"metrics address", next.MetricsAddr != p.settings.MetricsAddr},
		{"cores", next.Cores != p.settings.Cores},
		{"lease time", next.LeaseTime != p.settings.LeaseTime},
		{"engines check fences", next.EnginesCheckFence != p.settings.EnginesCheckFence},
		{"load window", next.LoadWindow != p.settings.LoadWindow},
	} {
		if field.differ {
			pending = append(pending, field.name)
		}
	}
	return pending
}

// ReloadOnHangup loads the settings again at each SIGHUP until ctx ends. A file
// that can't be used changes nothing.
func (p *Process) ReloadOnHangup(ctx context.Context, load func() (Settings, error)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		next, err := load()
		if err != nil {
			p.deps.Log.Warn("reload", "outcome", "kept", "err", err)
			continue
		}
		p.deps.Log.Info("reload", "outcome", "applied", "at_next_start", p.Reload(next))
	}
}
