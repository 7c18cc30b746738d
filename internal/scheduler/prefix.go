package scheduler

import "container/list"

// maxCachedParts bounds the parts that are remembered for an engine.
const maxCachedParts = 2048

// prefixCache estimates which prompt parts an engine has in its KV cache, from
// the requests that were sent to it. The least recently used parts are evicted
// first.
//
// Callers choose the tokens of parts, so that their number has a bound of its own.
type prefixCache struct {
	capacity int64 // tokens
	tokens   int64
	order    *list.List // of *cachedPart, most recently used first
	byKey    map[partKey]*list.Element
}

// partKey identifies a part with all parts before it: an engine reuses a cached
// part only for the same model, adapter and preceding parts.
type partKey struct {
	model, adapter string
	chain          uint64
}

type cachedPart struct {
	key    partKey
	tokens int64
}

func newPrefixCache(capacity int64) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byKey: make(map[partKey]*list.Element)}
}

// uncached returns the number of prompt tokens that the engine would have to
// prefill.
func (p *prefixCache) uncached(req *Request) int64 {
	remaining := req.PromptTokens
	for _, key := range req.partKeys() {
		el := p.byKey[key]
		if el == nil {
			break
		}
		remaining -= el.Value.(*cachedPart).tokens
	}
	return max(0, remaining)
}

// use records that a request's parts are cached from now on.
func (p *prefixCache) use(req *Request) {
	for i, key := range req.partKeys() {
		if el := p.byKey[key]; el != nil {
			p.order.MoveToFront(el)
			continue
		}
		p.byKey[key] = p.order.PushFront(&cachedPart{key: key, tokens: req.Parts[i].Tokens})
		p.tokens += req.Parts[i].Tokens
	}
	for (p.tokens > p.capacity || p.order.Len() > maxCachedParts) && p.order.Len() > 0 {
		p.drop(p.order.Back())
	}
}

// forget drops the parts of an unloaded model.
func (p *prefixCache) forget(model string) {
	for el := p.order.Front(); el != nil; {
		next := el.Next()
		if el.Value.(*cachedPart).key.model == model {
			p.drop(el)
		}
		el = next
	}
}

func (p *prefixCache) drop(el *list.Element) {
	part := el.Value.(*cachedPart)
	p.order.Remove(el)
	delete(p.byKey, part.key)
	p.tokens -= part.tokens
}

// partKeys returns the keys of the request's parts in order. They are computed
// once, since they are looked up for every engine.
func (a *Request) partKeys() []partKey {
	if a.keys != nil || len(a.Parts) == 0 {
		return a.keys
	}
	a.keys = make([]partKey, len(a.Parts))
	var chain uint64
	for i, part := range a.Parts {
		chain = chainHash(chain, part.ID)
		a.keys[i] = partKey{model: a.Model, adapter: a.Adapter, chain: chain}
	}
	return a.keys
}
