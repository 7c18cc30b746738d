package standin

import (
	"context"
	"net/http"
	"slices"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

const (
	// defaultMaxTokens is the length of an answer whose request sets none.
	defaultMaxTokens = 16
	// keptStreams is the number of cut streams that an engine can resume.
	keptStreams = 1024
)

// stream is one generation. Engine.mu guards the fields below admitted.
type stream struct {
	gen      external.Generation
	total    int
	ctx      context.Context
	cancel   context.CancelFunc
	admitted chan struct{} // closed when the stream joins the batch

	active    bool
	running   bool
	resumed   bool
	prefixHit bool
	// cutAfter is the number of tokens after which the stream is cut; -1 never.
	cutAfter int
	crossed  bool
	stray    bool
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var gen external.Generation
	if !readJSON(w, r, &gen) {
		return
	}
	b, s, refused := e.beginStream(r.Context(), gen)
	if refused != nil {
		writeError(w, refused.kind, refused.message)
		return
	}
	defer e.endStream(b, s)
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := &eventWriter{w: w, flush: http.NewResponseController(w)}
	out.sendHeader()
	select {
	case <-s.admitted:
	case <-s.ctx.Done():
		hangUp()
	}
	if !e.produce(out, s) {
		hangUp()
	}
	e.forgetStream(b, s)
}

// beginStream puts a generation into the batch or its queue. A stream of the
// same request that is still running ends.
func (e *Engine) beginStream(ctx context.Context, gen external.Generation) (*boot, *stream, *orderError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if refused := b.canServe(gen); refused != nil {
		return nil, nil, refused
	}
	if gen.MaxTokens <= 0 {
		gen.MaxTokens = defaultMaxTokens
	}
	s := &stream{gen: gen, total: gen.MaxTokens, admitted: make(chan struct{}), active: true}
	s.ctx, s.cancel = context.WithCancel(ctx)
	context.AfterFunc(b.ctx, s.cancel)
	if earlier := b.streams[gen.RequestID]; earlier != nil {
		earlier.cancel()
		s.resumed = true
	}
	b.streams[gen.RequestID] = s
	e.applyStreamFaults(s)
	s.prefixHit = e.touchPrefix(b, PrefixHash(gen.Model, gen.Prompt), gen.Model)
	e.countStream(s)
	b.enqueue(s)
	e.admitStreams()
	return b, s, nil
}

func (b *boot) canServe(gen external.Generation) *orderError {
	held := b.ready(gen.Model)
	if held == nil {
		return refuse(external.KindNotFound, "model %s is not ready", gen.Model)
	}
	if gen.Adapter == "" {
		return nil
	}
	if a := held.adapter(gen.Adapter); a == nil || a.State != external.ModelReady {
		return refuse(external.KindNotFound, "adapter %s of %s is not ready", gen.Adapter, gen.Model)
	}
	return nil
}

func (e *Engine) countStream(s *stream) {
	e.counts.Generations++
	if s.resumed {
		e.counts.Resumed++
	}
}

// applyStreamFaults takes the faults of the next stream out of the knobs.
func (e *Engine) applyStreamFaults(s *stream) {
	s.cutAfter = -1
	if e.knobs.CutStreams != 0 {
		s.cutAfter = e.knobs.CutAfterTokens
		e.knobs.CutStreams = max(-1, e.knobs.CutStreams-1)
		if e.knobs.CutStreams == 0 {
			e.knobs.CutAfterTokens = 0
		}
	}
	if e.knobs.CrossedStreams > 0 {
		e.knobs.CrossedStreams--
		s.crossed = true
	}
	if e.knobs.StrayEvents > 0 {
		e.knobs.StrayEvents--
		s.stray = true
	}
}

// enqueue adds a stream behind those of its priority or higher.
func (b *boot) enqueue(s *stream) {
	i := slices.IndexFunc(b.waiting, func(other *stream) bool {
		return other.gen.Priority < s.gen.Priority
	})
	if i < 0 {
		i = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, i, s)
}

// admitStreams fills the batch from the queue.
func (e *Engine) admitStreams() {
	b := e.boot
	for len(b.waiting) > 0 && b.running < e.knobs.MaxBatch {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running++
		s.running = true
		close(s.admitted)
	}
	e.recordLoad()
}

// endStream takes a stream out of the batch or the queue. The engine still
// knows it, so that it can be resumed.
func (e *Engine) endStream(b *boot, s *stream) {
	s.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.active = false
	if b.streams[s.gen.RequestID] == s {
		b.keepCutStream(s)
	}
	if s.running {
		s.running = false
		b.running--
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *stream) bool { return other == s })
	if b == e.boot {
		e.admitStreams()
	}
}

// forgetStream drops a stream that is complete.
func (e *Engine) forgetStream(b *boot, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.streams[s.gen.RequestID] == s {
		delete(b.streams, s.gen.RequestID)
	}
}

// keepCutStream remembers a cut stream and forgets the oldest one.
func (b *boot) keepCutStream(s *stream) {
	b.cut = append(b.cut, s)
	if len(b.cut) <= keptStreams {
		return
	}
	oldest := b.cut[0]
	b.cut = b.cut[1:]
	if b.streams[oldest.gen.RequestID] == oldest {
		delete(b.streams, oldest.gen.RequestID)
	}
}

// cutStreams ends the streams of a model.
func (e *Engine) cutStreams(b *boot, model string) {
	for _, s := range b.streams {
		if s.active && s.gen.Model == model {
			e.counts.StreamsCut++
			s.cancel()
		}
	}
}

func (e *Engine) handleCancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	if s, ok := e.boot.streams[id]; ok {
		e.counts.Cancelled++
		s.cancel()
		delete(e.boot.streams, id)
	}
}
