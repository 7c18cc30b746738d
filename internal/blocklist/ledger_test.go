package blocklist

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func entriesOf(l *Ledger) []string {
	var out []string
	for _, e := range l.Entries() {
		out = append(out, e.String())
	}
	return out
}

func TestPartOfThreeCrashesIsBlocked(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordSound(at(0), []string{"common"})
	for i := range 3 {
		is.Equal(len(l.Entries()), 0)
		l.RecordCrash(at(float64(1+i)), at(float64(1+i)), fmt.Sprint("e", i), []string{"common", "fatal", fmt.Sprint("bystander-", i)})
	}
	is.Equal(entriesOf(l), []string{"fatal"}) // common was sound once
	entry, untilTrial, ok := l.Check(at(3), []string{"common", "fatal"})
	is.True(ok)
	is.Equal(entry.Crashes, 3)
	is.Equal(untilTrial, firstTrialDelay)
	_, _, ok = l.Check(at(3), []string{"common", "other"})
	is.True(!ok)
}

// A crash is reported by each router that had requests on the engine, and again to a new
// scheduler.
func TestReportsOfOneEngineAreOneCrash(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 8 {
		l.RecordCrash(at(float64(i)), at(float64(i)), "e", []string{"part"})
	}
	is.Equal(len(l.Entries()), 0)
}

// A rack or a failure domain takes many engines at once, with requests that have their
// first part in common on each of them.
func TestEnginesThatEndTogetherAreOneCrash(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 40 {
		l.RecordCrash(at(float64(i)/100), at(float64(i)/100), fmt.Sprint("e", i), []string{"common"})
	}
	is.Equal(len(l.Entries()), 0)
}

// Nothing tells the parts of a prompt apart as long as all its requests have both. Those
// that have only one must be served, and tell them apart.
func TestPartsThatNothingTellsApartAreNarrowedDown(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 3 {
		l.RecordCrash(at(float64(i)), at(float64(i)), fmt.Sprint("e", i), []string{"common", "fatal"})
	}
	is.Equal(entriesOf(l), []string{"common,fatal"})
	_, _, ok := l.Check(at(3), []string{"common", "other"})
	is.True(!ok)
	is.Equal(len(l.RecordSound(at(4), []string{"common", "other"})), 0)
	is.Equal(entriesOf(l), []string{"fatal"})
}

// The fatal part comes with one first part at the beginning, later with others.
func TestFatalPartIsFoundWithOtherParts(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 3 {
		l.RecordCrash(at(float64(i)), at(float64(i)), fmt.Sprint("e", i), []string{"common-1", "fatal"})
	}
	is.Equal(entriesOf(l), []string{"common-1,fatal"})
	l.RecordCrash(at(4), at(4), "e4", []string{"common-2", "fatal"})
	is.Equal(entriesOf(l), []string{"fatal"})
}

// Two parts are fatal at the same time; the crashes under the one that was found must not
// count against bystanders.
func TestTwoFatalPartsAreBothFound(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 12 {
		l.RecordCrash(at(float64(i)), at(float64(i)), fmt.Sprint("e", i), []string{fmt.Sprint("fatal-", i%2), fmt.Sprint("bystander-", i%5)})
		l.RecordSound(at(float64(i)+0.5), []string{"bystander-0", "bystander-1", "bystander-2", "bystander-3", "bystander-4"})
	}
	is.Equal(entriesOf(l), []string{"fatal-0", "fatal-1"})
}

// Trials let a part be used again once engines bear it, at the price of few crashes.
func TestTrialsBecomeRarer(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 3 {
		l.RecordCrash(at(float64(i)), at(float64(i)), fmt.Sprint("e", i), []string{"fatal"})
	}
	parts := []string{"fatal"}
	trials := 0
	for second := 3; second < 3600; second++ {
		now := at(float64(second))
		if _, untilTrial, ok := l.Check(now, parts); ok && untilTrial <= 0 {
			trials++
			l.BeginTrial(now, parts)
			l.RecordCrash(now, now, fmt.Sprint("trial-", trials), parts)
		}
	}
	is.Equal(trials, 3) // after 1, 4 and 16 minutes
	is.Equal(entriesOf(l), []string{"fatal"})
	is.Equal(len(l.RecordSound(at(4000), parts)), 1)
	is.Equal(len(l.Entries()), 0)
}

