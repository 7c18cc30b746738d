package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func TestBurstOfFirstRequestsLoadsOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), nil)
		defer b.close()
		is.True(b.assign(slot("m", 1)).GetAccepted())
		var streams []*fakeStream
		for i := range 200 {
			streams = append(streams, b.generate(request(fmt.Sprint("r", i), "m", 1)))
		}
		for i, s := range streams {
			got := result(s)
			is.Equal(got.end.GetRequestId(), fmt.Sprint("r", i))
			is.Equal(len(got.text), 5)
			is.True(!got.gap)
		}
		is.Equal(b.engine.loads["m"], 1)
		is.Equal(b.engine.breaches, nil)
		is.Equal(b.agent.Stats().Served, uint64(200))
	})
}

func TestNothingIsAdmittedBeforeAnAssignment(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), nil)
		defer b.close()
		got := result(b.generate(request("r", "m", 1)))
		is.Equal(got.refusal.GetKind(), apiv1.RefusalKind_REFUSAL_KIND_STALE)
		is.True(!got.refusal.GetOutcomeUnknown())
		is.Equal(len(b.engine.loads), 0)
	})
}

func TestCallerThatLeavesDoesNotAbortTheLoad(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), nil)
		defer b.close()
		b.assign(slot("m", 1))
		first := b.generate(request("r1", "m", 1))
		second := b.generate(request("r2", "m", 1))
		time.Sleep(500 * time.Millisecond)
		first.in <- &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Cancel{Cancel: &apiv1.Cancel{}}}
		is.Equal(result(first).ends, 1)
		is.Equal(result(second).end.GetTotalTokens(), uint32(5))
		is.Equal(b.engine.loads["m"], 1)
	})
}

func TestPhasesNameTheSourceOfALoad(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tier  external.Tier
		cause string
	}{
		{"remote", external.TierRemote, "from remote storage"},
		{"disk", external.TierDisk, "from local disk"},
		{"memory", external.TierMemory, "from host memory"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				engine := newFakeEngine()
				engine.cached = []external.CachedCheckpoint{{Checkpoint: "m-v1.ckpt", Tier: tc.tier}}
				b := newBench(engine, nil)
				defer b.close()
				b.assign(slot("m", 1))
				got := result(b.generate(request("r", "m", 1)))
				causes := make(map[apiv1.PhaseKind]*apiv1.Phase)
				for _, phase := range got.phases {
					causes[phase.GetKind()] = phase
				}
				load := causes[apiv1.PhaseKind_PHASE_KIND_LOAD]
				is.Equal(load.GetCause(), tc.cause)
				is.Equal(load.GetLengthMs(), uint32(1000))
				is.True(causes[apiv1.PhaseKind_PHASE_KIND_ENGINE] != nil)
			})
		})
	}
}

func TestAStreamEndsWholeOrRefused(t *testing.T) {
	token := func(id string, offset int) external.TokenEvent {
		return external.TokenEvent{RequestID: id, Offset: offset, Text: tokenText(id, offset)}
	}
	end := func(offset int) external.TokenEvent {
		return external.TokenEvent{RequestID: "r", Offset: offset, Done: true}
	}
	for _, tc := range []struct {
		name   string
		script [][]external.TokenEvent
		whole  bool
	}{
		{"cut once", [][]external.TokenEvent{{token("r", 0), token("r", 1)}}, true},
		{"cut twice", [][]external.TokenEvent{{token("r", 0)}, {token("r", 1)}}, true},
		{"cut at once, three times", [][]external.TokenEvent{{}, {}, {}}, false},
		{"other request", [][]external.TokenEvent{{token("x", 0), token("r", 0), token("r", 1), end(2)}}, true},
		{"other request's end", [][]external.TokenEvent{{{RequestID: "x", Done: true}, token("r", 0), end(1)}}, true},
		{"duplicate", [][]external.TokenEvent{{token("r", 0), token("r", 0), token("r", 1), end(2)}}, true},
		{"gap", [][]external.TokenEvent{{token("r", 0), token("r", 2), end(3)}}, true},
		{"gap each time", [][]external.TokenEvent{{token("r", 1)}, {token("r", 1)}, {token("r", 1)}}, false},
		{"end too early", [][]external.TokenEvent{{token("r", 0), end(0)}, {end(0)}, {end(0)}}, false},
		{"end too late", [][]external.TokenEvent{{token("r", 0), end(3)}, {end(3)}, {end(3)}}, false},
		{"error event", [][]external.TokenEvent{{{RequestID: "r", Error: "out of memory"}}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(newFakeEngine(), nil)
				defer b.close()
				b.assign(slot("m", 1))
				b.engine.script = tc.script
				got := result(b.generate(request("r", "m", 1)))
				is.Equal(got.ends, 1)
				is.True(!got.gap)
				for i, text := range got.text {
					is.Equal(text, tokenText("r", i))
				}
				is.Equal(got.end != nil, tc.whole)
				if tc.whole {
					is.Equal(int(got.end.GetTotalTokens()), len(got.text))
				} else {
					is.True(got.refusal.GetOutcomeUnknown())
				}
			})
		})
	}
}

