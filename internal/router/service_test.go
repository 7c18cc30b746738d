package router_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/claim"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/router"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// book is a call that the fake service runs and answers.
func book(f *fakeSidecar, s *transport.Stream, req *apiv1.CallRequest) {
	f.runs.Add(1)
	respond(s, req.GetRequestId(), http.StatusCreated, &apiv1.Header{Name: "X-Booking", Value: "7"})
	sendChunk(s, "boo", false)
	sendChunk(s, "ked", true)
}

// TestCallFaults has one row for each place at which a call can fail. What the
// service counted must agree with the outcome that the caller is told.
func TestCallFaults(t *testing.T) {
	type act func(f *fakeSidecar, s *transport.Stream, req *apiv1.CallRequest)
	refusal := func(kind apiv1.RefusalKind, unknown, ran bool) act {
		return func(f *fakeSidecar, s *transport.Stream, _ *apiv1.CallRequest) {
			if ran {
				f.runs.Add(1)
			}
			refuse(s, &apiv1.Refusal{Kind: kind, Message: "refused", OutcomeUnknown: unknown})
		}
	}
	const (
		draining = apiv1.RefusalKind_REFUSAL_KIND_DRAINING
		deadline = apiv1.RefusalKind_REFUSAL_KIND_DEADLINE
		upstream = apiv1.RefusalKind_REFUSAL_KIND_UPSTREAM
	)
	cut := func(*fakeSidecar, *transport.Stream, *apiv1.CallRequest) {}
	killed := func(f *fakeSidecar, _ *transport.Stream, _ *apiv1.CallRequest) {
		f.runs.Add(1)
		_ = f.server.Close()
	}
	for _, tc := range []struct {
		name  string
		first act // at the host that is tried first; nil is unreachable
		// once and repeatable are the outcomes of a call that may not be
		// repeated and of one that may: "" when served.
		once, repeatable string
		runs             int64 // of the call that may not be repeated
	}{
		{"served", book, "", "", 1},
		{"unreachable", nil, "", "", 1},
		{"draining", refusal(draining, false, false), "", "", 1},
		{"failed before it was sent on", refusal(upstream, false, false), "", "", 1},
		{"deadline before it was sent on", refusal(deadline, false, false), "not-run", "not-run", 0},
		{"failed after it was sent on", refusal(upstream, true, false), "unknown", "", 0},
		{"failed after it ran", refusal(upstream, true, true), "unknown", "", 1},
		{"cut before it ran", cut, "unknown", "", 0},
		{"killed after it ran", killed, "unknown", "", 1},
		{"cut before the body", func(f *fakeSidecar, s *transport.Stream, req *apiv1.CallRequest) {
			f.runs.Add(1)
			respond(s, req.GetRequestId(), http.StatusCreated)
		}, "unknown", "", 1},
		{"cut in the body", func(f *fakeSidecar, s *transport.Stream, req *apiv1.CallRequest) {
			f.runs.Add(1)
			respond(s, req.GetRequestId(), http.StatusCreated)
			sendChunk(s, "boo", false)
		}, "unknown", "", 1},
		{"answer of another call", func(f *fakeSidecar, s *transport.Stream, _ *apiv1.CallRequest) {
			f.runs.Add(1)
			respond(s, "other.1", http.StatusCreated)
			sendChunk(s, "swapped", true)
		}, "unknown", "", 1},
		{"body without a response", func(f *fakeSidecar, s *transport.Stream, _ *apiv1.CallRequest) {
			f.runs.Add(1)
			sendChunk(s, "booked", true)
		}, "unknown", "", 1},
		{"refused after the response", func(f *fakeSidecar, s *transport.Stream, req *apiv1.CallRequest) {
			f.runs.Add(1)
			respond(s, req.GetRequestId(), http.StatusCreated)
			refuse(s, &apiv1.Refusal{Kind: upstream})
		}, "unknown", "", 1},
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(tc.name+" "+method, func(t *testing.T) {
				is := is.New(t)
				a, b := newFakeSidecar(t, "a"), newFakeSidecar(t, "b")
				a.call = func(s *transport.Stream, req *apiv1.CallRequest, _ []byte) { tc.first(a, s, req) }
				b.call = func(s *transport.Stream, req *apiv1.CallRequest, _ []byte) { book(b, s, req) }
				if tc.first == nil {
					is.NoErr(a.server.Close())
				}
				f := newFixture(t, tabletest.New(), a, b)
				f.view.SetReport(&apiv1.LoadReport{Host: "b", CallsInFlight: 5}) // a is tried first
				got := f.do(t, method, "/services/bookings/list", "", router.HeaderIdempotencyKey, "k")
				want := tc.repeatable
				if method == http.MethodPost {
					want = tc.once
					is.Equal(a.runs.Load()+b.runs.Load(), tc.runs)
				}
				is.Equal(got.outcome(), want)
				checkCount(t, f.checkSum(t), want)
				if want == "" {
					is.Equal(got.status, http.StatusCreated)
					is.Equal(got.body, "booked")
					is.Equal(got.header.Get("X-Booking"), "7")
				}
				if method == http.MethodPost {
					checkRepeat(t, f, b, got)
				}
			})
		}
	}
}

