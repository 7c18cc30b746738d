package entry

import (
	"bytes"
	"testing"
)

// Complete events are a prefix that ends with an event, and nothing else than events is in it.
func FuzzCompleteEvents(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: x\n\nid: 2", "\n\n\n\n", ": comment\n\ndata: y\n\n", "HTTP/1.1 503 Service Unavailable\r\n\r\nid: 3\ndata: z\n\n", "error: overloaded\n\n", "text\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		end, err := completeEvents(stream)
		if end < 0 || end > len(stream) || end > 0 && !bytes.HasSuffix(stream[:end], eventEnd) {
			t.Fatalf("%d bytes of %q are complete events", end, stream)
		}
		for _, event := range bytes.Split(stream[:end], eventEnd) {
			if !hasOnlyFields(event) {
				t.Fatalf("%q passes as an event", event)
			}
		}
		if again, _ := completeEvents(stream[:end]); again != end {
			t.Fatalf("of %q first %d, then %d bytes are complete events", stream, end, again)
		}
		if err == nil {
			lastEventID(stream[:end])
		}
	})
}
