package view

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// PollerOptions configure a Poller.
type PollerOptions struct {
	Store *Store
	Table external.TableService
	Hosts external.HostList
	// LoadConfig fetches and indexes the body that a head row names.
	LoadConfig func(ctx context.Context, head *apiv1.HeadRow) (*config.Index, error)
	// TablePeriod and HostPeriod are the times between two reads.
	TablePeriod time.Duration
	HostPeriod  time.Duration
	Log         *log.Logger
}

// Poller keeps a Store up to date from the table service and the host list.
type Poller struct {
	opts PollerOptions

	readMu sync.Mutex // held during a read of the table

	mu      sync.Mutex
	pending *refresh // the read that has not started yet; guarded by mu
}

// refresh is one read of the table that several callers wait for.
type refresh struct {
	done chan struct{}
	err  error // set before done is closed
}

// NewPoller makes a poller.
func NewPoller(opts PollerOptions) *Poller { return &Poller{opts: opts} }

// Run polls until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { p.every(ctx, p.opts.TablePeriod, "table service", p.Refresh) })
	wg.Go(func() { p.every(ctx, p.opts.HostPeriod, "host list", p.RefreshHosts) })
	wg.Wait()
	return nil
}

// every calls read at once and then periodically. It logs the first failure of
// a row of failures and the success that ends it.
func (p *Poller) every(ctx context.Context, period time.Duration, source string, read func(context.Context) error) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	failing := false
	for {
		err := read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			p.opts.Log.Warn("read failed, going on with what is known", "source", source, "err", err)
		}
		if err == nil && failing {
			p.opts.Log.Info("read works again", "source", source)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// RefreshHosts reads the host list once.
func (p *Poller) RefreshHosts(ctx context.Context) error {
	listing, err := p.opts.Hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	p.opts.Store.SetHosts(listing)
	return nil
}

// Refresh returns after a read of the table that started after the call.
// Callers that come while another read runs share the next one.
func (p *Poller) Refresh(ctx context.Context) error {
	p.mu.Lock()
	r := p.pending
	if r == nil {
		r = &refresh{done: make(chan struct{})}
		p.pending = r
		go p.runRefresh(context.WithoutCancel(ctx), r)
	}
	p.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Poller) runRefresh(ctx context.Context, r *refresh) {
	defer close(r.done)
	p.readMu.Lock()
	defer p.readMu.Unlock()
	p.mu.Lock()
	p.pending = nil // later callers need a later read
	p.mu.Unlock()
	r.err = p.readTable(ctx)
}

func (p *Poller) readTable(ctx context.Context) error {
	after := p.opts.Store.Load().TableRevision
	changes, err := p.opts.Table.Changes(ctx, external.LivePrefix, after)
	if err != nil {
		return err
	}
	for _, row := range p.opts.Store.ApplyRows(changes) {
		p.opts.Log.Error("row can't be decoded, skipped: a newer release may have written it", "key", row.Key)
	}
	return p.readConfig(ctx)
}

// readConfig fetches the configuration that the head names, if it is newer
// than the one in force.
func (p *Poller) readConfig(ctx context.Context) error {
	snap := p.opts.Store.Load()
	if snap.Head == nil {
		return nil
	}
	if snap.Config != nil && snap.Config.Revision >= snap.Head.GetRevision() {
		return nil
	}
	index, err := p.opts.LoadConfig(ctx, snap.Head)
	if err != nil {
		return fmt.Errorf("configuration revision %d: %w", snap.Head.GetRevision(), err)
	}
	if p.opts.Store.SetConfig(index) {
		p.opts.Log.Info("configuration in force", "revision", index.Revision, "author", snap.Head.GetAuthor())
	}
	return nil
}
