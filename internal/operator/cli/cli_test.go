package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/native"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testToken = "0123456789abcdef"

// fixture is the operator API of one router and a directory with the files that
// the tested commands read.
type fixture struct {
	t     *testing.T
	url   string
	dir   string
	hosts *standin.Hosts
	// revision is the revision in force on the router.
	revision uint64
	// The router delays its status by statusDelay, or fails it.
	statusDelay time.Duration
	statusFails bool
}

func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	httpClient := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(httpClient.CloseIdleConnections)
	clientOptions := func(handler http.Handler) external.ClientOptions {
		return external.ClientOptions{BaseURL: startServer(t, handler), HTTP: httpClient}
	}
	f := &fixture{t: t, dir: t.TempDir(), hosts: standin.NewHosts(standin.HostListConfig{})}
	table, objects, hosts := external.NewTableClient(clientOptions(standin.NewTable())), external.NewObjectClient(clientOptions(standin.NewObjects())), external.NewHostListClient(clientOptions(f.hosts))
	f.hosts.Add(external.Host{ID: "lm-01", Role: external.RoleUpstream, Pool: "lm-pool"})
	f.url = startServer(t, f.disturbStatus(operator.NewServer(operator.ServerOptions{
		Publisher: config.NewPublisher(table, objects, config.PublisherOptions{}),
		Table:     table,
		Hosts:     hosts,
		Drained:   native.NewDeployment(native.Options{Table: table}).Drained,
		Self: func() operator.NodeStatus {
			return operator.NodeStatus{Host: "r1", Role: "router", ConfigRevision: f.revision}
		},
		PeerHTTP: httpClient, PeerScheme: "http",
		Token: []byte(testToken),
	})))
	f.writeFile("token", testToken)
	f.writeFile("router.log", routerLog)
	f.writeSet("good.json", func(*apiv1.ObjectSet) {})
	f.writeSet("bad.json", func(s *apiv1.ObjectSet) { s.Models[0].Version, s.Models[1].MaxQueue = "none", 0 })
	f.writeSet("changed.json", func(s *apiv1.ObjectSet) { s.Models[0].MaxQueue = 9 })
	return f
}

