package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

// running starts a store and stops it at the end of the test.
func running(t *testing.T, table *tabletest.Table, router string) *Store {
	t.Helper()
	s := New(Options{Table: table, Router: router, Log: quietLog(), FlushEvery: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func done(body string) Outcome {
	return Outcome{State: apiv1.ClaimState_CLAIM_STATE_DONE, Status: 201, Body: []byte(body)}
}

func TestRepeatGetsTheStoredOutcome(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := tabletest.New()
	a, b := running(t, table, "a"), running(t, table, "b")
	first, err := a.Claim(ctx, testService, "k", "q1", testFingerprint)
	is.NoErr(err)
	is.True(first.Claimed != nil)

	repeat, err := b.Claim(ctx, testService, "k", "q2", testFingerprint)
	is.NoErr(err)
	is.Equal(repeat.Existing.GetState(), apiv1.ClaimState_CLAIM_STATE_CLAIMED)
	is.NoErr(a.Finish(ctx, first.Claimed, done("booked")))
	row := b.Await(ctx, testService, "k", repeat.Existing)
	is.Equal(row.GetState(), apiv1.ClaimState_CLAIM_STATE_DONE)
	is.Equal(string(row.GetBody()), "booked")
}

func TestRepeatHereWaitsWhileTheTableIsDown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := tabletest.New()
	s := running(t, table, "a")
	first, err := s.Claim(ctx, testService, "k", "q1", testFingerprint)
	is.NoErr(err)
	table.SetFault(tabletest.Down)
	repeat, err := s.Claim(ctx, testService, "k", "q2", testFingerprint)
	is.NoErr(err)
	rows := make(chan *apiv1.ClaimRow, 1)
	go func() { rows <- s.Await(ctx, testService, "k", repeat.Existing) }()

	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	is.True(s.Finish(short, first.Claimed, done("booked")) != nil) // not stored yet
	is.Equal(string((<-rows).GetBody()), "booked")
	late, err := s.Claim(ctx, testService, "k", "q4", testFingerprint)
	is.NoErr(err)
	is.Equal(string(late.Existing.GetBody()), "booked")

	table.SetFault(tabletest.None)
	other := running(t, table, "b")
	seen, err := other.Claim(ctx, testService, "k", "q3", testFingerprint)
	is.NoErr(err)
	row := other.Await(ctx, testService, "k", seen.Existing)
	is.Equal(row.GetState(), apiv1.ClaimState_CLAIM_STATE_DONE) // stored in the background
}

func TestNotRunMayBeClaimedAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := running(t, tabletest.New(), "a")
	first, err := s.Claim(ctx, testService, "k", "q1", testFingerprint)
	is.NoErr(err)
	is.NoErr(s.Finish(ctx, first.Claimed, Outcome{State: apiv1.ClaimState_CLAIM_STATE_NOT_RUN}))
	again, err := s.Claim(ctx, testService, "k", "q2", testFingerprint)
	is.NoErr(err)
	is.True(again.Claimed != nil)
	is.NoErr(s.Finish(ctx, again.Claimed, Outcome{State: apiv1.ClaimState_CLAIM_STATE_NOT_RUN}))
	other, err := s.Claim(ctx, testService, "k", "q3", testFingerprint+1)
	is.NoErr(err)
	is.Equal(other.Existing.GetFingerprint(), uint64(testFingerprint))
}

func TestClaimIsRefusedWhileTheTableIsDown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := tabletest.New()
	s := running(t, table, "a")
	table.SetFault(tabletest.Down)
	_, err := s.Claim(ctx, testService, "k", "q1", testFingerprint)
	var claimErr *Error
	is.True(errors.As(err, &claimErr))
	is.Equal(claimErr.Kind, KindUnavailable)
	is.True(claimErr.RetryAfter > 0)
}

func TestLostAnswerIsSettled(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := tabletest.New()
	s := New(Options{Table: table, Router: "a", Log: quietLog()})
	o := newOp(external.ClaimKey(testService, "k"), 0, &apiv1.ClaimRow{RequestId: "q1", Router: "a", State: apiv1.ClaimState_CLAIM_STATE_CLAIMED})
	is.True(s.writer.submitClaim(o) == nil)
	table.SetFault(tabletest.LostAnswer)
	s.writer.flush(ctx)
	is.Equal(len(o.done), 0)
	table.SetFault(tabletest.None)
	s.writer.flush(ctx)
	res := <-o.done
	is.NoErr(res.err)
	is.Equal(res.existing, nil)
	is.Equal(res.version, int64(1)) // that of the first write
}

// TestClaimNotSentIsFreed covers a router that gave up waiting for its claim.
func TestClaimNotSentIsFreed(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := tabletest.New()
	s := New(Options{Table: table, Router: "a", Log: quietLog()})
	key := external.ClaimKey(testService, "k")
	o := newOp(key, 0, &apiv1.ClaimRow{RequestId: "q1", Router: "a", State: apiv1.ClaimState_CLAIM_STATE_CLAIMED})
	is.True(s.writer.submitClaim(o) == nil)
	table.SetFault(tabletest.LostAnswer)
	s.writer.flush(ctx)
	is.True(s.writer.abandon(o))
	s.writer.flush(ctx)
	table.SetFault(tabletest.None)
	s.writer.flush(ctx)
	s.writer.flush(ctx)
	row, err := table.Get(ctx, key)
	is.NoErr(err)
	is.Equal(decode(row).GetState(), apiv1.ClaimState_CLAIM_STATE_NOT_RUN)
	is.Equal(s.Pending(), 0)
}

func TestOldClaimIsAnsweredAsOpen(t *testing.T) {
	is := is.New(t)
	s := New(Options{Table: tabletest.New(), Router: "a", Log: quietLog()})
	old := &apiv1.ClaimRow{
		State:  apiv1.ClaimState_CLAIM_STATE_CLAIMED,
		UnixMs: time.Now().Add(-Timeout).UnixMilli(),
	}
	row := s.Await(context.Background(), testService, "k", old)
	is.Equal(row.GetState(), apiv1.ClaimState_CLAIM_STATE_CLAIMED) // and does not wait
}

func TestStoredBodyIsBounded(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome Outcome
		omitted bool
	}{
		{"short", done("x"), false},
		{"long", done(string(make([]byte, MaxBodyBytes+1))), true},
		{"cut", Outcome{State: apiv1.ClaimState_CLAIM_STATE_DONE, Body: []byte("x"), BodyCut: true}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			row := finalRow(&apiv1.ClaimRow{}, tc.outcome, time.Now())
			is.Equal(row.GetBodyOmitted(), tc.omitted)
			is.Equal(row.GetBody() == nil, tc.omitted)
		})
	}
}
