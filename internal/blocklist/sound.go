package blocklist

import (
	"strings"
	"time"
)

// soundParts remembers when parts were last in a completed response, for the parts used
// most recently.
type soundParts struct{ recent, older map[string]time.Time }

func newSoundParts() soundParts { return soundParts{recent: make(map[string]time.Time)} }

func (s *soundParts) add(now time.Time, part string) {
	if len(s.recent) >= maxSoundParts {
		s.older, s.recent = s.recent, make(map[string]time.Time)
	}
	if _, known := s.recent[part]; !known {
		part = strings.Clone(part) // it may be a piece of a request's header
	}
	s.recent[part] = now
}

// last returns the zero time for a part that is not known to be sound.
func (s *soundParts) last(part string) time.Time {
	if at, ok := s.recent[part]; ok {
		return at
	}
	return s.older[part]
}
