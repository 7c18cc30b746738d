package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// HostListConfig configures a Hosts.
type HostListConfig struct {
	// LagMS is the age of the served list, in milliseconds.
	LagMS int `json:"lag_ms"`
}

// HostCounts are the counters of a Hosts.
type HostCounts struct {
	Reads int64 `json:"reads"`
	// Unchanged counts the reads whose If-None-Match matched the list's ETag.
	Unchanged int64 `json:"unchanged"`
}

// Hosts stands in for the platform's host list. It is safe for concurrent use.
type Hosts struct {
	Faults FaultInjector
	mux    *http.ServeMux

	mu     sync.Mutex
	config HostListConfig
	counts HostCounts
	// started is the start time of each host's process by host id, in Unix
	// milliseconds.
	started  map[string]int64
	listings history[external.HostListing]
}

// NewHosts returns an empty list.
func NewHosts(cfg HostListConfig) *Hosts {
	h := &Hosts{config: cfg, started: make(map[string]int64)}
	h.listings.first.Hosts = []external.Host{}
	protocol := http.NewServeMux()
	protocol.HandleFunc("GET /v1/hosts", h.handleHosts)
	h.mux = adminMux(&h.Faults, func() any { return h.Counts() }, protocol)
	handleConfig(h.mux, h.Config, h.SetConfig)
	h.mux.HandleFunc("POST /admin/hosts", h.handleAdd)
	h.mux.HandleFunc("POST /admin/hosts/{id}/leave", func(_ http.ResponseWriter, r *http.Request) {
		h.Drain(r.PathValue("id"))
	})
	h.mux.HandleFunc("DELETE /admin/hosts/{id}", func(_ http.ResponseWriter, r *http.Request) {
		h.Remove(r.PathValue("id"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Hosts) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Config returns the configuration.
func (h *Hosts) Config() HostListConfig {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config
}

// SetConfig replaces the configuration.
func (h *Hosts) SetConfig(cfg HostListConfig) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config = cfg
}

// Counts returns the counters.
func (h *Hosts) Counts() HostCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts
}

// Add adds a host or replaces the one with its id. A host without a state is
// live.
func (h *Hosts) Add(host external.Host) {
	if host.State == "" {
		host.State = external.HostLive
	}
	h.change(func(hosts []external.Host) []external.Host {
		return append(without(hosts, host.ID), host)
	})
}

// RecordStart records the start time of a host's process and publishes a new
// revision of the list.
func (h *Hosts) RecordStart(id string, unixMs int64) {
	h.mu.Lock()
	h.started[id] = unixMs
	h.mu.Unlock()
	h.change(func(hosts []external.Host) []external.Host { return hosts })
}

// Drain marks a host as draining.
func (h *Hosts) Drain(id string) {
	h.change(func(hosts []external.Host) []external.Host {
		for i := range hosts {
			if hosts[i].ID == id {
				hosts[i].State = external.HostDraining
			}
		}
		return hosts
	})
}

// Remove removes a host.
func (h *Hosts) Remove(id string) {
	h.change(func(hosts []external.Host) []external.Host { return without(hosts, id) })
}

func without(hosts []external.Host, id string) []external.Host {
	return slices.DeleteFunc(hosts, func(host external.Host) bool { return host.ID == id })
}

func (h *Hosts) change(edit func([]external.Host) []external.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.listings.last()
	next := external.HostListing{
		Hosts:    edit(slices.Clone(last.Hosts)),
		Revision: last.Revision + 1,
	}
	for i := range next.Hosts {
		if at, known := h.started[next.Hosts[i].ID]; known {
			next.Hosts[i].StartedUnixMs = at
		}
	}
	h.listings.add(time.Now(), next)
}

// Listing returns the list that is served now, which is LagMS old.
func (h *Hosts) Listing() external.HostListing {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listings.at(time.Now().Add(-milliseconds(h.config.LagMS)))
}

func (h *Hosts) handleHosts(w http.ResponseWriter, r *http.Request) {
	listing := h.Listing()
	etag := strconv.Quote(strconv.FormatInt(listing.Revision, 10))
	unchanged := r.Header.Get("If-None-Match") == etag
	h.countRead(unchanged)
	w.Header().Set("ETag", etag)
	if unchanged {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, listing)
}

func (h *Hosts) countRead(unchanged bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Reads++
	if unchanged {
		h.counts.Unchanged++
	}
}

func (h *Hosts) handleAdd(w http.ResponseWriter, r *http.Request) {
	var host external.Host
	if readStrictJSON(w, r, &host) {
		h.Add(host)
	}
}
