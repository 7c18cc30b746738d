package router

// assembly puts the tokens of one answer in order.
type assembly struct {
	next       uint32 // offset of the next token
	duplicates int64
}

// take returns the tokens of a frame that have not arrived before. It reports
// false when tokens before the frame are missing.
func (a *assembly) take(offset uint32, text []string) (fresh []string, ok bool) {
	if offset > a.next {
		return nil, false
	}
	known := min(int(a.next-offset), len(text))
	a.duplicates += int64(known)
	fresh = text[known:]
	a.next += uint32(len(fresh))
	return fresh, true
}

// whole reports whether an answer of total tokens has arrived.
func (a *assembly) whole(total uint32) bool { return a.next == total }
