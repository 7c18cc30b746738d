package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineWeightsMb = 230000
	modelMb         = 72700
	adapterMb       = 66
	adapterSlots    = 8
	diskLoad        = 780 * time.Millisecond
	adapterLoad     = 14 * time.Millisecond
	unloadTime      = 40 * time.Millisecond
	beat            = 1200 * time.Millisecond
	// reportLag is how old the values of a report are.
	reportLag = 200 * time.Millisecond
)

// order is the body of an order.
type order struct {
	OpKind      string `json:"opKind"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter"`
	ExpectedRev *int64 `json:"expectedRev"`
	Holder      string `json:"holder"`
	Fence       int64  `json:"fence"`
}

func (o order) String() string {
	rev := "-"
	if o.ExpectedRev != nil {
		rev = strconv.FormatInt(*o.ExpectedRev, 10)
	}
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	return fmt.Sprintf("%s %s expectedRev=%s holder=%s fence=%d", o.OpKind, name, rev, o.Holder, o.Fence)
}

type modelState struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
	running  int
}

type snapshot struct {
	at   time.Time
	body []byte
}

// engine is a stand-in of a model server. One value is one address; a start of the server
// is an incarnation.
type engine struct {
	c       *bench
	store   *store
	name    string // id of the present incarnation
	starts  int
	base    string
	addr    string
	service string
	zone    string
	// plain engines are servers of a plain service.
	plain bool

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]struct{}
	alive    bool
	models   []*modelState
	busy     bool
	loading  string
	seq      int64
	fence    int64
	born     int64
	beats    int64
	draining bool
	running  int
	history  []snapshot
	// quiet is set while the server's beats do not reach the store.
	quiet    bool
	lastBeat time.Time
	// answerOrder decides about an order: 0 answers it, a positive time leaves it without an
	// answer and carries it out that much later. Nil answers all.
	answerOrder func(o order) time.Duration
	// serve handles a client's request instead of the default.
	serve func(e *engine, w http.ResponseWriter, r *http.Request) bool
	// firstEvent is the time to the first event of a stream, gap that between two.
	firstEvent, gap time.Duration
	events          int
}

func (b *bench) newEngine(base, service, zone string, models ...string) *engine {
	e := &engine{c: b, store: b.store, base: base, service: service, zone: zone, firstEvent: 120 * time.Millisecond, gap: 20 * time.Millisecond, events: 13}
	e.start(models...)
	return e
}

// start begins an incarnation. Its address stays the same.
func (e *engine) start(models ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.name = fmt.Sprintf("%s-%d", e.base, e.starts)
	addr := e.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		e.c.fatal("listen for %s: %v", e.name, err)
	}
	e.listener, e.addr = l, l.Addr().String()
	e.models = nil
	for _, m := range models {
		e.models = append(e.models, &modelState{Name: m, Version: 1, Adapters: []string{}})
	}
	e.busy, e.loading, e.seq, e.fence, e.beats, e.draining, e.running, e.history = false, "", 0, 0, 0, false, 0, nil
	e.born = time.Now().UnixMilli()
	e.conns = make(map[net.Conn]struct{})
	e.alive = true
	e.server = &http.Server{Handler: e, ConnState: e.track}
	e.note()
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	e.beatLocked()
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// crash ends the incarnation as a killed process does: all its connections end. It returns
// false if that has happened already.
func (e *engine) crash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return false
	}
	e.alive = false
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	return true
}

func (e *engine) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.name
}

// beatLocked writes the registration.
func (e *engine) beatLocked() {
	if !e.alive || e.quiet {
		return
	}
	e.beats++
	e.lastBeat = time.Now()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 64, "state": state, "coldMs": 0, "seq": e.beats, "born": e.born,
	}
	if !e.plain {
		entry["stage"] = "both"
		entry["models"] = e.models
		entry["atHand"] = map[string]any{"inMemory": []string{}, "onDisk": e.c.models}
	} else {
		entry["slots"] = 6
	}
	e.store.put("servers", e.name, entry)
}

// runBeats writes the registrations of all servers and lets those lapse that are silent for
// three intervals.
func (b *bench) runBeats(store *store, engines []*engine) {
	for b.plays(store) {
		time.Sleep(50 * time.Millisecond)
		for _, e := range engines {
			e.mu.Lock()
			name := e.name
			if time.Since(e.lastBeat) >= beat {
				e.beatLocked()
			}
			lapsed := time.Since(e.lastBeat) >= 3*beat
			e.mu.Unlock()
			if lapsed {
				store.remove("servers", name)
			}
		}
	}
}

// drain reports that the server leaves, and returns when the store has accepted that.
func (e *engine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.beatLocked()
}

// note keeps the present state for reports.
func (e *engine) note() {
	used := 0
	for _, m := range e.models {
		used += m.running
	}
	body, _ := json.Marshal(map[string]any{
		"stage": "both", "models": e.models, "busy": e.busy, "seq": e.seq, "waiting": 0, "running": used, "kvUsed": 0, "kvTotal": 263389, "handles": 0,
		"born": e.born, "coming": []string{}, "atHand": map[string]any{"inMemory": []string{}, "onDisk": e.c.models},
	})
	e.history = append(e.history, snapshot{time.Now(), body})
	if len(e.history) > 400 {
		e.history = e.history[200:]
	}
}

