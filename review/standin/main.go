// Command standin plays the cases of the review that are scripts: it starts the routers of
// the project as separate processes, plays the platform, the servers and the clients around
// them on loopback addresses, and judges one rule by what these see.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	touch = 3 * time.Second
	drain = 2 * time.Second

	// maxPlay is when a play is given up.
	maxPlay = 110 * time.Second
)

// bench is one play of a case.
type bench struct {
	trouble bool
	dir     string
	began   time.Time
	store   *store
	models  []string
	engines []*engine
	routers []*router

	mu         sync.Mutex
	out        *os.File
	violations int
	requests   int
}

// record writes a line to record.txt.
func (b *bench) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule was broken.
func (b *bench) broken(format string, args ...any) {
	b.record("BROKEN "+format, args...)
	b.mu.Lock()
	b.violations++
	b.mu.Unlock()
}

// fatal ends the play because the case could not be run.
func (b *bench) fatal(format string, args ...any) {
	b.record("NOT RUN "+format, args...)
	fmt.Println("not run:", fmt.Sprintf(format, args...))
	b.end()
	os.Exit(exitNotRun)
}

func (b *bench) end() {
	for _, r := range b.routers {
		r.kill()
	}
}

// plays reports whether a store is that of the present play.
func (b *bench) plays(s *store) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.store == s
}

// reset ends a play, so that another one can follow.
func (b *bench) reset() {
	b.end()
	for _, e := range b.engines {
		e.crash()
	}
	b.mu.Lock()
	b.store = newStore()
	b.mu.Unlock()
	b.engines, b.routers, b.models = nil, nil, nil
}

// router is a process of the project on an entry host.
type router struct {
	b      *bench
	node   string
	zone   string
	ip     string
	front  string
	ready  string
	path   string
	cmd    *exec.Cmd
	exited chan struct{}
	// proxy is between the process and the store.
	proxy *proxy
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// newRouter writes the settings of an entry host and starts its process.
func (b *bench) newRouter(i int, zone, storeAddr string) *router {
	// Plays beside each other don't share addresses.
	ip := fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250, 11+i)
	r := &router{b: b, node: fmt.Sprintf("edge-%s-1", zone), zone: zone, ip: ip, proxy: b.newProxy(storeAddr)}
	front, ready, control, peer := freePort(ip), freePort(ip), freePort(ip), freePort(ip)
	if front == 0 || ready == 0 || control == 0 || peer == 0 {
		b.fatal("no free port at %s", ip)
	}
	r.front, r.ready = fmt.Sprintf("%s:%d", ip, front), fmt.Sprintf("%s:%d", ip, ready)
	settings := map[string]any{
		"node": r.node, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "ulaanbaatar",
		"zones":  map[string]string{"bayanzurkh": "ulaanbaatar", "songino": "ulaanbaatar", "khan-uul": "ulaanbaatar", "chingeltei": "ulaanbaatar"},
		"listen": map[string]string{"front": r.front, "ready": r.ready, "control": fmt.Sprintf("%s:%d", ip, control)}, "portRange": []int{peer, peer + 15},
		"seeds": []string{}, "bootstrap": true, "lossCounts": false, "dataDir": nil, "discovery": "platform", "entry": "anycast", "beatMs": 1200,
		"limits":    map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "touchMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
			"backMs": 250, "outerMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "recoverS": 12, "passMs": 120, "againS": 0,
			"requireFence": true, "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5, "ceilingOver": 1.1,
		},
		"cloudApi": map[string]any{
			"addr": r.proxy.addr(), "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 6.0, "partWritesS": 200, "rowBytes": 65536, "across": false,
			"historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	}
	data, _ := json.MarshalIndent(settings, "", "  ")
	r.path = filepath.Join(b.dir, r.node+".json")
	if err := os.WriteFile(r.path, data, 0o600); err != nil {
		b.fatal("settings: %v", err)
	}
	b.routers = append(b.routers, r)
	r.start()
	return r
}

// start runs the command of the deploy file.
func (r *router) start() {
	log, err := os.OpenFile(filepath.Join(r.b.dir, r.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.b.fatal("log: %v", err)
	}
	r.cmd = exec.Command("target/ragwortdoord", "entry")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.b.dir, "LANG=C.UTF-8", "RAGWORTDOOR_SETTINGS=" + r.path}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		r.b.fatal("start %s: %v", r.node, err)
	}
	_ = log.Close()
	r.exited = make(chan struct{})
	r.b.record("start  %s, pid %d", r.node, r.cmd.Process.Pid)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		r.b.record("exit   %s: %v", r.node, err)
		close(exited)
	}(r.cmd, r.exited)
}

func (r *router) signal(sig syscall.Signal) {
	r.b.record("signal %s gets %v", r.node, sig)
	_ = r.cmd.Process.Signal(sig)
}

func (r *router) kill() {
	if r.exited == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	select {
	case <-r.exited:
	case <-time.After(5 * time.Second):
	}
}

