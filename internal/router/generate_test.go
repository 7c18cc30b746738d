package router_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/router"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// script is what one sidecar does at each try; the last one is repeated.
type script []func(s *transport.Stream, req *apiv1.GenerateRequest)

func (sc script) play(f *fakeSidecar) {
	f.generate = func(s *transport.Stream, req *apiv1.GenerateRequest) {
		n := min(int(f.generations.Load()), len(sc))
		sc[n-1](s, req)
	}
}

func refuseWith(kind apiv1.RefusalKind, unknown bool) func(*transport.Stream, *apiv1.GenerateRequest) {
	return func(s *transport.Stream, _ *apiv1.GenerateRequest) {
		refuse(s, &apiv1.Refusal{Kind: kind, Message: "refused", OutcomeUnknown: unknown, RetryAfterMs: 1500})
	}
}

func cutAfter(tokens int) func(*transport.Stream, *apiv1.GenerateRequest) {
	return func(s *transport.Stream, req *apiv1.GenerateRequest) {
		for i := int(req.GetOffset()); i < tokens; i++ {
			sendTokens(s, req.GetRequestId(), i, words[i])
		}
	}
}

func serveDuplicates(s *transport.Stream, req *apiv1.GenerateRequest) {
	sendTokens(s, req.GetRequestId(), 0, words[0], words[1])
	sendTokens(s, req.GetRequestId(), 0, words[0])
	sendTokens(s, req.GetRequestId(), 1, words[1], words[2])
	sendTokens(s, req.GetRequestId(), 3, words[3], words[4])
	sendEnd(s, req.GetRequestId(), len(words))
}

func serveCrossed(s *transport.Stream, req *apiv1.GenerateRequest) {
	sendTokens(s, "other.1", 0, "swap ", "confirmed")
	sendEnd(s, "other.1", 2)
	serveWords(s, req)
}

func serveWithGap(s *transport.Stream, req *apiv1.GenerateRequest) {
	sendTokens(s, req.GetRequestId(), int(req.GetOffset()), words[req.GetOffset()])
	sendTokens(s, req.GetRequestId(), int(req.GetOffset())+2, "gap")
	sendEnd(s, req.GetRequestId(), len(words))
}

func serveShort(s *transport.Stream, req *apiv1.GenerateRequest) {
	sendTokens(s, req.GetRequestId(), 0, words[0])
	sendEnd(s, req.GetRequestId(), len(words))
}