func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	body := e.history[0].body
	for _, s := range e.history {
		if time.Since(s.at) >= reportLag {
			body = s.body
		}
	}
	return body
}

func (e *engine) model(name string) *modelState {
	for _, m := range e.models {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if id := r.Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
	e.mu.Lock()
	name := e.name
	e.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != name {
		h.Set("X-Instance-Id", name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/ragwortdoor/report":
		h.Set("Content-Type", "application/json")
		body := e.report()
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	case "/ragwortdoor/order":
		e.handleOrder(w, r)
	default:
		if e.serve != nil && e.serve(e, w, r) {
			return
		}
		e.generate(w, r, nil)
	}
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(data, &o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	decide, starts := e.answerOrder, e.starts
	e.mu.Unlock()
	if decide != nil {
		if late := decide(o); late > 0 {
			e.c.record("order  %s: %s: gets no answer, is carried out %.2f s later", e.name, o, late.Seconds())
			time.AfterFunc(late, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				if e.starts != starts || !e.alive {
					return
				}
				e.c.record("order  %s: %s: carried out late: %d", e.name, o, e.carryOut(o))
			})
			<-r.Context().Done() // no answer
			return
		}
	}
	e.mu.Lock()
	status := e.carryOut(o)
	e.mu.Unlock()
	e.c.record("order  %s: %s: %d", e.name, o, status)
	w.WriteHeader(status)
}

// carryOut checks an order and begins it; it requires e.mu. The result is the status.
func (e *engine) carryOut(o order) int {
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	if !slices.Contains(e.c.models, o.Model) {
		return http.StatusBadRequest
	}
	if o.ExpectedRev != nil && *o.ExpectedRev != e.seq {
		return http.StatusConflict
	}
	m := e.model(o.Model)
	switch {
	case o.Adapter != "" && m == nil:
		return http.StatusConflict
	case o.Adapter != "" && o.OpKind == "load":
		if slices.Contains(m.Adapters, o.Adapter) {
			return http.StatusOK
		}
		e.seq++
		if e.adapters() >= adapterSlots || e.usedMb()+adapterMb > engineWeightsMb {
			e.overload(o)
			return http.StatusAccepted
		}
		m.Adapters = append(m.Adapters, o.Adapter)
		e.note()
		return http.StatusAccepted
	case o.Adapter != "":
		if !slices.Contains(m.Adapters, o.Adapter) {
			return http.StatusOK
		}
		e.seq++
		m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == o.Adapter })
		e.note()
		return http.StatusOK
	case e.busy:
		return http.StatusConflict
	case (o.OpKind == "load") == (m != nil):
		return http.StatusOK
	case o.OpKind == "load":
		e.seq++
		if e.usedMb()+modelMb > engineWeightsMb {
			e.overload(o)
			return http.StatusAccepted
		}
		e.begin(diskLoad, func() { e.models = append(e.models, &modelState{Name: o.Model, Version: 1, Adapters: []string{}}) })
		return http.StatusAccepted
	}
	e.seq++
	e.begin(unloadTime, func() {
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(other *modelState) bool { return other.Name == o.Model })
	})
	return http.StatusAccepted
}

// overload is what happens to a server that is ordered to load more than it holds.
func (e *engine) overload(o order) {
	held := make([]string, 0, len(e.models))
	for _, m := range e.models {
		held = append(held, fmt.Sprintf("%s+%d", m.Name, len(m.Adapters)))
	}
	e.c.broken("LIMIT: %s holds %s (%d of %d MB) and is ordered: %s", e.name, strings.Join(held, " "), e.usedMb(), engineWeightsMb, o)
	go e.crash()
}

func (e *engine) adapters() int {
	n := 0
	for _, m := range e.models {
		n += len(m.Adapters)
	}
	return n
}

func (e *engine) usedMb() int { return len(e.models)*modelMb + e.adapters()*adapterMb }

func (e *engine) begin(took time.Duration, done func()) {
	e.busy = true
	e.note()
	starts := e.starts
	time.AfterFunc(took, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts != starts || !e.alive {
			return
		}
		done()
		e.busy = false
		e.note()
		e.beatLocked()
	})
}

// generate answers with a stream of events. onEvent is called before each; it returns false
// to end the stream there without more.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, onEvent func(n int) bool) {
	_, _ = io.Copy(io.Discard, r.Body)
	name, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	e.mu.Lock()
	m := e.model(name)
	if m == nil || adapter != "" && !slices.Contains(m.Adapters, adapter) {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.running++
	e.note()
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		m.running--
		e.note()
		e.mu.Unlock()
	}()
	if !sleepFor(r, e.firstEvent) {
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Server-Stamp", "stamp-"+e.name+"-"+r.Header.Get("X-Request-Id"))
	w.WriteHeader(http.StatusOK)
	out := bufio.NewWriter(w)
	for n := 1; n <= e.events; n++ {
		if onEvent != nil && !onEvent(n) {
			return
		}
		fmt.Fprintf(out, "id: %d\ndata: %s piece %d\n\n", n, r.Header.Get("X-Request-Id"), n)
		if out.Flush() != nil {
			return
		}
		w.(http.Flusher).Flush()
		if !sleepFor(r, e.gap) {
			return
		}
	}
}

func sleepFor(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