// checkRepeat sends the same call again: it runs only if the first did not.
func checkRepeat(t *testing.T, f *fixture, b *fakeSidecar, first reply) {
	t.Helper()
	is := is.New(t)
	before := b.runs.Load()
	again := f.do(t, http.MethodPost, "/services/bookings/list", "", router.HeaderIdempotencyKey, "k")
	replayed := again.header.Get(router.HeaderReplayed) == "true"
	is.Equal(replayed, first.outcome() != "not-run")
	if replayed {
		is.Equal(b.runs.Load(), before)
		is.Equal(again.outcome(), first.outcome())
	}
	if first.outcome() == "" {
		is.Equal(again.body, first.body)
		is.Equal(again.status, first.status)
		is.Equal(again.header.Get("X-Booking"), "7")
	}
}

func TestDeadlineOfACallIsUnknown(t *testing.T) {
	is := is.New(t)
	a := newFakeSidecar(t, "a")
	a.call = func(s *transport.Stream, _ *apiv1.CallRequest, _ []byte) {
		frame := &apiv1.RouterFrame{}
		_ = s.Recv(frame) // the router cancels
		a.runs.Add(1)
	}
	f := newFixture(t, nil, a)
	got := f.do(t, http.MethodPost, "/services/bookings/list", "x", router.HeaderDeadline, "50")
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.Equal(got.outcome(), "unknown")
	f.checkSum(t)
}

// TestOneKeyThroughSeveralRouters sends the same call through three routers at
// once, some of them while another runs.
func TestOneKeyThroughSeveralRouters(t *testing.T) {
	is := is.New(t)
	a := newFakeSidecar(t, "a")
	a.call = func(s *transport.Stream, req *apiv1.CallRequest, body []byte) {
		time.Sleep(5 * time.Millisecond) // lets the others find the claim
		book(a, s, req)
	}
	table := tabletest.New()
	replies := make(chan reply, 12)
	var callers sync.WaitGroup
	var fixtures []*fixture
	for range 3 {
		fixtures = append(fixtures, newFixture(t, table, a))
	}
	for i := range cap(replies) {
		callers.Go(func() {
			replies <- fixtures[i%3].do(t, http.MethodPost, "/services/bookings/book", "pallets", router.HeaderIdempotencyKey, "k1")
		})
	}
	callers.Wait()
	for range cap(replies) {
		got := <-replies
		is.Equal(got.status, http.StatusCreated)
		is.Equal(got.body, "booked")
	}
	is.Equal(a.runs.Load(), int64(1))

	other := fixtures[0].do(t, http.MethodPost, "/services/bookings/book", "other", router.HeaderIdempotencyKey, "k1")
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.Equal(other.outcome(), "not-run")
	table.SetFault(tabletest.Down)
	down := fixtures[0].do(t, http.MethodPost, "/services/bookings/book", "more", router.HeaderIdempotencyKey, "k2")
	is.Equal(down.status, http.StatusServiceUnavailable)
	is.Equal(down.outcome(), "not-run")
	is.True(down.header.Get("Retry-After") != "")
	is.Equal(a.runs.Load(), int64(1))
}

func TestLongAnswerIsPassedOnOrCut(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprint(whole), func(t *testing.T) {
			is := is.New(t)
			a := newFakeSidecar(t, "a")
			part := strings.Repeat("x", 512<<10)
			a.call = func(s *transport.Stream, req *apiv1.CallRequest, _ []byte) {
				respond(s, req.GetRequestId(), http.StatusOK)
				for range 3 {
					sendChunk(s, part, false)
				}
				if whole {
					sendChunk(s, "", true)
				}
			}
			f := newFixture(t, nil, a)
			got := f.do(t, http.MethodPost, "/services/bookings/export", "")
			is.Equal(got.err == nil, whole) // a cut answer can't be taken for a whole one
			is.True(!whole || len(got.body) == 3*len(part))
			s := f.checkSum(t)
			is.Equal(s.Served == 1, whole)
			is.Equal(s.Unknown == 1, !whole)
		})
	}
}