func TestGenerateFaults(t *testing.T) {
	const (
		notAssigned = apiv1.RefusalKind_REFUSAL_KIND_NOT_ASSIGNED
		draining    = apiv1.RefusalKind_REFUSAL_KIND_DRAINING
		deadline    = apiv1.RefusalKind_REFUSAL_KIND_DEADLINE
		noMemory    = apiv1.RefusalKind_REFUSAL_KIND_NO_MEMORY
		upstream    = apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM
		noStream    = apiv1.RefusalKind_REFUSAL_KIND_NO_STREAM
		stale       = apiv1.RefusalKind_REFUSAL_KIND_STALE
	)
	whole := serveWords
	for _, tc := range []struct {
		name string
		// first and second are the scripts of the two hosts; only the first
		// is a ready replica.
		first, second script
		// plain and streamed are the outcomes: "" when served.
		plain, streamed string
		tries           [2]int64 // of a plain request, at each host
	}{
		{"served", script{whole}, script{whole}, "", "", [2]int64{1, 0}},
		{"cut before the first token", script{cutAfter(0), whole}, script{whole}, "", "", [2]int64{2, 0}},
		{"cut in the middle", script{cutAfter(2), whole}, script{whole}, "", "", [2]int64{2, 0}},
		{"cut before the end mark", script{cutAfter(5), whole}, script{whole}, "", "", [2]int64{2, 0}},
		{"cut twice", script{cutAfter(2)}, script{whole}, "", "unknown", [2]int64{2, 1}},
		{"stream is lost", script{cutAfter(2), refuseWith(noStream, false), whole}, script{whole}, "", "unknown", [2]int64{3, 0}},
		{"duplicates", script{serveDuplicates}, script{whole}, "", "", [2]int64{1, 0}},
		{"crossed answers", script{serveCrossed}, script{whole}, "", "", [2]int64{1, 0}},
		{"tokens missing", script{serveWithGap, whole}, script{whole}, "", "", [2]int64{2, 0}},
		{"short answer", script{serveShort, whole}, script{whole}, "", "", [2]int64{2, 0}},
		{"always short", script{serveShort}, script{serveShort}, "unknown", "unknown", [2]int64{2, 2}},
		{"not assigned yet", script{refuseWith(notAssigned, false), refuseWith(stale, false), whole}, script{whole}, "", "", [2]int64{3, 0}},
		{"draining", script{refuseWith(draining, false)}, script{whole}, "", "", [2]int64{1, 1}},
		{"deadline", script{refuseWith(deadline, false)}, script{whole}, "not-run", "not-run", [2]int64{1, 0}},
		{"no memory", script{refuseWith(noMemory, false)}, script{whole}, "not-run", "not-run", [2]int64{1, 0}},
		{"engine failed before it ran", script{refuseWith(upstream, false)}, script{whole}, "", "", [2]int64{2, 1}},
		{"engine failed", script{refuseWith(upstream, true), whole}, script{whole}, "", "", [2]int64{2, 0}},
		{"engine fails, then no memory", script{refuseWith(upstream, true), refuseWith(noMemory, false)}, script{whole}, "unknown", "unknown", [2]int64{2, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, stream := range []bool{false, true} {
				is := is.New(t)
				a, b := newFakeSidecar(t, "a"), newFakeSidecar(t, "b")
				tc.first.play(a)
				tc.second.play(b)
				f := newFixture(t, nil, a, b)
				f.report("a", 0, apiv1.ReplicaState_REPLICA_STATE_READY, 0)
				got := f.chat(t, stream)
				want := tc.plain
				if stream {
					want = tc.streamed
				}
				checkAnswer(t, got, stream, want)
				is.Equal(len(f.refreshed) > 0, tc.name == "not assigned yet")
				if !stream {
					is.Equal(a.generations.Load(), tc.tries[0])
					is.Equal(b.generations.Load(), tc.tries[1])
				}
				checkCount(t, f.checkSum(t), want)
			}
		})
	}
}

func checkCount(t *testing.T, s router.Stats, outcome string) {
	t.Helper()
	is := is.New(t)
	is.Equal(s.Accepted, int64(1))
	is.Equal(s.Served == 1, outcome == "")
	is.Equal(s.NotRun == 1, outcome == "not-run")
	is.Equal(s.Unknown == 1, outcome == "unknown")
}

// checkAnswer demands the whole answer, or an error that can't be taken for one.
func checkAnswer(t *testing.T, got reply, stream bool, outcome string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(got.err)
	is.True(got.header.Get(router.HeaderRequestID) != "")
	text, finished, failed := readAnswer(t, got, stream)
	if outcome == "" {
		is.Equal(got.status, http.StatusOK)
		is.Equal(text, strings.Join(words, ""))
		is.True(finished && !failed)
		return
	}
	is.True(!finished)
	if got.status == http.StatusOK {
		is.True(stream && failed)
		is.True(strings.Contains(got.body, `"outcome":"`+outcome+`"`))
		is.True(strings.HasPrefix(strings.Join(words, ""), text)) // no token is wrong or doubled
		return
	}
	is.Equal(got.outcome(), outcome)
	is.True(strings.Contains(got.body, `"remedy":`))
	is.True(outcome == "unknown" || got.header.Get("Retry-After") != "")
}

// readAnswer returns the text of an answer, whether it has its end mark and
// whether it ends in an error.
func readAnswer(t *testing.T, got reply, stream bool) (text string, finished, failed bool) {
	t.Helper()
	if got.status != http.StatusOK {
		return "", false, true
	}
	type choice struct {
		Delta, Message struct{ Content string }
		FinishReason   string `json:"finish_reason"`
	}
	read := func(raw string) choice {
		var chunk struct{ Choices []choice }
		if err := json.Unmarshal([]byte(raw), &chunk); err != nil {
			t.Fatalf("%v in %q", err, raw)
		}
		return chunk.Choices[0]
	}
	if !stream {
		c := read(got.body)
		return c.Message.Content, c.FinishReason == "stop", false
	}
	for event := range strings.SplitSeq(strings.TrimSuffix(got.body, "\n\n"), "\n\n") {
		switch {
		case event == "data: [DONE]":
			finished = true
		case strings.HasPrefix(event, "event: error"):
			failed = true
		default:
			text += read(strings.TrimPrefix(event, "data: ")).Delta.Content
		}
	}
	return text, finished, failed
}

