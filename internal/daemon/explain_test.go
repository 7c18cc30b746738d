package daemon

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// Why a request waited can be read through any router, also after the router
// that served it is gone.
func TestExplainOutlivesTheRouter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx := context.Background()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{slowKnobs()}, set: testSet(1)})
	a := d.chat(0, "model-0", "why so late", 5)
	wantWhole(t, a, "model-0", "why so late", 5)
	here, err := d.operator(0).Explain(ctx, a.id) // from the memory of its router
	is.NoErr(err)
	record := &apiv1.WaitRecord{}
	is.NoErr(protojson.Unmarshal(here.Record, record))
	is.Equal(record.GetTarget(), "model-0")
	is.True(record.GetColdStart())

	d.eventually("the record is stored", func() bool {
		_, err := d.operator(1).Explain(ctx, a.id)
		return err == nil
	})
	d.routers[0].kill()
	there, err := d.operator(1).Explain(ctx, a.id)
	is.NoErr(err)
	is.Equal(there.Lines, here.Lines)
	is.Equal(there.MainCause, here.MainCause)
}
