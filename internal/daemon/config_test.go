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

// outageLength is how long the table is away.
const outageLength = time.Second

// inForceLimit is the time of the letter from acceptance to being in force.
const inForceLimit = 9 * time.Second

func (d *deployment) operator(router int) *operator.Client {
	return operator.NewClient(operator.ClientOptions{Servers: []string{"http://" + d.routerSettings[router].GetOperatorListen()}})
}

// waitInForce returns once all routers have a revision in force, as each router
// tells it.
func (d *deployment) waitInForce(revision uint64) time.Duration {
	d.t.Helper()
	accepted := time.Now()
	for router := range d.routers {
		d.eventually("revision is in force", func() bool {
			status, err := d.operator(router).Status(context.Background())
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

// watchRevisions polls what each router says about itself and fails when it
// falls. A router that has none in force reports 0 and is not ready.
func (d *deployment) watchRevisions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range d.routers {
		wg.Go(func() {
			highest := uint64(0)
			for ; ctx.Err() == nil; time.Sleep(pollPeriod) {
				status, err := d.operator(i).Status(ctx)
				if err != nil {
					continue // killed or frozen
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

// apply publishes a set through a router and returns the accepted revision, or
// 0 when another operator came first.
func (d *deployment) apply(router, models int) (uint64, error) {
	set, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(testSet(models))
	if err != nil {
		return 0, err
	}
	reply, err := d.operator(router).Apply(context.Background(), operator.ApplyRequest{Set: set, Author: fmt.Sprintf("operator %d", router)})
	var refused *operator.Error
	switch {
	case errors.As(err, &refused) && refused.Kind == operator.KindConflict:
		return 0, nil
	case err != nil:
		return 0, err
	}
	return reply.Revision.Revision, nil
}

// Two operators race through two routers, while table answers are lost; then
// one router is restarted with the whole platform down.
func TestConfigRevisionsNeverGoDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rounds = 5
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{testKnobs()}, set: testSet(1)})
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
		is.True(accepted[0] != accepted[1])           // no revision has two winners
		is.True(max(accepted[0], accepted[1]) > last) // and each round has one
		last = max(accepted[0], accepted[1])
		d.waitInForce(last)
	}
	// A router that starts while the table is away is not ready, and takes the
	// revision that was accepted last once it is back.
	down := standin.Faults{Down: true}
	d.cluster.Table.Faults.Set(down)
	d.routers[0].kill()
	d.restartRouter(0)
	time.Sleep(outageLength)
	response, err := d.client.Get(d.url(0) + "/readyz")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, 503)
	d.cluster.Table.Faults.Set(standin.Faults{})
	d.waitReady(0)
	status, err := d.operator(0).Status(context.Background())
	is.NoErr(err)
	is.Equal(status.Revision, last)
}
