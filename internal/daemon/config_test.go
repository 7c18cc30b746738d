package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// tableOutage is how long the table is down.
const tableOutage = time.Second

// inForceLimit is the required limit of the time from the acceptance of a revision until
// it is in force on all routers.
const inForceLimit = 9 * time.Second

func (d *deployment) operatorClient(router int) *operator.Client {
	return operator.NewClient(operator.ClientOptions{Servers: []string{"http://" + d.routerSettings[router].GetOperatorListen()}})
}

// waitInForce waits until each router reports that all routers have the revision in
// force, and fails if that takes longer than inForceLimit.
func (d *deployment) waitInForce(revision uint64) time.Duration {
	d.t.Helper()
	accepted := time.Now()
	for router := range d.routers {
		d.eventually("revision is in force", func() bool {
			status, err := d.operatorClient(router).Status(context.Background())
			return err == nil && len(status.Unconfirmed(revision)) == 0
		})
	}
	took := time.Since(accepted)
	d.t.Logf("revision %d in force on all nodes %s after it was accepted", revision, took.Round(time.Millisecond))
	if took > inForceLimit {
		d.t.Errorf("revision %d took %s, the limit is %s", revision, took, inForceLimit)
	}
	return took
}

// watchRevisions polls the revision that each router reports of itself and fails the
// test if it decreases. A router without a configuration reports 0 and is not ready.
func (d *deployment) watchRevisions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range d.routers {
		wg.Go(func() {
			highest := uint64(0)
			for ; ctx.Err() == nil; time.Sleep(pollInterval) {
				status, err := d.operatorClient(i).Status(ctx)
				if err != nil {
					continue // killed or suspended
				}
				for _, node := range status.Nodes {
					if node.Host != d.routerSettings[i].GetHost() || node.ConfigRevision == 0 {
						continue
					}
					if node.ConfigRevision < highest {
						d.t.Errorf("%s went from revision %d to %d", node.Host, highest, node.ConfigRevision)
					}
					highest = max(highest, node.ConfigRevision)
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// apply publishes a set through a router and returns the accepted revision, or 0 on a
// conflict with another operator.
func (d *deployment) apply(router, models int) (uint64, error) {
	set, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(testSet(models))
	if err != nil {
		return 0, err
	}
	reply, err := d.operatorClient(router).Apply(context.Background(), operator.ApplyRequest{Set: set, Author: fmt.Sprintf("operator %d", router)})
	var rejected *operator.Error
	switch {
	case errors.As(err, &rejected) && rejected.Kind == operator.KindConflict:
		return 0, nil
	case err != nil:
		return 0, err
	}
	return reply.Revision.Revision, nil
}

// Guards against a revision that decreases or is accepted twice: two operators publish
// through two routers at the same time while the table loses replies. Then one router
// restarts while the table is down.
func TestConfigRevisionsNeverGoDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rounds = 5
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{testEngineConfig()}, set: testSet(1)})
	stop := d.watchRevisions()
	defer stop()
	last := uint64(0)
	for round := range rounds {
		d.cluster.Table.Faults.Set(standin.Faults{LoseEvery: 3})
		accepted := make([]uint64, len(d.routers))
		var wg sync.WaitGroup
		for i := range d.routers {
			wg.Go(func() {
				var err error
				accepted[i], err = d.apply(i, 1+(round+i)%3)
				if err != nil {
					t.Errorf("apply through router %d: %v", i, err)
				}
			})
		}
		wg.Wait()
		is.True(accepted[0] != accepted[1])           // no revision is accepted twice
		is.True(max(accepted[0], accepted[1]) > last) // one operator succeeds in each round
		last = max(accepted[0], accepted[1])
		d.waitInForce(last)
	}
	// A router that starts while the table is down is not ready; when the table is back
	// the router has the revision that was accepted last.
	down := standin.Faults{Down: true}
	d.cluster.Table.Faults.Set(down)
	d.routers[0].kill()
	d.restartRouter(0)
	time.Sleep(tableOutage)
	response, err := d.client.Get(d.url(0) + "/readyz")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, 503)
	d.cluster.Table.Faults.Set(standin.Faults{})
	d.waitReady(0)
	status, err := d.operatorClient(0).Status(context.Background())
	is.NoErr(err)
	is.Equal(status.Revision, last)
}