// waitReady waits until all routers say that they are ready.
func (b *bench) waitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, r := range b.routers {
		for {
			resp, err := http.Get("http://" + r.ready + "/ragwortdoor/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				b.fatal("%s does not become ready", r.node)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.record("ready  all routers")
}

// holder returns the router that the lease row names, nil if it names none.
func (b *bench) holder() *router {
	value := b.store.value("ragwortdoor-lease", "scheduler")
	for _, r := range b.routers {
		if bytes.Contains(value, []byte(r.node)) {
			return r
		}
	}
	return nil
}

// waitHolder waits until the lease is held.
func (b *bench) waitHolder() *router {
	until := time.Now().Add(15 * time.Second)
	for time.Now().Before(until) {
		if r := b.holder(); r != nil {
			b.record("holder %s", r.node)
			return r
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.fatal("no router holds the lease")
	return nil
}

// call is a client's request.
type call struct {
	path     string
	method   string
	model    string
	tokens   string
	prefix   string
	deadline time.Duration
	body     string
	label    string
}

type answer struct {
	id     string
	status int
	body   string
	err    error
	sentAt time.Time
	// whole is set when the answer was complete.
	whole bool
	took  time.Duration
}

// send sends a request on a connection of its own and reads the whole answer.
func (b *bench) send(r *router, c call) answer {
	b.mu.Lock()
	b.requests++
	a := answer{id: fmt.Sprintf("q%06d", b.requests)}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	method := c.method
	if method == "" {
		method = http.MethodPost
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+r.front+c.path, bytes.NewReader([]byte(c.body)))
	req.Host = "desk.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if c.model != "" {
		req.Header.Set("X-Model", c.model)
		req.Header.Set("X-Token-Count", c.tokens)
		req.Header.Set("X-Prompt-Prefix", c.prefix)
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	a.sentAt = time.Now()
	b.record("client %s %s%s sent to %s", a.id, c.label, suffix(" ", c.model), r.node)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
	} else {
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body, a.err, a.whole = resp.StatusCode, string(body), err, err == nil
	}
	a.took = time.Since(a.sentAt)
	b.record("client %s %s gets status %d, %d bytes, after %d ms, error %v", a.id, c.label, a.status, len(a.body), a.took.Milliseconds(), a.err)
	return a
}

func suffix(before, s string) string {
	if s == "" {
		return ""
	}
	return before + s
}

// config writes the operator's configuration.
func (b *bench) config(version int, routes []map[string]any) {
	models := []map[string]any{}
	for _, m := range b.models {
		models = append(models, map[string]any{"name": m, "weightsMb": modelMb, "loadS": 6.0, "adapters": 31, "adapterMb": adapterMb, "warmS": 0.6, "diskS": diskLoad.Seconds()})
	}
	b.store.put("op", "config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": "lm", "health": "/healthz", "connCap": 360, "proto": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacity": 263389, "kvTokenBytes": 163840, "linkMbps": 740000.0, "moves": true, "backups": true, "stride": 4, "maxCount": 12,
				"hostMb": 150000.0, "diskMb": 940000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": models,
				"weightsMb": engineWeightsMb, "adapterSlots": adapterSlots, "loadsPerS": 2.1,
			}},
			{"name": "app", "health": "/healthz", "connCap": 96, "proto": "h1", "tls": false},
		},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
	})
}

func standardRoutes() []map[string]any {
	return []map[string]any{
		{"name": "digest", "host": "desk.example", "prefix": "/digest/", "kind": "streaming", "timeoutMs": 5000, "sloMs": 800, "priority": 1, "service": "lm", "attempts": 1, "sticky": true, "canResume": false, "gapAimMs": 500},
		{"name": "brief", "host": "desk.example", "prefix": "/brief/", "kind": "streaming", "timeoutMs": 11000, "sloMs": 2500, "priority": 1, "service": "lm", "attempts": 2, "sticky": true, "canResume": true, "gapAimMs": 500},
		{"name": "chat", "host": "desk.example", "prefix": "/chat/", "kind": "streaming", "timeoutMs": 15000, "sloMs": 600, "priority": 0, "service": "lm", "attempts": 1, "sticky": true, "canResume": false, "gapAimMs": 500},
		{"name": "book", "host": "desk.example", "prefix": "/book/", "kind": "non_idempotent", "timeoutMs": 1500, "sloMs": 300, "priority": 2, "service": "app", "attempts": 1},
		{"name": "look", "host": "desk.example", "prefix": "/look/", "kind": "idempotent", "timeoutMs": 1500, "sloMs": 300, "priority": 2, "service": "app", "attempts": 2},
	}
}

var zones = []string{"bayanzurkh", "songino", "khan-uul", "chingeltei"}

// startRouters starts the store and one router in each zone.
func (b *bench) startRouters() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.fatal("listen for the store: %v", err)
	}
	go func() { _ = http.Serve(l, b.store) }()
	go b.runBeats(b.store, b.engines)
	for i, zone := range zones {
		b.newRouter(i, zone, l.Addr().String())
	}
	b.waitReady()
	b.waitHolder()
	time.Sleep(time.Second)
}

var cases = map[string]func(b *bench){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	defer os.RemoveAll(dir)
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), store: newStore(), out: out}
	b.record("case %s, trouble %v", os.Args[1], b.trouble)
	time.AfterFunc(maxPlay, func() { b.fatal("the play takes longer than %s", maxPlay) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { b.fatal("stopped by %v", <-stop) }()
	cases[os.Args[1]](b)
	b.end()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	code := exitHeld
	if b.violations > 0 {
		code = exitBroken
	}
	b.record("result: %d times broken, exit %d", b.violations, code)
	fmt.Printf("%d times broken\n", b.violations)
	os.RemoveAll(dir)
	os.Exit(code)
}