// Requests with a fatal part come in groups: each group ends many engines in one moment, which
// may also be a failure domain. From then on the part is tried by one request at a time.
func TestPartOfManyCrashesAtOnceIsSuspended(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RecordSound(at(0), []string{"common"})
	for i := range crashesToSuspend {
		_, _, ok := l.Check(at(1), []string{"common", "fatal"})
		is.True(!ok)
		l.RecordCrash(at(1), at(1), fmt.Sprint("e", i), []string{"common", "fatal", fmt.Sprint("bystander-", i)})
	}
	is.True(!l.IsEmpty())
	is.Equal(len(l.Entries()), 0) // other routers are not told: it may be sound
	_, _, ok := l.Check(at(1), []string{"common", "other"})
	is.True(!ok)
	trials := 0
	for second := 2.0; second < 60; second += 0.1 {
		if _, untilTrial, ok := l.Check(at(second), []string{"common", "fatal"}); ok && untilTrial <= 0 {
			trials++
			l.BeginTrial(at(second), []string{"common", "fatal"})
			l.RecordCrash(at(second), at(second), fmt.Sprint("trial-", trials), []string{"common", "fatal"})
		}
	}
	is.Equal(trials, 1)
	is.Equal(entriesOf(l), []string{"fatal"})
}

// A failure domain takes engines whose requests have a new part in common. The first response
// lets all its requests in again.
func TestSuspendedPartThatIsSoundIsReleased(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 40 {
		l.RecordCrash(at(float64(i)/100), at(float64(i)/100), fmt.Sprint("e", i), []string{"new"})
	}
	_, untilTrial, ok := l.Check(at(1), []string{"new"})
	is.True(ok && untilTrial <= 0)
	l.BeginTrial(at(1), []string{"new"})
	_, untilTrial, ok = l.Check(at(1.1), []string{"new"})
	is.True(ok && untilTrial > 0 && untilTrial <= suspensionTrialInterval)
	is.Equal(len(l.RecordSound(at(1.5), []string{"new"})), 0) // it never was blocked
	is.True(l.IsEmpty())
	_, _, ok = l.Check(at(1.6), []string{"new"})
	is.True(!ok)
}

func TestAdoptedEntriesAreMerged(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Adopt(at(0), []Entry{{Parts: []string{"common", "fatal"}}, {Parts: []string{"other"}, Trials: 1}})
	is.True(l.TakeChanged())
	l.Adopt(at(1), []Entry{{Parts: []string{"fatal"}}, {Parts: []string{"common", "fatal"}}, {Parts: []string{"other"}, Trials: 2}})
	is.Equal(entriesOf(l), []string{"fatal", "other"})
	_, untilTrial, _ := l.Check(at(1), []string{"other"})
	is.Equal(untilTrial, trialDelay(2))
	is.True(l.TakeChanged())
	l.Adopt(at(2), l.Entries())
	is.True(!l.TakeChanged())
}

// fleetModel runs requests on engines in simulated time. Requests with the fatal part end
// their engine as it begins to respond.
type fleetModel struct {
	random  *rand.Rand
	ledger  *Ledger
	engines []modelEngine
	crashes int
	// fifthCrash is when the fifth engine ended under the fatal part, fatalAfter counts the
	// requests with it that were sent later than learningTime after that.
	fifthCrash time.Time
	fatalAfter int
	refused    int // sound requests
	sound      int
}

type modelEngine struct {
	incarnation int
	runs        []modelRun
}

type modelRun struct {
	parts           []string
	firstEvent, end time.Time
	fatal           bool
}

const (
	fatalPart    = "fatal"
	learningTime = 3 * time.Second
)

func (m *fleetModel) send(now time.Time, parts []string, fatal bool) {
	if _, untilTrial, ok := m.ledger.Check(now, parts); ok {
		if untilTrial > 0 {
			if !fatal {
				m.refused++
			}
			return
		}
		m.ledger.BeginTrial(now, parts)
	}
	if fatal && !m.fifthCrash.IsZero() && now.Sub(m.fifthCrash) > learningTime {
		m.fatalAfter++
	}
	e := &m.engines[m.random.IntN(len(m.engines))]
	first := now.Add(time.Duration(20+m.random.IntN(300)) * time.Millisecond)
	e.runs = append(e.runs, modelRun{parts: parts, firstEvent: first, end: first.Add(time.Duration(m.random.IntN(3000)) * time.Millisecond), fatal: fatal})
}

func (m *fleetModel) step(now time.Time) {
	for i := range m.engines {
		e := &m.engines[i]
		crashed := slices.ContainsFunc(e.runs, func(r modelRun) bool { return r.fatal && now.After(r.firstEvent) })
		if crashed {
			m.crashes++
			if m.crashes == 5 {
				m.fifthCrash = now
			}
			m.end(now, i)
			continue
		}
		e.runs = slices.DeleteFunc(e.runs, func(r modelRun) bool {
			if now.After(r.end) {
				m.ledger.RecordSound(now, r.parts)
			}
			return now.After(r.end)
		})
	}
}

