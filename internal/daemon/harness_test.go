package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
	"github.com/ragwortdoor/ragwortdoor/internal/testaddr"
)

// daemonBinary and clientBinary are the paths of the programs that TestMain builds.
var daemonBinary, clientBinary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// parallelTests limits the deployments that run at the same time.
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
	daemonBinary = filepath.Join(dir, "ragwortdoord")
	clientBinary = filepath.Join(dir, "ragwortdoor")
	args := []string{"build", "-race", "-o", dir, "../../cmd/ragwortdoord", "../../cmd/ragwortdoor"}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build ragwortdoord: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a daemon process that a test started.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed after Wait returned
}

func startProcess(t testing.TB, dir, role, name string, settings proto.Message) *process {
	t.Helper()
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, encodeSettings(t, settings), 0o600); err != nil {
		t.Fatal(err)
	}
	logs, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	return startWithLog(t, role, name, path, logs)
}

func encodeSettings(t testing.TB, settings proto.Message) []byte {
	t.Helper()
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// startWithLog starts a daemon process that writes its log to logs, which is closed here.
func startWithLog(t testing.TB, role, name, path string, logs *os.File) *process {
	t.Helper()
	return startProgram(t, daemonBinary, role, name, path, logs)
}

func startProgram(t testing.TB, binary, role, name, path string, logs *os.File) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan struct{})}
	p.cmd = exec.Command(binary, role, "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	err := p.cmd.Start()
	_ = logs.Close()
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) suspend() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop sends SIGTERM for a planned stop and returns the exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// deployment is a set of router processes with stand-ins for the platform and the
// upstreams.
type deployment struct {
	t       testing.TB
	dir     string
	cluster *standin.Cluster
	table   external.TableService

	routers []*process

	routerSettings []*apiv1.RouterSettings

	security *apiv1.SecuritySettings // of every process; nil for plain HTTP without token
	client   *http.Client
}

// deploymentOptions configures deploy.
type deploymentOptions struct {
	routers  int
	engines  []standin.EngineConfig
	services []standin.ServiceConfig
	set      *apiv1.ObjectSet
	security *apiv1.SecuritySettings
	// fences declares in the router settings that all engines check fencing tokens.
	fences bool
}

const (
	testPool          = "pool"
	testService       = "bookings"
	testMemoryMiB     = 1000
	conditionTimeout  = 30 * time.Second
	pollInterval      = 20 * time.Millisecond
	completionTimeout = 60 * time.Second
	// testLeaseTTLMs is the minimum that the settings allow.
	testLeaseTTLMs   = 2000
	testDrainDelayMs = 100
	// testRetryBudget is high because tests send few requests.
	testRetryBudget = 1
)

// deploy starts the stand-ins and the routers, publishes the set and waits until
// every router is ready.
func deploy(t testing.TB, o deploymentOptions) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), security: o.security, client: http.DefaultClient}
	if o.security != nil {
		d.client = newTLSClient(t, o.security)
	}
	t.Cleanup(func() {
		if t.Failed() {
			d.dumpLogs()
		}
	})
	d.startStandins(o)
	for i := range o.routers {
		d.addRouter(i, o.fences)
	}
	d.publish(o.set)
	for i := range d.routers {
		d.waitReady(i)
	}
	return d
}

func (d *deployment) startStandins(o deploymentOptions) {
	d.t.Helper()
	options := standin.ClusterOptions{Weights: standin.WeightStoreConfig{LoadsPerSecond: 50}}
	for i, cfg := range o.engines {
		options.Engines = append(options.Engines, standin.EngineOptions{Host: fmt.Sprintf("engine-%d", i), MemoryMiB: testMemoryMiB, Config: cfg})
	}
	for i, cfg := range o.services {
		options.Services = append(options.Services, standin.ServiceOptions{Host: fmt.Sprintf("service-%d", i), Name: testService, Config: cfg})
	}
	cluster, err := standin.Start(context.Background(), options)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(cluster.Close)
	d.cluster = cluster
	for i, engine := range cluster.Engines {
		d.addUpstreamHost(external.Host{ID: engine.Host(), Address: strings.TrimPrefix(cluster.EngineURLs[i], "http://"), MemoryMiB: testMemoryMiB})
	}
	for i, service := range cluster.Services {
		d.addUpstreamHost(external.Host{ID: service.Host(), Address: strings.TrimPrefix(cluster.ServiceURLs[i], "http://"), Service: testService})
	}
	d.table = external.NewTableClient(external.ClientOptions{BaseURL: cluster.TableURL})
}

