package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// writeStatus writes a signed response with any status.
func writeStatus(status string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		fmt.Fprintf(buffered, "HTTP/1.1 %s Odd\r\nId: %s\r\nSigned: yes\r\nContent-Length: 4\r\n\r\ndone", status, r.Header.Get("Id"))
		_ = buffered.Flush() // fails if the router has closed the connection
	}
}

// Guards against a response that reaches the caller with a status that HTTP does not have.
func TestOddStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for _, c := range []struct{ path, model, id string }{{"/once/a", "", "plain-1"}, {"/single/a", "m", "engine-1"}} {
			t.Run(status+c.path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				up := newUpstream(t, c.id, writeStatus(status))
				got := start(t, up).send(t, c.path, c.model, callerTimeout)
				is.Equal(got.status, http.StatusBadGateway) // it may have run
				is.Equal(up.runs(), 1)
			})
		}
	}
}