func TestCancelReachesTheEngine(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), nil)
		defer b.close()
		b.assign(slot("m", 1))
		in := request("r", "m", 1)
		in.MaxTokens = 1000
		s := b.generate(in)
		time.Sleep(3 * time.Second)
		_ = s.Close() // the router's end of the stream is gone
		synctest.Wait()
		is.Equal(b.engine.cancels, 1)
		is.Equal(b.engine.models["m"].running, 0)
	})
}

func TestDrainRefusesNewWorkAndCutsNone(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), nil)
		defer b.close()
		b.assign(slot("m", 1))
		waiting := b.generate(request("r1", "m", 1))
		synctest.Wait()
		b.agent.Drain()
		refused := result(b.generate(request("r2", "m", 1))).refusal
		is.Equal(refused.GetKind(), apiv1.RefusalKind_REFUSAL_KIND_DRAINING)
		is.True(!refused.GetOutcomeUnknown())
		is.NoErr(b.agent.Wait(t.Context()))
		is.Equal(result(waiting).end.GetTotalTokens(), uint32(5))
	})
}

func TestLeavingHostTakesWorkAgainWhenItStays(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(newFakeEngine(), nil)
		defer b.close()
		b.assign(slot("m", 1))
		b.agent.heedHostList(true, 2)
		is.Equal(result(b.generate(request("r1", "m", 1))).refusal.GetKind(), apiv1.RefusalKind_REFUSAL_KIND_DRAINING)
		b.agent.heedHostList(false, 3)
		is.True(result(b.generate(request("r2", "m", 1))).end != nil)
	})
}

func TestRestartedSidecarTakesOverTheLoadInFlight(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault fault
	}{{"loading", faultNone}, {"order still on its way", faultLateOrder}} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				engine := newFakeEngine()
				engine.faults = []fault{tc.fault}
				engine.loadTime = 4 * time.Second
				b := newBench(engine, nil)
				defer b.close()
				b.assign(slot("m", 1))
				first := b.generate(request("r1", "m", 1))
				time.Sleep(500 * time.Millisecond) // past the jitter of a load without permit
				b.restart()
				is.Equal(result(first).end, nil)
				released := b.release("m", 1)
				<-released.closed
				is.True(!released.frames()[0].GetRelease().GetReleased()) // not known yet
				b.assign(slot("m", 2), slot("n", 1), slot("o", 1))
				streams := []*fakeStream{b.generate(request("r2", "m", 2))}
				synctest.Wait() // the load of m is planned before it turns out to run
				streams = append(streams, b.generate(request("r3", "n", 1)), b.generate(request("r4", "o", 1)))
				for _, s := range streams {
					is.True(result(s).end != nil)
				}
				is.Equal(engine.breaches, nil)
				is.Equal(engine.loads["m"], 1)
			})
		})
	}
}

func TestOrderFaultsDelayButDoNotFailTheRequest(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault fault
		loads int
	}{
		{"answer lost", faultLostAnswer, 1},
		{"no answer", faultNoAnswer, 1},
		{"order late", faultLateOrder, 1},
		{"order lost", faultLostOrder, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				engine := newFakeEngine()
				engine.faults = []fault{tc.fault}
				b := newBench(engine, nil)
				defer b.close()
				b.assign(slot("m", 1))
				is.True(result(b.generate(request("r", "m", 1))).end != nil)
				is.Equal(engine.loads["m"], tc.loads)
				engine.faults = []fault{tc.fault}
				released := b.release("m", 1)
				<-released.closed
				is.True(released.frames()[0].GetRelease().GetReleased())
				is.Equal(len(engine.models), 0)
				is.Equal(engine.breaches, nil)
			})
		})
	}
}

func TestRequestSurvivesAnEngineRestart(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after time.Duration // of the restart
	}{{"before the request", 0}, {"in the middle of the answer", 25 * time.Millisecond}} {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(newFakeEngine(), nil)
				defer b.close()
				b.assign(slot("m", 1))
				result(b.generate(request("r1", "m", 1)))
				if tc.after == 0 {
					b.engine.restart()
				}
				s := b.generate(request("r2", "m", 1))
				time.Sleep(tc.after)
				if tc.after > 0 {
					is.True(len(read(s).text) > 0)
					b.engine.restart()
				}
				got := result(s)
				for i, text := range got.text {
					is.Equal(text, tokenText("r2", i))
				}
				is.Equal(len(got.text), 5)
				is.True(got.end != nil && !got.gap)
				is.Equal(b.engine.loads["m"], 2)
			})
		})
	}
}
