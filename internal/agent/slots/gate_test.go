package slots

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// history is the oracle: it keeps all that happened and searches it anew for
// each question.
type history struct {
	boots    []string
	accepted []*apiv1.AssignSlots
	releases []*apiv1.SlotSpec
}

func (h *history) boot() string { return h.boots[len(h.boots)-1] }

func (h *history) acceptable(list *apiv1.AssignSlots) bool {
	ok := list.GetBootId() == h.boot()
	for _, earlier := range h.accepted {
		ok = ok && list.GetTableRevision() >= earlier.GetTableRevision()
		ok = ok && list.GetConfigRevision() >= earlier.GetConfigRevision()
	}
	return ok
}

func (h *history) released(model string, generation uint64) bool {
	for _, r := range h.releases {
		if r.GetModel() == model && r.GetGeneration() >= generation {
			return true
		}
	}
	return false
}

func (h *history) current() *apiv1.AssignSlots {
	if len(h.accepted) == 0 {
		return nil
	}
	last := h.accepted[len(h.accepted)-1]
	if last.GetBootId() != h.boot() {
		return nil
	}
	return last
}

func (h *history) verdict(n Named) Verdict {
	list := h.current()
	if list == nil {
		return Stale
	}
	if h.released(n.Key.Model, n.Generation) {
		return NotAssigned
	}
	for _, spec := range list.GetSlots() {
		if spec.GetModel() == n.Key.Model && spec.GetGeneration() == n.Generation {
			return Admitted
		}
	}
	if n.TableRevision > list.GetTableRevision() || n.ConfigRevision > list.GetConfigRevision() {
		return Stale
	}
	return NotAssigned
}

var models = []string{"a", "b"}

func TestGateAgreesWithItsHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{boots: []string{"boot-0"}}
		gate := New(h.boot())
		small := rapid.Uint64Range(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"assign": func(t *rapid.T) {
				list := &apiv1.AssignSlots{
					BootId:         rapid.SampledFrom(append(h.boots, h.boot(), "other")).Draw(t, "boot"),
					TableRevision:  small.Draw(t, "table"),
					ConfigRevision: small.Draw(t, "config"),
				}
				for _, model := range models {
					if rapid.Bool().Draw(t, "has "+model) {
						list.Slots = append(list.Slots, &apiv1.SlotSpec{Model: model, Generation: small.Draw(t, "generation")})
					}
				}
				want := h.acceptable(list)
				if err := gate.Assign(list); (err == nil) != want {
					t.Fatalf("%v accepted: %v, want %v", list, err, want)
				}
				if want {
					h.accepted = append(h.accepted, list)
				}
			},
			"release": func(t *rapid.T) {
				r := &apiv1.SlotSpec{Model: rapid.SampledFrom(models).Draw(t, "model"), Generation: small.Draw(t, "generation")}
				gate.Release(KeyOf(r), r.GetGeneration())
				h.releases = append(h.releases, r)
			},
			"pause": func(*rapid.T) {
				h.boots = append(h.boots, fmt.Sprint("boot-", len(h.boots)))
				gate.Restart(h.boot())
			},
			"check": func(t *rapid.T) {
				n := Named{
					Key:            Key{Model: rapid.SampledFrom(models).Draw(t, "model")},
					Generation:     small.Draw(t, "generation"),
					TableRevision:  small.Draw(t, "table"),
					ConfigRevision: small.Draw(t, "config"),
				}
				if _, got := gate.Check(n); got != h.verdict(n) {
					t.Fatalf("%v: verdict %d, want %d", n, got, h.verdict(n))
				}
			},
			"": func(t *rapid.T) {
				if gate.Open() != (h.current() != nil) || gate.BootID() != h.boot() {
					t.Fatalf("gate open: %v, boot %s", gate.Open(), gate.BootID())
				}
			},
		})
	})
}

func TestRefusedPushSaysWhy(t *testing.T) {
	for _, tc := range []struct {
		name string
		list *apiv1.AssignSlots
		want string
	}{
		{"boot", &apiv1.AssignSlots{BootId: "b0", ConfigRevision: 5, TableRevision: 5}, `slots rejected: boot id is "b1", not "b0": read the slots again after hello`},
		{"table", &apiv1.AssignSlots{BootId: "b1", ConfigRevision: 5, TableRevision: 4}, "slots rejected: table revision 4 is lower than 5: read the slots again"},
		{"config", &apiv1.AssignSlots{BootId: "b1", ConfigRevision: 4, TableRevision: 5}, "slots rejected: configuration revision 4 is lower than 5: read the head again"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			gate := New("b1")
			is.NoErr(gate.Assign(&apiv1.AssignSlots{BootId: "b1", ConfigRevision: 5, TableRevision: 5}))
			is.Equal(gate.Assign(tc.list).Error(), tc.want)
		})
	}
}
