package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// binary and client are the programs that the tests start, built by TestMain.
var binary, client string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// parallelTests bounds the deployments that run at a time.
const parallelTests = "4"

func buildAndRun(m *testing.M) int {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelTests); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	dir, err := os.MkdirTemp("", "ragwortdoord")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "ragwortdoord")
	client = filepath.Join(dir, "ragwortdoor")
	args := []string{"build", "-race", "-o", dir, "../../cmd/ragwortdoord", "../../cmd/ragwortdoor"}
	if benchmarking() {
		args = slices.Delete(args, 1, 2) // the race detector spoils figures
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build ragwortdoord: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// benchmarking reports whether this run measures.
func benchmarking() bool { return flag.Lookup("test.bench").Value.String() != "" }

func testLogLevel() string {
	if benchmarking() {
		return "info"
	}
	return "debug"
}

// process is a daemon that a test started.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	logs *os.File
	done chan struct{} // closed after Wait returned
}

func startProcess(t testing.TB, dir, role, name string, settings proto.Message) *process {
	t.Helper()
	path := filepath.Join(dir, name+".json")
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	logs, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, logs: logs, done: make(chan struct{})}
	p.cmd = exec.Command(binary, role, "--settings", path)
	p.cmd.Stderr = logs
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = logs.Close()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// stop asks for a planned stop and returns the exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// deployment is a set of daemons with stand-ins for the platform.
type deployment struct {
	t       testing.TB
	dir     string
	cluster *standin.Cluster
	table   external.TableService

	routers  []*process
	sidecars []*process

	routerSettings  []*apiv1.RouterSettings
	sidecarSettings []*apiv1.SidecarSettings

	security *apiv1.SecuritySettings // of every process; nil protects nothing
	client   *http.Client
}

// deploymentOptions describe a deployment of a test.
type deploymentOptions struct {
	routers  int
	engines  []standin.EngineKnobs
	services []standin.ServiceKnobs
	set      *apiv1.ObjectSet
	security *apiv1.SecuritySettings
}

const (
	testPool       = "pool"
	testService    = "bookings"
	testMemoryMiB  = 1000
	maxTestModels  = 16 // whose checkpoints the weight store holds
	readyTimeout   = 30 * time.Second
	pollPeriod     = 20 * time.Millisecond
	answerDeadline = 60 * time.Second
)

// deploy starts the stand-ins, the routers and the sidecars, publishes the set
// and waits until every router is ready.
func deploy(t testing.TB, o deploymentOptions) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), security: o.security, client: http.DefaultClient}
	if o.security != nil {
		d.client = trustingClient(t, o.security)
	}
	t.Cleanup(func() {
		if t.Failed() {
			d.dumpLogs()
		}
	})
	d.startStandins(o)
	for i := range o.routers {
		d.addRouter(i)
	}
	for i := range d.cluster.Engines {
		d.addSidecar(fmt.Sprintf("engine-%d", i), &apiv1.SidecarSettings{
			EngineUrl:    d.cluster.EngineURLs[i],
			EngineFences: d.cluster.Engines[i].Knobs().Fences,
		}, external.Host{MemoryMiB: testMemoryMiB})
	}
	for i := range d.cluster.Services {
		d.addSidecar(fmt.Sprintf("service-%d", i), &apiv1.SidecarSettings{
			ServiceName: testService,
			ServiceUrl:  d.cluster.ServiceURLs[i],
		}, external.Host{Service: testService})
	}
	d.publish(o.set)
	for i := range d.routers {
		d.waitReady(i)
	}
	return d
}

func (d *deployment) startStandins(o deploymentOptions) {
	d.t.Helper()
	options := standin.ClusterOptions{Weights: standin.WeightKnobs{LoadsPerSecond: 50}}
	for _, v := range testSet(maxTestModels).GetVersions() {
		options.Checkpoints = append(options.Checkpoints, external.CheckpointInfo{Checkpoint: v.GetCheckpoint(), SizeMiB: v.GetMemoryMib()})
	}
	for i, knobs := range o.engines {
		options.Engines = append(options.Engines, standin.EngineOptions{Host: fmt.Sprintf("engine-%d", i), MemoryMiB: testMemoryMiB, Knobs: knobs})
	}
	for i, knobs := range o.services {
		options.Services = append(options.Services, standin.ServiceOptions{Host: fmt.Sprintf("service-%d", i), Name: testService, Knobs: knobs})
	}
	cluster, err := standin.Start(context.Background(), options)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(cluster.Close)
	d.cluster = cluster
	d.table = external.NewTableClient(external.ClientOptions{BaseURL: cluster.TableURL})
}