func TestResumeNamesTheOffset(t *testing.T) {
	is := is.New(t)
	a := newFakeSidecar(t, "a")
	var offsets []uint32
	a.generate = func(s *transport.Stream, req *apiv1.GenerateRequest) {
		offsets = append(offsets, req.GetOffset())
		if req.GetAttempt() < 3 {
			cutAfter(int(req.GetAttempt())*2)(s, req)
			return
		}
		serveWords(s, req)
	}
	f := newFixture(t, nil, a)
	got := f.chat(t, false)
	is.Equal(got.status, http.StatusOK)
	is.Equal(offsets, []uint32{0, 2, 0}) // the third try might be on another host
	is.Equal(f.checkSum(t).Cuts, int64(2))
}

func TestRequestCarriesItsTerms(t *testing.T) {
	is := is.New(t)
	a := newFakeSidecar(t, "a")
	var seen *apiv1.GenerateRequest
	a.generate = func(s *transport.Stream, req *apiv1.GenerateRequest) {
		seen = req
		_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Phase{Phase: &apiv1.Phase{
			Kind: apiv1.PhaseKind_PHASE_KIND_LOAD, LengthMs: 40, Cause: "from disk",
		}}})
		serveWords(s, req)
	}
	f := newFixture(t, nil, a)
	got := f.do(t, http.MethodPost, "/v1/chat/completions",
		`{"model":"manifest:depot","max_tokens":9,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`,
		router.HeaderDeadline, "3000", router.HeaderPriority, "urgent")
	is.Equal(got.status, http.StatusOK)
	is.Equal(seen.GetRequestId(), got.header.Get(router.HeaderRequestID))
	is.Equal(seen.GetAdapterCheckpoint(), "a1")
	is.Equal(seen.GetGeneration(), uint64(1))
	is.Equal(seen.GetTableRevision(), uint64(1)) // that of the slot row
	is.Equal(seen.GetPriorityClass(), "urgent")
	is.Equal(seen.GetMaxTokens(), uint32(9))
	is.Equal(seen.GetPrompt(), "user: hi")
	is.True(seen.GetDeadlineMs() > 0 && seen.GetDeadlineMs() <= 3000)

	f.checkSum(t)
	record := f.records.last()
	is.Equal(record.GetOutcome(), apiv1.Outcome_OUTCOME_SERVED)
	is.True(record.GetColdStart())
	is.Equal(record.GetHost(), "a")
	is.True(len(record.GetPhases()) > 0)
	is.Equal(record.GetPhases()[0].GetCause(), "from disk")
}

// TestFrozenHost freezes a host in the middle of an answer. A plain request is
// served by another host within its deadline, which passes before the sessions'
// own keep-alive would find out. A half-delivered stream goes on at the host when
// it is back.
func TestFrozenHost(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) {
			is := is.New(t)
			a, b := newFakeSidecar(t, "a"), newFakeSidecar(t, "b")
			frozen := newFreezer(t, a.server.Addr())
			script{func(s *transport.Stream, req *apiv1.GenerateRequest) {
				sendTokens(s, req.GetRequestId(), 0, words[0])
				time.Sleep(50 * time.Millisecond) // the token passes
				frozen.gate.Lock()
				_ = s.Recv(&apiv1.RouterFrame{})
			}, serveWords}.play(a)
			b.generate = serveWords
			f := newFixture(t, nil, a, b)
			listing := f.view.Load().Hosts
			listing.Hosts = slices.Clone(listing.Hosts)
			listing.Hosts[0].Address = frozen.address
			listing.Revision++
			f.view.SetHosts(listing)
			f.report("a", 0, apiv1.ReplicaState_REPLICA_STATE_READY, 0)
			got := make(chan reply, 1)
			go func() { got <- f.chat(t, stream, router.HeaderDeadline, "9000") }()
			for f.router.Stats().Cuts == 0 {
				time.Sleep(time.Millisecond)
			}
			if !stream {
				checkAnswer(t, <-got, stream, "")
			}
			frozen.gate.Unlock()
			if stream {
				checkAnswer(t, <-got, stream, "")
			}
			is.Equal(b.generations.Load() == 1, !stream)
			f.checkSum(t)
		})
	}
}
