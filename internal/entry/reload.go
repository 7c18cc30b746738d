package entry

import (
	"os"
	"time"
)

// reloadableSettings are the settings that can change while the process runs. A value is
// replaced as one and never modified.
type reloadableSettings struct {
	stopGrace  time.Duration
	drainDelay time.Duration
}

func newReloadable(s Settings) *reloadableSettings {
	out := &reloadableSettings{stopGrace: s.StopGrace, drainDelay: s.DrainDelay}
	if out.drainDelay <= 0 {
		out.drainDelay = time.Duration(drainDelayShare * float64(s.StopGrace))
	}
	return out
}

// Reload applies the settings that can change while the process runs: StopGrace,
// DrainDelay and RetryShare. It returns the names of the other settings that differ; they
// take effect at the next start.
func (p *Process) Reload(next Settings) (pending []string) {
	p.handler.reloadable.Store(newReloadable(next))
	p.handler.budgets.setShare(next.RetryShare)
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
		{"memory", next.MemoryBytes != p.settings.MemoryBytes},
		{"descriptors", next.MaxDescriptors != p.settings.MaxDescriptors},
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

// ReloadOnHangup reloads the settings for each value of hangups until it is closed. It is to
// run until the process exits: a stopping process applies settings, too. If load fails, the
// settings stay as they are.
func (p *Process) ReloadOnHangup(hangups <-chan os.Signal, load func() (Settings, error)) {
	for range hangups {
		next, err := load()
		if err != nil {
			p.deps.Log.Warn("reload", "outcome", "kept", "err", err)
			continue
		}
		p.deps.Log.Info("reload", "outcome", "applied", "at_next_start", p.Reload(next))
	}
}