// disturbStatus delays or fails the status queries to a router.
func (f *fixture) disturbStatus(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/status" {
			time.Sleep(f.statusDelay)
			if f.statusFails {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (f *fixture) writeFile(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fixture) writeSet(name string, change func(*apiv1.ObjectSet)) {
	f.t.Helper()
	set := sample.OffcutGiveaway().Set()
	change(set)
	data, err := config.FormatSet(set)
	if err != nil {
		f.t.Fatal(err)
	}
	f.writeFile(name, string(data))
}

// run executes a command line after replacing "DIR" by the directory of the files
// and "URL" by the URL of the operator API.
func (f *fixture) run(line string) (code int, stdout, stderr string) {
	f.t.Helper()
	line = strings.NewReplacer("DIR", f.dir, "URL", f.url).Replace(line)
	args := []string{"ragwortdoor"}
	if !strings.Contains(line, "--server") {
		args = append(args, "--server", f.url)
	}
	if !strings.Contains(line, "--token-file") {
		args = append(args, "--token-file", filepath.Join(f.dir, "token"))
	}
	args = append(args, strings.Fields(line)...)
	var out, errs bytes.Buffer
	code = Run(context.Background(), args, &out, &errs)
	return code, out.String(), errs.String()
}

// step is a command line and its expected result.
type step struct {
	line     string
	wantCode int
	// Substrings of standard output and standard error.
	wantOut, wantErr string
}

func (f *fixture) runSteps(steps []step) {
	f.t.Helper()
	for _, s := range steps {
		code, out, errs := f.run(s.line)
		if code != s.wantCode || !strings.Contains(out, s.wantOut) || !strings.Contains(errs, s.wantErr) {
			f.t.Errorf("%q: exit code %d, want %d\nstdout: %s\nstderr: %s", s.line, code, s.wantCode, out, errs)
		}
	}
}

func TestUsage(t *testing.T) {
	f := newFixture(t)
	f.runSteps([]step{
		{"", ExitUsage, "Exit codes:", "no command given"},
		{"--help", ExitOK, "Exit codes:", ""},
		{"apply --help", ExitOK, "--expect", ""},
		{"publish", ExitUsage, "", `unknown command "publish"`},
		{"status --colour", ExitUsage, "", "colour"},
		{"-o xml status", ExitUsage, "", `unknown output format "xml"`},
		{"status now", ExitUsage, "", "wrong number of arguments"},
		{"apply", ExitUsage, "", "wrong number of arguments"},
		{"apply --expect x DIR/good.json", ExitUsage, "", "expect"},
		{"apply DIR/absent.json", ExitUsage, "", `absent.json" does not exist`},
		{"rollback two", ExitUsage, "", `"two" is not a revision number`},
		{"diff 1 two", ExitUsage, "", `"two" is not a revision number`},
		{"get colours", ExitUsage, "", `unknown kind "colours": choose one of models`},
		{"late --log DIR/router.log --since=-1h", ExitUsage, "", "positive durations"},
		{"late", ExitUsage, "", "log"},
		{"--token-file DIR/absent status", ExitUsage, "", "security.token_file"},
		{"--server http://127.0.0.1:1 status", ExitFailure, "", "pass --server"},
		{"--server http://127.0.0.1:1,URL status", ExitOK, "revision 0", ""},
		{"--server=, status", ExitUsage, "", "no server given"},
	})
	wrongToken := f.writeFile("wrong", "wrong-wrong-wrong-wrong")
	f.runSteps([]step{{"--token-file " + wrongToken + " status", ExitFailure, "", "token"}})
}

func TestPublishing(t *testing.T) {
	f := newFixture(t)
	f.runSteps([]step{
		{"get", ExitNotFound, "", "revision 0 is not known"},
		{"history", ExitOK, "REVISION", ""},
		{"validate DIR/good.json", ExitOK, "valid", ""},
		{"validate DIR/good.json", ExitOK, "warning: placements/single.max_replicas", ""},
		{"validate --offline DIR/good.json", ExitOK, "valid", ""},
		{"validate DIR/bad.json", ExitUsage, `problem: models/manifest-reader.version: "none"`, "2 problems"},
		{"validate --offline DIR/bad.json", ExitUsage, "problem: models/pickup-summary.max_queue", "2 problems"},
		{"apply DIR/bad.json", ExitUsage, "", "models/pickup-summary.max_queue: 0 is out of range"},
		{"apply --author batbayar -m winter DIR/good.json", ExitOK, "published revision 1", ""},
		{"apply --author saran --expect 0 DIR/changed.json", ExitConflict, "", `"batbayar" published revision 1`},
		{"diff DIR/changed.json", ExitOK, "changed models/manifest-reader.max_queue: 256 -> 9", ""},
		{"apply --author saran --expect 1 DIR/changed.json", ExitOK, "published revision 2", ""},
		{"diff 1", ExitOK, "max_queue: 256 -> 9", ""},
		{"diff 2 1", ExitOK, "max_queue: 9 -> 256", ""},
		{"diff 2 2", ExitOK, "no changes", ""},
		{"diff DIR/good.json 1", ExitOK, "no changes", ""},
		{"diff 7", ExitNotFound, "", "revision 7 is not known"},
		{"rollback 7", ExitNotFound, "", "revision 7 is not known"},
		{"rollback --author saran 1", ExitOK, "published revision 3", ""},
		{"history", ExitOK, "rollback to revision 1", ""},
		{"diff 1 3", ExitOK, "no changes", ""},
		{"get models/manifest-reader", ExitOK, `"max_queue":256`, ""},
		{"get --revision 2 models/manifest-reader", ExitOK, `"max_queue":9`, ""},
		{"get adapters/manifest-reader:adapter-000", ExitOK, "adapters/manifest-reader/adapter-000", ""},
		{"get models/none", ExitNotFound, "", "no object models/none in revision 3"},
	})
}

func TestJSONOutput(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.runSteps([]step{{"apply DIR/good.json", ExitOK, "", ""}})
	for _, line := range []string{"get", "get models", "history", "status", "diff 1", "late --log DIR/router.log", "validate DIR/good.json"} {
		code, out, _ := f.run("-o json " + line)
		is.Equal(code, ExitOK)
		is.True(json.Valid([]byte(out)))
	}
	_, out, _ := f.run("-o json get")
	f.writeFile("again.json", out)
	f.runSteps([]step{{"diff DIR/again.json", ExitOK, "no changes", ""}}) // apply can read the output of get

	code, _, errs := f.run("-o json apply --expect 0 DIR/good.json")
	is.Equal(code, ExitConflict)
	var apiErr operator.Error
	is.NoErr(json.Unmarshal([]byte(errs), &apiErr))
	is.Equal(apiErr.Winner.Revision, uint64(1))
}

func TestStatusAndWait(t *testing.T) {
	f := newFixture(t)
	f.hosts.Add(external.Host{ID: "r2", Role: external.RoleRouter, OperatorAddress: "127.0.0.1:1"})
	f.revision = 1
	f.runSteps([]step{
		{"status", ExitOK, "pass --server", ""}, // r2 does not respond
		{"apply --wait --timeout 10ms DIR/good.json", ExitTimeout, "published revision 1", "revision 1 is published, but 1 of 2 routers have not confirmed it: r2"},
		{"apply --wait --timeout 10ms DIR/good.json", ExitTimeout, "published revision 2", "2 of 2 routers have not confirmed it: r1 (at 1), r2"},
	})
	f.hosts.Remove("r2")
	f.revision = 3
	f.runSteps([]step{{"apply --wait --timeout 1m DIR/good.json", ExitOK, "published revision 3", "confirmed by 1 routers"}})
}

// A status that arrives after the timeout of --wait must still name the routers, and
// without one the error must not claim that none is listed.
func TestWaitWithoutStatus(t *testing.T) {
	f := newFixture(t)
	f.hosts.Add(external.Host{ID: "r2", Role: external.RoleRouter, OperatorAddress: "127.0.0.1:1"})
	f.statusDelay = 50 * time.Millisecond
	f.runSteps([]step{{"apply --wait --timeout 10ms DIR/good.json", ExitTimeout, "published revision 1", "2 of 2 routers have not confirmed it: r1 (at 0), r2"}})
	f.statusFails = true
	f.runSteps([]step{{"apply --wait --timeout 10ms DIR/good.json", ExitTimeout, "published revision 2", "revision 2 is published, but no status was received: "}})
}

func TestDrain(t *testing.T) {
	newFixture(t).runSteps([]step{
		{"drain lm-01", ExitOK, "lm-01 takes no new work", ""},
		{"status", ExitOK, "draining", ""},
		{"drain --undo lm-01", ExitOK, "lm-01 takes new work again", ""},
		{"drain lm-99", ExitNotFound, "", `names no host "lm-99"`},
	})
}

const routerLog = `time=2026-12-04T04:00:02.500Z level=info msg=granted id=r-1 model=chat-v1 upstream=e-1 waited_ms=1600 waited_for="model load"
time=2026-12-04T04:00:03.000Z level=info msg=request id=r-1 outcome=served status=200 upstream=e-1 took_ms=2100 model=chat-v1 waited_ms=1600 waited_for="model load" first_byte_ms=1700
`

func TestExplainAndLate(t *testing.T) {
	f := newFixture(t)
	f.writeFile("other.log", "not a log\n")
	f.writeFile("workspaces.log", "time=2026-12-04T04:00:01.200Z level=info msg=request id=r-2 outcome=over_quota status=429 took_ms=1 workspace=port quota_cost=0\n")
	f.runSteps([]step{
		{"explain --log DIR/router.log r-1", ExitOK, "place on e-1 after 1600 ms, waited for model load", ""},
		{"explain --log DIR/other.log --log DIR/router.log r-1", ExitOK, "main cause: model load", "skipped 1 lines that are not log lines"},
		{"explain --log DIR/router.log r-9", ExitNotFound, "", `request "r-9" is not in these logs`},
		{"explain r-1", ExitUsage, "", "log"},
		{"late --log DIR/router.log", ExitOK, "1 of 1 requests took longer than 1s", ""},
		{"late --log DIR/router.log", ExitOK, "model load  1", ""},
		{"late --log DIR/router.log --above 6s", ExitOK, "0 of 1", ""},
		{"late --log DIR/router.log --model other", ExitOK, "0 of 0", ""},
		{"workspaces --log DIR/workspaces.log", ExitOK, "port       1         0       1", ""},
		{"workspaces --log DIR/workspaces.log --since -1s", ExitUsage, "", "positive duration"},
		{"quota --log DIR/workspaces.log port", ExitOK, "2026-12-04T04:00:01Z  1         0     1", ""},
		{"quota --log DIR/workspaces.log", ExitUsage, "", ""},
		{"late --log DIR/absent.log", ExitUsage, "", `absent.log" does not exist`},
	})
}

// unavailableHosts is a host list that cannot be read.
type unavailableHosts struct{}

func (unavailableHosts) Hosts(context.Context) (external.HostListing, error) {
	return external.HostListing{}, errors.New("host list unavailable")
}

func TestTLS(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewTLSServer(operator.NewServer(operator.ServerOptions{
		Self: func() operator.NodeStatus { return operator.NodeStatus{Host: "r1"} }, Hosts: unavailableHosts{},
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	caPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	f.writeFile("ca.pem", string(caPEM))
	f.runSteps([]step{
		{"--tls-ca-file DIR/ca.pem status", ExitOK, "revision 0", ""},
		{"status", ExitFailure, "", "certificate"},
		{"--tls-ca-file DIR/token status", ExitUsage, "", "no certificate in"},
	})
}