// end ends an engine, with all its requests.
func (m *fleetModel) end(now time.Time, i int) {
	e := &m.engines[i]
	var suspects []string
	for _, r := range e.runs {
		if r.fatal || now.Before(r.firstEvent) {
			suspects = append(suspects, r.parts...)
		}
	}
	m.ledger.RecordCrash(now, now, fmt.Sprint(i, "@", e.incarnation), suspects)
	e.incarnation++
	e.runs = nil
}

// fleetPlay is a play of requests that share parts in all ways, on a fleet whose engines also
// end for other reasons, alone and by the domain.
type fleetPlay struct {
	seed            uint64
	engines         int
	soundPerSecond  int
	fatalGapMs      int
	documents       int
	soundComeLater  bool
	lossesOfADomain int
	fatalAtOnce     int
}

// run plays 40 s. The fatal part must be found in time, and sound requests must be served.
func (p fleetPlay) run() error {
	m := &fleetModel{random: rand.New(rand.NewPCG(p.seed, 0)), ledger: NewLedger(), engines: make([]modelEngine, p.engines)}
	prompt := func(second string) []string {
		return []string{fmt.Sprint("system-", m.random.IntN(3)), second}
	}
	for ms := 0; ms < 40_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if m.random.IntN(100) < p.soundPerSecond && (!p.soundComeLater || ms > 7000) {
			m.sound++
			m.send(now, prompt(fmt.Sprint("doc-", m.random.IntN(p.documents))), false)
		}
		if ms > 5000 && ms%(p.fatalGapMs*p.fatalAtOnce) < 10 {
			for range p.fatalAtOnce {
				m.send(now, prompt(fatalPart), true)
			}
		}
		if m.random.IntN(4000) < p.lossesOfADomain {
			for i := range max(1, p.engines/4) {
				m.end(now, i)
			}
		}
		m.step(now)
	}
	if m.fatalAfter > 3 {
		return fmt.Errorf("%d fatal requests were sent later than %v after the fifth crash; blocked: %v", m.fatalAfter, learningTime, entriesOf(m.ledger))
	}
	if m.refused > m.sound/10 {
		return fmt.Errorf("%d of %d sound requests were refused; blocked: %v", m.refused, m.sound, entriesOf(m.ledger))
	}
	return nil
}

func TestFatalPartIsFoundAmongSoundOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := fleetPlay{
			seed:            rapid.Uint64().Draw(t, "seed"),
			engines:         rapid.IntRange(4, 200).Draw(t, "engines"),
			soundPerSecond:  rapid.IntRange(5, 200).Draw(t, "sound requests a second"),
			fatalGapMs:      rapid.IntRange(50, 1500).Draw(t, "ms between fatal requests"),
			documents:       rapid.IntRange(1, 200).Draw(t, "documents"),
			soundComeLater:  rapid.Bool().Draw(t, "sound requests come later only"),
			lossesOfADomain: rapid.IntRange(0, 5).Draw(t, "losses of a domain"),
			fatalAtOnce:     1,
		}
		if err := play.run(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against fatal requests that come in groups, each of which ends several engines in one
// moment.
func TestFatalPartThatComesInGroupsIsFound(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		play := fleetPlay{
			seed: seed, engines: 4 + random.IntN(197), soundPerSecond: 5 + random.IntN(196), fatalGapMs: 50 + random.IntN(1451),
			documents: 1 + random.IntN(200), soundComeLater: random.IntN(2) == 0, lossesOfADomain: random.IntN(6), fatalAtOnce: 2 + random.IntN(9),
		}
		if err := play.run(); err != nil {
			t.Errorf("%+v: %v", play, err)
		}
	}
}

// Guards against evidence that is forgotten because a failure domain is lost several times: its
// engines, most of them without requests, took the place of those that a fatal part had ended.
func TestEvidenceOutlastsLossesOfDomains(t *testing.T) {
	for _, play := range []fleetPlay{
		{seed: 0xe568, engines: 200, soundPerSecond: 48, fatalGapMs: 1116, documents: 1, lossesOfADomain: 3, fatalAtOnce: 3},
		{seed: 0x184, engines: 200, soundPerSecond: 22, fatalGapMs: 1500, documents: 1, soundComeLater: true, lossesOfADomain: 4, fatalAtOnce: 4},
	} {
		if err := play.run(); err != nil {
			t.Errorf("%+v: %v", play, err)
		}
	}
}

// BenchmarkCrashes is the cost of one report, while the domain of a large fleet is lost and
// each engine has other requests.
func BenchmarkCrashes(b *testing.B) {
	l := NewLedger()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		suspects := make([]string, 0, 20)
		for j := range 20 {
			suspects = append(suspects, fmt.Sprint("part-", (i*7+j*13)%500))
		}
		l.RecordCrash(now, now, fmt.Sprint("e", i), suspects)
	}
}
