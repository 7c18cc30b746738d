package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
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
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/requestid"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
	"github.com/ragwortdoor/ragwortdoor/internal/waitlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testToken = "0123456789abcdef"

// fixture is one router's operators' API, and the files that commands name.
type fixture struct {
	t      *testing.T
	url    string
	dir    string
	writer *waitlog.Writer
	nodes  []operator.NodeStatus
}

// Nodes implements operator.StatusSource.
func (f *fixture) Nodes(context.Context) []operator.NodeStatus { return f.nodes }

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	http := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(http.CloseIdleConnections)
	table := external.NewTableClient(external.ClientOptions{BaseURL: serve(t, standin.NewTable()), HTTP: http})
	objects := external.NewObjectClient(external.ClientOptions{BaseURL: serve(t, standin.NewObjects()), HTTP: http})
	f := &fixture{t: t, dir: t.TempDir()}
	f.writer = waitlog.NewWriter(waitlog.WriterOptions{Objects: objects, Sample: 1, LateMs: 1000})
	store := view.NewStore()
	store.SetHosts(external.HostListing{Revision: 1, Hosts: []external.Host{{ID: "lm-01", Role: external.RoleUpstream, Pool: "lm-pool"}}})
	f.url = serve(t, operator.NewServer(operator.ServerOptions{
		Publisher: config.NewPublisher(table, objects, config.PublisherOptions{}),
		Reader:    waitlog.NewReader(objects),
		Writer:    f.writer,
		View:      store,
		Status:    f,
		Table:     table,
		Token:     []byte(testToken),
	}))
	f.file("token", testToken)
	f.set("good.json", func(*apiv1.ObjectSet) {})
	f.set("bad.json", func(s *apiv1.ObjectSet) { s.Models[0].Version, s.Models[1].MaxQueue = "none", 0 })
	f.set("changed.json", func(s *apiv1.ObjectSet) { s.Models[0].MaxQueue = 9 })
	return f
}

func (f *fixture) file(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fixture) set(name string, change func(*apiv1.ObjectSet)) {
	f.t.Helper()
	set := sample.OffcutGiveaway().Set()
	change(set)
	data, err := config.FormatSet(set)
	if err != nil {
		f.t.Fatal(err)
	}
	f.file(name, string(data))
}

// run runs a command line. "DIR" stands for the directory of the files, "URL"
// for the server.
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

// step is one command line with what it must do.
type step struct {
	line string
	code int
	// out and err must be parts of the outputs.
	out, err string
}

func (f *fixture) steps(steps []step) {
	f.t.Helper()
	for _, s := range steps {
		code, out, errs := f.run(s.line)
		if code != s.code || !strings.Contains(out, s.out) || !strings.Contains(errs, s.err) {
			f.t.Errorf("%q: exit code %d, want %d\nstdout: %s\nstderr: %s", s.line, code, s.code, out, errs)
		}
	}
}

func TestUsage(t *testing.T) {
	f := newFixture(t)
	f.steps([]step{
		{"", ExitUsage, "Exit codes:", "a command is missing"},
		{"--help", ExitOK, "Exit codes:", ""},
		{"apply --help", ExitOK, "--expect", ""},
		{"publish", ExitUsage, "", `no command "publish"`},
		{"status --colour", ExitUsage, "", "colour"},
		{"-o xml status", ExitUsage, "", `output "xml" is not known`},
		{"status now", ExitUsage, "", "wrong number of arguments"},
		{"apply", ExitUsage, "", "wrong number of arguments"},
		{"apply --expect x DIR/good.json", ExitUsage, "", "expect"},
		{"apply DIR/absent.json", ExitUsage, "", "no file"},
		{"rollback two", ExitUsage, "", `"two" is no revision`},
		{"diff 1 two", ExitUsage, "", `"two" is no revision`},
		{"get colours", ExitUsage, "", `no kind "colours": choose one of models`},
		{"late --since=-1h", ExitUsage, "", "positive durations"},
		{"--token-file DIR/absent status", ExitUsage, "", "security.token_file"},
		{"--server http://127.0.0.1:1 status", ExitFailure, "", "pass --server"},
		{"--server http://127.0.0.1:1,URL status", ExitOK, "revision 0", ""},
		{"--server=, status", ExitUsage, "", "no server is named"},
	})
	wrong := f.file("wrong", "wrong-wrong-wrong-wrong")
	f.steps([]step{{"--token-file " + wrong + " status", ExitFailure, "", "token"}})
}