// addUpstreamHost adds an upstream host to the host list.
func (d *deployment) addUpstreamHost(host external.Host) {
	host.Role, host.Pool, host.FailureDomain = external.RoleUpstream, testPool, "a"
	d.cluster.Hosts.Add(host)
}

func (d *deployment) addRouter(i int, fences bool) {
	cfg := d.newRouterSettings(i, fences)
	d.routers = append(d.routers, startProcess(d.t, d.dir, "router", cfg.GetHost(), cfg))
}

// newRouterSettings adds a router to the host list and returns its settings.
func (d *deployment) newRouterSettings(i int, fences bool) *apiv1.RouterSettings {
	host := external.Host{ID: fmt.Sprintf("router-%d", i), Role: external.RoleRouter, Address: testaddr.Free(d.t), OperatorAddress: testaddr.Free(d.t), FailureDomain: "a"}
	d.cluster.Hosts.Add(host)
	cfg := &apiv1.RouterSettings{
		Host: host.ID, FailureDomain: "a", Listen: testaddr.Free(d.t), OperatorListen: host.OperatorAddress, PeerListen: host.Address,
		Platform:           &apiv1.PlatformSettings{TableUrl: d.cluster.TableURL, ObjectUrl: d.cluster.ObjectURL, HostListUrl: d.cluster.HostListURL},
		LeaseTtlMs:         testLeaseTTLMs,
		EnginesCheckFences: fences,
		StopLingerMs:       testDrainDelayMs,
		RetryBudget:        testRetryBudget,
		Security:           d.security,
	}
	d.routerSettings = append(d.routerSettings, cfg)
	return cfg
}

// restartRouter starts a router again after it has exited.
func (d *deployment) restartRouter(i int) {
	d.routers[i] = startProcess(d.t, d.dir, "router", d.routers[i].name, d.routerSettings[i])
}

func (d *deployment) publish(set *apiv1.ObjectSet) *apiv1.HeadRow {
	d.t.Helper()
	objects := external.NewObjectClient(external.ClientOptions{BaseURL: d.cluster.ObjectURL})
	publisher := config.NewPublisher(d.table, objects, config.PublisherOptions{})
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

// url returns the base URL of a router for callers.
func (d *deployment) url(router int) string {
	scheme := "http://"
	if d.security != nil {
		scheme = "https://"
	}
	return scheme + d.routerSettings[router].GetListen()
}

// eventually polls condition until it is true and fails the test after
// conditionTimeout.
func (d *deployment) eventually(description string, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out after %s waiting for: %s", conditionTimeout, description)
		}
		time.Sleep(pollInterval)
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

// callResult is the response that a caller got, or the error.
type callResult struct {
	status  int
	outcome string
	id      string
	text    string
	// complete is true if the stream ended with "[DONE]".
	complete bool
	body     string
	err      error
}

// chat requests a streamed completion of the given number of tokens through a router.
func (d *deployment) chat(router int, model, prompt string, tokens int) callResult {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return callResult{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	url := d.url(router) + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	response, err := d.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result := callResult{status: response.StatusCode, outcome: response.Header.Get("Ragwortdoor-Outcome"), id: response.Header.Get("Ragwortdoor-Request-Id")}
	if response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(response.Body)
		result.body, result.err = string(data), err
		return result
	}
	result.err = result.readStream(response.Body)
	return result
}

// readStream reads server-sent events until "[DONE]" or the end of body, and collects
// their text and data.
func (r *callResult) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			r.complete = true
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
			r.text += choice.Delta.Content
		}
		r.body += data + "\n"
	}
	return lines.Err()
}
