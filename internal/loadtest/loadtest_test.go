package loadtest_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/loadtest"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

func TestEqualSeedsGiveEqualLoad(t *testing.T) {
	is := is.New(t)
	for _, shape := range sample.Shapes() {
		opts := loadtest.Options{Shape: shape, Seed: 7, Duration: 10 * time.Second, Rate: 5}
		first := loadtest.Generate(opts)
		is.Equal(first, loadtest.Generate(opts))
		opts.Seed = 8
		other := loadtest.Generate(opts)
		is.True(len(first) > 0 && len(other) > 0)
		is.True(first[0] != other[0])
	}
}

func TestTableSortsAnswers(t *testing.T) {
	is := is.New(t)
	served := func(id string, first time.Duration) loadtest.Answer {
		return loadtest.Answer{
			Request: loadtest.Request{Class: "urgent"}, RequestID: id,
			Outcome: loadtest.OutcomeServed, FirstToken: first,
		}
	}
	refused := loadtest.Answer{Outcome: loadtest.OutcomeNotRun, RetryAfter: time.Second}
	back := served("cold-2", 300*time.Millisecond)
	back.Again = true
	result := loadtest.NewResult(
		[]loadtest.Answer{served("cold-1", 200*time.Millisecond), served("warm", 20*time.Millisecond), refused, back},
		func(id string) bool { return strings.HasPrefix(id, "cold") })
	result.Weigh(2, 0)
	is.Equal(result.Refused, 1)
	is.Equal(result.ReturnedServed, 1)
	is.Equal(result.AllCold().TotalCount(), int64(2))
	is.True(result.Cost > 0.99 && result.Cost < 1.01)
	var table strings.Builder
	is.NoErr(loadtest.WriteTable(&table, []*loadtest.Result{result}))
	is.True(strings.Contains(table.String(), "| 200/300/300 (2) |"))
	is.Equal(strings.Count(table.String(), "\n"), 3)
}
