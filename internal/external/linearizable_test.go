package external_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// casInput is a compare-and-swap of one row, or a read when put is empty.
type casInput struct{ from, put string }

// casOutput is the outcome of a casInput. A read sets value.
type casOutput struct {
	value   string
	done    bool
	unknown bool
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(string), input.(casInput), output.(casOutput)
		fits := value == in.from
		switch {
		case in.put == "":
			return out.value == value, value
		case out.unknown && fits:
			// A swap with unknown outcome that never takes effect is equivalent to
			// one that takes effect after all others.
			return true, in.put
		case out.unknown:
			return true, value
		case out.done:
			return fits, in.put
		default:
			return !fits, value
		}
	},
}

// history records operations with their call and return times.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) add(client int, called int64, in casInput, out casOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{ClientId: client, Call: called, Input: in, Output: out, Return: h.now()}
	if out.unknown {
		op.Return = int64(time.Hour) // may take effect at any later time
	}
	h.ops = append(h.ops, op)
}

// readAndSwap reads the row and replaces it conditionally.
func readAndSwap(table external.TableService, h *history, client, round int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	called := h.now()
	row, err := table.Get(ctx, "register")
	if err != nil {
		return err
	}
	h.add(client, called, casInput{}, casOutput{value: string(row.Value)})
	id := fmt.Sprintf("%d-%d", client, round)
	called = h.now()
	result, err := external.CommitResolved(ctx, table, external.Txn{
		ID:     id,
		Checks: []external.Check{{Key: "register", Version: row.Version}},
		Puts:   []external.Put{{Key: "register", Value: []byte(id)}},
	})
	out := casOutput{done: result.Committed, unknown: err != nil}
	h.add(client, called, casInput{from: string(row.Value), put: id}, out)
	return nil
}

func TestConditionalCommitsAreLinearizable(t *testing.T) {
	const clients, rounds = 8, 25
	for _, tc := range []struct {
		name   string
		faults standin.Faults
	}{
		{"no fault", standin.Faults{}},
		{"every third response lost", standin.Faults{LoseEvery: 3}},
		{"slow and every second response lost", standin.Faults{DelayMS: 1, LoseEvery: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, standin.ClusterOptions{})
			table := newTable(t, c)
			c.Table.Faults.Set(tc.faults)
			h := &history{start: time.Now()}
			var wg sync.WaitGroup
			for client := range clients {
				wg.Go(func() {
					for round := range rounds {
						if err := readAndSwap(table, h, client, round); err != nil {
							t.Error(err)
						}
					}
				})
			}
			wg.Wait()
			is.Equal(len(h.ops), 2*clients*rounds)
			is.True(porcupine.CheckOperations(registerModel, h.ops))
		})
	}
}