func (d *deployment) addRouter(i int) {
	host := external.Host{ID: fmt.Sprintf("router-%d", i), Role: external.RoleRouter, Address: freeAddress(d.t), OperatorAddress: freeAddress(d.t), FailureDomain: "a"}
	d.cluster.Hosts.Add(host)
	cfg := &apiv1.RouterSettings{
		Host: host.ID, FailureDomain: "a", Listen: freeAddress(d.t), OperatorListen: host.OperatorAddress, GossipListen: host.Address,
		Platform: &apiv1.PlatformSettings{
			TableUrl: d.cluster.TableURL, ObjectUrl: d.cluster.ObjectURL,
			HostListUrl: d.cluster.HostListURL, WeightUrl: d.cluster.WeightURL,
		},
		Log:      &apiv1.LogSettings{Level: testLogLevel()},
		Security: d.security,
	}
	d.routerSettings = append(d.routerSettings, cfg)
	d.routers = append(d.routers, startProcess(d.t, d.dir, "router", host.ID, cfg))
}

func (d *deployment) addSidecar(name string, cfg *apiv1.SidecarSettings, host external.Host) {
	host.ID, host.Role, host.Pool, host.FailureDomain = name, external.RoleUpstream, testPool, "a"
	host.Address, host.OperatorAddress = freeAddress(d.t), freeAddress(d.t)
	d.cluster.Hosts.Add(host)
	cfg.Host, cfg.FailureDomain, cfg.Listen, cfg.OperatorListen = name, "a", host.Address, host.OperatorAddress
	cfg.Log = &apiv1.LogSettings{Level: testLogLevel()}
	cfg.Security = d.security
	d.sidecarSettings = append(d.sidecarSettings, cfg)
	d.sidecars = append(d.sidecars, startProcess(d.t, d.dir, "sidecar", name, cfg))
}

// restartRouter and restartSidecar start a process again after its end.
func (d *deployment) restartRouter(i int) {
	d.routers[i] = startProcess(d.t, d.dir, "router", d.routers[i].name, d.routerSettings[i])
}

func (d *deployment) restartSidecar(i int) {
	d.sidecars[i] = startProcess(d.t, d.dir, "sidecar", d.sidecars[i].name, d.sidecarSettings[i])
}

func (d *deployment) publish(set *apiv1.ObjectSet) *apiv1.HeadRow {
	d.t.Helper()
	objects := external.NewObjectClient(external.ClientOptions{BaseURL: d.cluster.ObjectURL})
	publisher := config.NewPublisher(d.table, objects, config.PublisherOptions{Commit: external.CommitSettled})
	head, err := publisher.Publish(context.Background(), set, config.PublishOptions{Author: "test"})
	if err != nil {
		d.t.Fatal(err)
	}
	return head
}

func (d *deployment) waitReady(router int) {
	d.t.Helper()
	d.eventually("router is ready", func() bool {
		response, err := d.client.Get(d.url(router) + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// url is where callers reach a router.
func (d *deployment) url(router int) string {
	scheme := "http://"
	if d.security != nil {
		scheme = "https://"
	}
	return scheme + d.routerSettings[router].GetListen()
}

// eventually polls until the condition holds.
func (d *deployment) eventually(what string, holds func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			d.t.Fatalf("not within %s: %s", readyTimeout, what)
		}
		time.Sleep(pollPeriod)
	}
}

func (d *deployment) dumpLogs() {
	logs, _ := filepath.Glob(filepath.Join(d.dir, "*.log"))
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err == nil {
			d.t.Logf("%s:\n%s", filepath.Base(path), data)
		}
	}
}

// Ports of the daemons lie below those that the system gives to outgoing
// connections, which could take a port between its choice and its use.
const (
	firstPort = 20_000
	portCount = 12_000
)

// portsUsed starts at a place of its own in each test process.
var portsUsed atomic.Int64

func init() { portsUsed.Store(int64(os.Getpid()) * 101) }

// freeAddress returns an address of the loopback interface that nobody listens
// on with TCP or UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portsUsed.Add(1)%portCount)
		if isFree(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	id      string
	text    string
	// whole is true when the stream ended with its end mark.
	whole bool
	body  string
	err   error
}

// chat asks a router for tokens as a stream.
func (d *deployment) chat(router int, model, prompt string, tokens int) answer {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return answer{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerDeadline)
	defer cancel()
	url := d.url(router) + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	response, err := d.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, outcome: response.Header.Get("Ragwortdoor-Outcome"), id: response.Header.Get("Ragwortdoor-Request-Id")}
	if response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(response.Body)
		a.body, a.err = string(data), err
		return a
	}
	a.err = a.readStream(response.Body)
	return a
}

// readStream collects the text of server-sent events.
func (a *answer) readStream(r io.Reader) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			a.whole = true
			return nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		for _, choice := range chunk.Choices {
			a.text += choice.Delta.Content
		}
		a.body += data + "\n"
	}
	return lines.Err()
}
