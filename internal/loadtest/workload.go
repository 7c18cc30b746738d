// Package loadtest generates the load of the sample deployments, runs it
// against routers and reports what callers and accelerators saw. Load depends
// only on its options, so equal seeds give equal load.
package loadtest

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	// KindChat is a short question.
	KindChat Kind = "chat"
	// KindBurst is a request of a burst at models that were idle.
	KindBurst Kind = "burst"
	// KindDraft is an opening-week draft (urgent) or a routine one.
	KindDraft Kind = "draft"
	// KindManifest has a long prompt and a short deadline.
	KindManifest Kind = "manifest"
	// KindRead and KindBooking are calls of the plain service: an idempotent one
	// and one that may not be repeated.
	KindRead    Kind = "read"
	KindBooking Kind = "booking"
)

// Request is one request of the load.
type Request struct {
	// At is the time of arrival from the start of the run.
	At   time.Duration
	Kind Kind
	// Target is MODEL or MODEL:ADAPTER, or the path of a service call.
	Target string
	Class  string
	Prompt string
	Tokens int
	// Deadline is 0 for that of the class.
	Deadline time.Duration
	// Key is the idempotency key of a booking.
	Key string
}

// Options describe the load.
type Options struct {
	Shape    sample.Shape
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of chat requests a second.
	Rate float64
	// Deadline replaces the deadlines of all generations unless 0.
	Deadline time.Duration
}

const (
	classUrgent  = "urgent"
	classNormal  = "normal"
	classRoutine = "routine"

	zipfExponent = 1.1
	adapterShare = 0.5
	// prefixes is the number of different prompt starts of one model.
	prefixes = 12

	callsPerSecond = 3.0
	bookingShare   = 0.4

	burstModels   = 8
	burstRequests = 40
	burstSpread   = 300 * time.Millisecond
	urgentDrafts  = 12
	routineDrafts = 36
	draftSpread   = 500 * time.Millisecond
	manifests     = 16
	manifestWords = 800
	manifestLimit = 12 * time.Second
	manifestTime  = 2 * time.Second
)

// Moments of the events of a run, as shares of its duration.
const (
	firstBurst   = 0.05
	secondBurst  = 0.45
	openingWeek  = 0.2
	lateManifest = 0.7
)

// SecondBurst is the moment of the second burst of first requests.
func (o Options) SecondBurst() time.Duration { return share(o.Duration, secondBurst) }

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// generator holds the random source of one load.
type generator struct {
	opts     Options
	rand     *rand.Rand
	models   []string
	adapters map[string][]string
	weights  []float64
	out      []Request
	serial   int
}

// Generate makes the load, ordered by time.
func Generate(o Options) []Request {
	g := &generator{opts: o, rand: rand.New(rand.NewPCG(o.Seed, 0)), adapters: make(map[string][]string)}
	set := o.Shape.Set()
	for i, m := range set.GetModels() {
		g.models = append(g.models, m.GetName())
		g.weights = append(g.weights, zipf(i))
	}
	for _, a := range set.GetAdapters() {
		g.adapters[a.GetModel()] = append(g.adapters[a.GetModel()], a.GetName())
	}
	g.chats()
	g.calls()
	g.burst(firstBurst)
	g.burst(secondBurst)
	g.drafts()
	g.manifests()
	slices.SortStableFunc(g.out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return g.out
}

func (g *generator) add(r Request) {
	if g.opts.Deadline > 0 && r.Tokens > 0 {
		r.Deadline = g.opts.Deadline
	}
	if r.At < g.opts.Duration {
		g.out = append(g.out, r)
	}
}

// poisson calls arrive at a mean rate over the whole run.
func (g *generator) poisson(rate float64, arrive func(at time.Duration)) {
	at := time.Duration(0)
	for {
		at += time.Duration(g.rand.ExpFloat64() / rate * float64(time.Second))
		if at >= g.opts.Duration {
			return
		}
		arrive(at)
	}
}

func (g *generator) chats() {
	g.poisson(g.opts.Rate, func(at time.Duration) {
		model := g.models[g.pick(g.weights)]
		g.add(g.chat(at, KindChat, model, classNormal))
	})
}

func (g *generator) chat(at time.Duration, kind Kind, model, class string) Request {
	g.serial++
	return Request{
		At:     at,
		Kind:   kind,
		Target: g.target(model),
		Class:  class,
		Prompt: g.prompt(model, 40),
		Tokens: 8 + g.rand.IntN(17),
	}
}

// target adds an adapter to some requests; low numbers are more frequent.
func (g *generator) target(model string) string {
	adapters := g.adapters[model]
	if len(adapters) == 0 || g.rand.Float64() > adapterShare {
		return model
	}
	weights := make([]float64, len(adapters))
	for i := range weights {
		weights[i] = zipf(i)
	}
	return model + ":" + adapters[g.pick(weights)]
}

// prompt starts with one of a few handbooks of the model, so that engines can
// cache the start, and ends with a question of its own.
func (g *generator) prompt(model string, words int) string {
	book := fmt.Sprintf("%s handbook %d ", model, g.rand.IntN(prefixes))
	return strings.Repeat(book, words) + fmt.Sprintf("question %d", g.serial)
}

func (g *generator) calls() {
	path := g.opts.Shape.RepeatableCalls[0]
	g.poisson(callsPerSecond, func(at time.Duration) {
		g.serial++
		r := Request{At: at, Kind: KindRead, Target: "/services/" + g.opts.Shape.ServicePool + path}
		if g.rand.Float64() < bookingShare {
			r.Kind = KindBooking
			r.Target = "/services/" + g.opts.Shape.ServicePool + "/bookings"
			r.Key = fmt.Sprintf("booking-%d-%d", g.opts.Seed, g.serial)
		}
		g.add(r)
	})
}

// burst sends many first requests to the rarest models within a moment.
func (g *generator) burst(moment float64) {
	start := share(g.opts.Duration, moment)
	rare := g.models[len(g.models)-2*burstModels:]
	if moment == secondBurst {
		rare = rare[burstModels:]
	}
	for i := range burstRequests {
		at := start + time.Duration(g.rand.Int64N(int64(burstSpread)))
		class := classNormal
		if i%4 == 0 {
			class = classUrgent
		}
		g.add(g.chat(at, KindBurst, rare[i%burstModels], class))
	}
}

// drafts sends opening-week drafts among routine ones, to models in the middle
// of the popularity.
func (g *generator) drafts() {
	start := share(g.opts.Duration, openingWeek)
	middle := g.models[len(g.models)/3:]
	for i := range urgentDrafts + routineDrafts {
		at := start + time.Duration(g.rand.Int64N(int64(draftSpread)))
		class := classRoutine
		if i < urgentDrafts {
			class = classUrgent
		}
		g.add(g.chat(at, KindDraft, middle[i%burstModels], class))
	}
}

func (g *generator) manifests() {
	start := share(g.opts.Duration, lateManifest)
	for range manifests {
		at := start + time.Duration(g.rand.Int64N(int64(manifestTime)))
		r := g.chat(at, KindManifest, g.models[0], classNormal)
		r.Prompt = g.prompt(g.models[0], manifestWords)
		r.Deadline = manifestLimit
		g.add(r)
	}
}

// pick returns an index with a probability in proportion to its weight.
func (g *generator) pick(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	at := g.rand.Float64() * total
	for i, w := range weights {
		at -= w
		if at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
