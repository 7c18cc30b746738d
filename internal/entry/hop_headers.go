package entry

import (
	"net/http"
	"strings"
)

// hopHeaders are removed from forwarded messages: hop-by-hop headers, and
// Content-Length, which is set again.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// endToEnd returns a copy of the headers without the hop-by-hop ones.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
