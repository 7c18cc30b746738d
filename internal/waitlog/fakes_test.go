package waitlog

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/requestid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

var errStore = &external.Error{Kind: external.KindUnavailable, Op: "fake put", OutcomeUnknown: true}

// fakeObjects is an object store in memory. Put fails while before returns an
// error, and its answer is lost while after does.
type fakeObjects struct {
	mu            sync.Mutex
	bodies        map[string][]byte
	before, after func() error
	reads         int
}

func noFault() error { return nil }

func outage() error { return errStore }

func newFakeObjects() *fakeObjects {
	return &fakeObjects{bodies: make(map[string][]byte), before: noFault, after: noFault}
}

func (f *fakeObjects) Put(_ context.Context, key string, body []byte) error {
	if err := f.before(); err != nil {
		return err
	}
	f.mu.Lock()
	f.bodies[key] = body
	f.mu.Unlock()
	return f.after()
}

func (f *fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	body, found := f.bodies[key]
	if !found {
		return nil, &external.Error{Kind: external.KindNotFound, Op: "fake get"}
	}
	return body, nil
}

func (f *fakeObjects) List(_ context.Context, prefix string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []string
	for key := range f.bodies {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

const baseMinute = 29_000_000

// served makes the record of a request that was served after wait milliseconds.
func served(n int, wait uint32) *apiv1.WaitRecord {
	minute := int64(baseMinute + n%3)
	id := requestid.ID{Router: fmt.Sprintf("r.%d", n%2), Minute: minute, Serial: fmt.Sprintf("b-%d", n)}
	return &apiv1.WaitRecord{
		RequestId:     id.String(),
		Target:        "manifest-reader",
		PriorityClass: "normal",
		ArrivedUnixMs: minute * 60_000,
		FirstTokenMs:  wait,
		TotalMs:       wait + 100,
		Outcome:       apiv1.Outcome_OUTCOME_SERVED,
	}
}

func phase(kind apiv1.PhaseKind, start, length uint32, cause string) *apiv1.Phase {
	return &apiv1.Phase{Kind: kind, StartMs: start, LengthMs: length, Cause: cause, Host: "lm-03"}
}
