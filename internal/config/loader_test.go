package config

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

// publishWithQueue publishes a sample set with the given queue length.
func publishWithQueue(t *testing.T, p *Publisher, length uint32) (*apiv1.HeadRow, *apiv1.ObjectSet) {
	t.Helper()
	set := sample.OffcutGiveaway().Set()
	set.Models[0].MaxQueue = length
	row, err := p.Publish(context.Background(), set, PublishOptions{})
	if err != nil {
		t.Fatal(err)
	}
	return row, set
}

func TestLoaderAppliesDeltas(t *testing.T) {
	for _, test := range []struct {
		name string
		// corrupt changes the stored delta after the second publication; base is
		// the uncompressed body that the loader has cached.
		corrupt func(o *fakeObjects, deltaKey string, base []byte)
		want    LoaderStats
	}{
		{"delta", func(*fakeObjects, string, []byte) {}, LoaderStats{Deltas: 1, Bodies: 1}},
		{"no delta", func(o *fakeObjects, key string, _ []byte) { delete(o.bodies, key) }, LoaderStats{Bodies: 2}},
		{"damaged delta", func(o *fakeObjects, key string, _ []byte) { o.bodies[key] = []byte("damaged") }, LoaderStats{Bodies: 2}},
		{"delta to another body", func(o *fakeObjects, key string, base []byte) {
			o.bodies[key], _ = encodeDelta(base, base)
		}, LoaderStats{Bodies: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			objects := newFakeObjects()
			p := NewPublisher(newFakeTable(), objects, PublisherOptions{})
			loader := NewLoader(objects)

			first, _ := publishWithQueue(t, p, 10)
			_, err := loader.Load(ctx, first)
			is.NoErr(err)
			second, set := publishWithQueue(t, p, 20)
			test.corrupt(objects, DeltaKey(first.GetBodyKey(), second.GetBodyKey()), loader.last.uncompressed)
			for range 2 { // the second time from the cache
				index, err := loader.Load(ctx, second)
				is.NoErr(err)
				is.True(proto.Equal(index.Set, set))
			}
			stats := loader.Stats()
			stats.Bytes = 0
			is.Equal(stats, test.want)
		})
	}
}

func TestLoaderSkipsRevisions(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	objects := newFakeObjects()
	p := NewPublisher(newFakeTable(), objects, PublisherOptions{})
	loader := NewLoader(objects)
	first, _ := publishWithQueue(t, p, 10)
	_, err := loader.Load(ctx, first)
	is.NoErr(err)
	publishWithQueue(t, p, 20)
	third, set := publishWithQueue(t, p, 30)
	index, err := loader.Load(ctx, third)
	is.NoErr(err)
	is.True(proto.Equal(index.Set, set))
	is.Equal(index.Revision, uint64(3))
}

func TestDeltaIsOptional(t *testing.T) {
	is := is.New(t)
	objects := newFakeObjects()
	p := NewPublisher(newFakeTable(), objects, PublisherOptions{})
	publishWithQueue(t, p, 10)
	puts := 0
	objects.nextFault = func(call string) fault {
		puts++
		if puts > 1 {
			return faultNotSent // the body is stored, the delta isn't
		}
		return faultNone
	}
	row, set := publishWithQueue(t, p, 20)
	index, err := LoadBody(context.Background(), objects, row)
	is.NoErr(err)
	is.True(proto.Equal(index.Set, set))
}

func BenchmarkDelta(b *testing.B) {
	before, after := designSizeSet(), designSizeSet()
	after.Models[300].MaxQueue = 9
	base, err := marshalSet(before)
	if err != nil {
		b.Fatal(err)
	}
	next, err := marshalSet(after)
	if err != nil {
		b.Fatal(err)
	}
	delta, err := encodeDelta(base, next)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = encodeDelta(base, next)
		}
		b.ReportMetric(float64(len(delta)), "deltabytes")
	})
	stored := encoder.EncodeAll(next, nil)
	objects := newFakeObjects()
	baseKey, key := BodyKey(encoder.EncodeAll(base, nil)), BodyKey(stored)
	objects.bodies[DeltaKey(baseKey, key)] = delta
	objects.bodies[key] = stored
	b.Run("load", func(b *testing.B) {
		loader := NewLoader(objects)
		for b.Loop() {
			loader.last = &body{key: baseKey, uncompressed: base}
			if _, err := loader.Load(context.Background(), &apiv1.HeadRow{BodyKey: key}); err != nil {
				b.Fatal(err)
			}
		}
		if loader.Stats().Bodies > 0 {
			b.Fatal("a complete body was read instead of the delta")
		}
	})
}