// TestStoredClaims has the rows that other routers may have left under a key.
// None of them lets the call run again.
func TestStoredClaims(t *testing.T) {
	const (
		open    = apiv1.ClaimState_CLAIM_STATE_CLAIMED
		done    = apiv1.ClaimState_CLAIM_STATE_DONE
		unknown = apiv1.ClaimState_CLAIM_STATE_UNKNOWN
	)
	fingerprint := xxhash.Sum64String("POST\x00/book\x00pallets")
	for _, tc := range []struct {
		name    string
		row     *apiv1.ClaimRow
		age     time.Duration
		status  int
		outcome string
	}{
		{"router died long ago", &apiv1.ClaimRow{State: open, Fingerprint: fingerprint}, claim.Timeout, 504, "unknown"},
		{"another router may still run it", &apiv1.ClaimRow{State: open, Fingerprint: fingerprint}, 0, 504, "unknown"},
		{"outcome is unknown", &apiv1.ClaimRow{State: unknown, Fingerprint: fingerprint}, 0, 409, "unknown"},
		{"answer was too long", &apiv1.ClaimRow{State: done, Fingerprint: fingerprint, BodyOmitted: true}, 0, 409, "unknown"},
		{"answered", &apiv1.ClaimRow{State: done, Fingerprint: fingerprint, Status: 202}, 0, 202, ""},
		{"another call", &apiv1.ClaimRow{State: done, Status: 202}, 0, 422, "not-run"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tc.row.RequestId = "other.1"
			tc.row.UnixMs = time.Now().Add(-tc.age).UnixMilli()
			value, err := proto.Marshal(tc.row)
			is.NoErr(err)
			table := tabletest.New()
			_, err = table.Commit(context.Background(), external.Txn{Puts: []external.Put{{Key: external.ClaimKey("bookings", "k"), Value: value}}})
			is.NoErr(err)
			a := newFakeSidecar(t, "a")
			a.call = func(s *transport.Stream, req *apiv1.CallRequest, _ []byte) { book(a, s, req) }
			f := newFixture(t, table, a)
			got := f.do(t, http.MethodPost, "/services/bookings/book", "pallets", router.HeaderIdempotencyKey, "k", router.HeaderDeadline, "100")
			is.Equal(got.status, tc.status)
			is.Equal(got.outcome(), tc.outcome)
			is.Equal(a.runs.Load(), int64(0))
			f.checkSum(t)
		})
	}
}

// A host that is listed as leaving or that an operator drains gets no new work,
// also while its sidecar does not refuse it.
func TestLeavingHostGetsNoWork(t *testing.T) {
	for _, how := range []string{"leaving", "drained"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			a, b := newFakeSidecar(t, "a"), newFakeSidecar(t, "b")
			for _, s := range []*fakeSidecar{a, b} {
				s.generate = serveWords
				s.call = func(stream *transport.Stream, req *apiv1.CallRequest, _ []byte) { book(s, stream, req) }
			}
			f := newFixture(t, nil, a, b)
			f.report("a", 0, apiv1.ReplicaState_REPLICA_STATE_READY, 0)
			f.report("b", 1, apiv1.ReplicaState_REPLICA_STATE_READY, 0)
			f.leave(t, how, "a")
			for range 10 {
				checkAnswer(t, f.chat(t, true), true, "")
				is.Equal(f.do(t, http.MethodPost, "/services/bookings/book", "x").status, http.StatusCreated)
			}
			is.Equal(a.generations.Load(), int64(0))
			is.Equal(a.runs.Load(), int64(0))
		})
	}
}

// leave takes a host out of service, in the list or by an operator's drain.
func (f *fixture) leave(t *testing.T, how, host string) {
	t.Helper()
	if how == "drained" {
		value, err := proto.Marshal(&apiv1.DrainRow{Host: host, Draining: true})
		if err != nil {
			t.Fatal(err)
		}
		f.view.ApplyRows(external.Changes{Revision: 20, Rows: []external.Row{{Key: external.DrainKey(host), Value: value, Version: 20}}})
		return
	}
	listing := f.view.Load().Hosts
	listing.Hosts = slices.Clone(listing.Hosts)
	listing.Revision++
	for i := range listing.Hosts {
		if listing.Hosts[i].ID == host {
			listing.Hosts[i].State = external.HostLeaving
		}
	}
	f.view.SetHosts(listing)
}