func TestPublishing(t *testing.T) {
	f := newFixture(t)
	f.steps([]step{
		{"get", ExitNotFound, "", "revision 0 is not known"},
		{"history", ExitOK, "REVISION", ""},
		{"validate DIR/good.json", ExitOK, "valid", ""},
		{"validate DIR/good.json", ExitOK, "warning: placements/single.max_replicas", ""},
		{"validate --offline DIR/good.json", ExitOK, "valid", ""},
		{"validate DIR/bad.json", ExitUsage, `fault: models/manifest-reader.version: "none"`, "2 faults"},
		{"validate --offline DIR/bad.json", ExitUsage, "fault: models/pickup-summary.max_queue", "2 faults"},
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
	f.steps([]step{{"apply DIR/good.json", ExitOK, "", ""}})
	for _, line := range []string{"get", "get models", "history", "status", "diff 1", "late", "validate DIR/good.json"} {
		code, out, _ := f.run("-o json " + line)
		is.Equal(code, ExitOK)
		is.True(json.Valid([]byte(out)))
	}
	_, out, _ := f.run("-o json get")
	f.file("again.json", out)
	f.steps([]step{{"diff DIR/again.json", ExitOK, "no changes", ""}}) // what get shows, apply takes

	code, _, errs := f.run("-o json apply --expect 0 DIR/good.json")
	is.Equal(code, ExitConflict)
	var failure operator.Error
	is.NoErr(json.Unmarshal([]byte(errs), &failure))
	is.Equal(failure.Winner.Revision, uint64(1))
}

func TestStatusAndWait(t *testing.T) {
	f := newFixture(t)
	f.nodes = []operator.NodeStatus{
		{Host: "r1", Role: "router", ConfigRevision: 2, SeenAgoMs: 40},
		{Host: "lm-01", Role: "upstream", ConfigRevision: 1, Draining: true},
		{Host: "lm-02", Role: "upstream", SeenAgoMs: -1, Problem: "no session"},
	}
	f.steps([]step{
		{"status", ExitOK, "40ms ago", ""},
		{"status", ExitOK, "draining", ""},
		{"apply --wait --timeout 10ms DIR/good.json", ExitTimeout, "published revision 1", "revision 1 is published, but 1 of 3 nodes have not confirmed it: lm-02 (no session)"},
		{"apply --wait --timeout 10ms DIR/good.json", ExitTimeout, "published revision 2", "2 of 3 nodes have not confirmed it: lm-01 (at 1), lm-02 (no session)"},
	})
	f.nodes = f.nodes[:1]
	f.nodes[0].ConfigRevision = 3
	f.steps([]step{{"apply --wait --timeout 1m DIR/good.json", ExitOK, "published revision 3", "confirmed by 1 nodes"}})
	f.nodes = nil
	f.steps([]step{{"apply --wait --timeout 10ms DIR/good.json", ExitTimeout, "", "no node is listed"}})
}

func TestDrain(t *testing.T) {
	newFixture(t).steps([]step{
		{"drain lm-01", ExitOK, "lm-01 takes no new work; it still holds 0 slots", ""},
		{"drain --undo lm-01", ExitOK, "lm-01 takes new work again", ""},
		{"drain lm-99", ExitNotFound, "", `names no host "lm-99"`},
	})
}

func TestExplainAndLate(t *testing.T) {
	f := newFixture(t)
	now := time.Now()
	ids := requestid.NewGenerator("r1")
	var id string
	for n := range 12 {
		id = ids.New(now).String()
		wait := uint32(1500 + 500*n)
		f.writer.Record(&apiv1.WaitRecord{
			RequestId: id, Target: "manifest-reader", PriorityClass: "normal", ArrivedUnixMs: now.UnixMilli(),
			FirstTokenMs: wait, TotalMs: wait + 100, Outcome: apiv1.Outcome_OUTCOME_SERVED, ColdStart: true,
			Phases: []*apiv1.Phase{{Kind: apiv1.PhaseKind_PHASE_KIND_PERMIT, LengthMs: wait, Cause: "behind 4 loads"}},
		})
	}
	f.steps([]step{{"late", ExitOK, "12 of 12 recorded requests", ""}}) // before they are stored
	if err := f.writer.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.steps([]step{
		{"explain " + id, ExitOK, "waited 7.0 s for the weight store behind 4 loads", ""},
		{"explain " + id, ExitOK, "main cause: weight store permit", ""},
		{"explain " + ids.New(now).String(), ExitNotFound, "", "no record of request"},
		{"explain nonsense", ExitUsage, "", "copy the Ragwortdoor-Request-Id header"},
		{"late", ExitOK, "12 of 12 recorded requests waited longer than 1s", ""},
		{"late --since 5m --model manifest-reader --class normal", ExitOK, "weight store permit: 12 late, 0 of them not served, p50 4", ""},
		{"late", ExitOK, "up to       4s      4 #######################", ""},
		{"late --above 6s", ExitOK, "2 of 12", ""},
		{"late --class urgent", ExitOK, "0 of 0", ""},
	})
}

func TestTLS(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewTLSServer(operator.NewServer(operator.ServerOptions{}))
	t.Cleanup(server.Close)
	f.url = server.URL
	authority := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	f.file("ca.pem", string(authority))
	f.steps([]step{
		{"--tls-ca-file DIR/ca.pem status", ExitOK, "revision 0", ""},
		{"status", ExitFailure, "", "certificate"},
		{"--tls-ca-file DIR/token status", ExitUsage, "", "no certificate in"},
	})
}
