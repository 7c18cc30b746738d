package scheduler

import "container/list"

// prefixCache guesses which prompt parts an engine keeps, from the requests
// that were sent to it. Parts are evicted least recently used first.
type prefixCache struct {
	capacity int64 // tokens
	tokens   int64
	order    *list.List // of *cachedPart, most recent first
	byKey    map[partKey]*list.Element
}

// partKey names a part in its place: the engine reuses it only for the same
// weights and after the same parts.
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

// uncached returns the prompt tokens that an engine would have to read.
func (p *prefixCache) uncached(ask *Request) int64 {
	left := ask.PromptTokens
	for _, key := range ask.partKeys() {
		el := p.byKey[key]
		if el == nil {
			break
		}
		left -= el.Value.(*cachedPart).tokens
	}
	return max(0, left)
}

// use notes that a request's parts are read.
func (p *prefixCache) use(ask *Request) {
	for i, key := range ask.partKeys() {
		if el := p.byKey[key]; el != nil {
			p.order.MoveToFront(el)
			continue
		}
		p.byKey[key] = p.order.PushFront(&cachedPart{key: key, tokens: ask.Parts[i].Tokens})
		p.tokens += ask.Parts[i].Tokens
	}
	for p.tokens > p.capacity && p.order.Len() > 0 {
		p.drop(p.order.Back())
	}
}

// forget drops the parts of a model that was unloaded.
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

// partKeys returns the keys of an ask's parts in order. They are computed once,
// since every engine is asked for them.
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
