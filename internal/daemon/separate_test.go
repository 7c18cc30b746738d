package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

// portOffset keeps the test's stand-ins apart from a dev mode that runs already.
const portOffset = 6000

// startStandinProcess runs the stand-ins as a process and drops the upstream
// hosts beyond the first engines from its list.
func startStandinProcess(t *testing.T, d *deployment, engines int) {
	t.Helper()
	p := &process{t: t, name: "standins", cmd: exec.Command(binary, "dev", "--platform-only", fmt.Sprintf("--port-offset=%d", portOffset)), done: make(chan struct{})}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	hostList := "http://" + devPorts(portOffset).at(devHostList)
	hosts := external.NewHostListClient(external.ClientOptions{BaseURL: hostList})
	var listing external.HostListing
	d.eventually("the stand-ins run", func() bool {
		var err error
		listing, err = hosts.Hosts(context.Background())
		return err == nil && len(listing.Hosts) > engines
	})
	for _, h := range listing.Hosts[1+engines:] {
		request, err := http.NewRequest(http.MethodDelete, hostList+"/admin/hosts/"+h.ID, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
}

// A router, two sidecars, the stand-ins and the operators' client, each a
// process of its own: a set is published and a cold model streams its answer.
func TestEverythingInProcessesOfItsOwn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const engines = 2
	ports := devPorts(portOffset)
	url := func(port int) string { return "http://" + ports.at(port) }
	d := &deployment{t: t, dir: t.TempDir(), client: http.DefaultClient}
	t.Cleanup(func() {
		if t.Failed() {
			d.dumpLogs()
		}
	})
	startStandinProcess(t, d, engines)
	router := &apiv1.RouterSettings{
		Host: devRouterHost, FailureDomain: "bayanzurkh", Listen: ports.at(devCallers),
		OperatorListen: ports.at(devOperators), GossipListen: ports.at(devGossip),
		Platform: &apiv1.PlatformSettings{TableUrl: url(devTable), ObjectUrl: url(devObjects), HostListUrl: url(devHostList), WeightUrl: url(devWeights)},
	}
	d.routerSettings = append(d.routerSettings, router)
	startProcess(t, d.dir, "router", router.GetHost(), router)
	for i := range engines {
		cfg := &apiv1.SidecarSettings{
			Host: engineHost(sample.OffcutGiveaway(), i), FailureDomain: "bayanzurkh", Listen: ports.at(devSidecars + i),
			OperatorListen: ports.at(devSidecarOps + i), EngineUrl: url(devEngines + i),
		}
		startProcess(t, d.dir, "sidecar", cfg.GetHost(), cfg)
	}
	d.waitReady(0)

	set := sample.OffcutGiveaway().Set()
	set.Deployment.Name = "published-by-the-client"
	file := filepath.Join(d.dir, "set.json")
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(set)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, data, 0o600))
	out, err := exec.Command(client, "--server", url(devOperators), "apply", file, "--message", "test", "--wait").CombinedOutput()
	t.Log(string(out))
	is.NoErr(err)
	is.True(strings.Contains(string(out), "published revision 2")) // the one after that of dev

	wantWhole(t, d.chat(0, "family-chat", "any wood left", 12), "family-chat", "any wood left", 12)
	wantWhole(t, d.chat(0, "manifest-reader", "forty pages", 12), "manifest-reader", "forty pages", 12)
}
