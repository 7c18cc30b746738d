package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	cutPlainBody  = "the whole body"
	cutStreamBody = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	cutResumed    = "id: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
)

// framings are the ways to delimit a body.
var framings = map[string]func(body string) string{
	"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
	"chunked": func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"none": func(body string) string { return "Connection: close\r\n\r\n" + body },
}

// Guards against a response that looks complete to the caller although the upstream ended its
// connection within the head or the body: plain calls, streams, streams that continue elsewhere
// and responses of models in one piece, over TCP and TLS.
func TestResponsesCutAtEachByteNeverLookComplete(t *testing.T) {
	config := selfSigned(t)
	for kind, c := range map[string]struct{ upstream, path, model, body, whole string }{
		"plain":   {"plain", "/again/x", "", cutPlainBody, cutPlainBody},
		"stream":  {"engine", "/single/x", "m", cutStreamBody, cutStreamBody},
		"resumed": {"engine", "/resume/x", "m", cutResumed, "id: 1\ndata: e1\n\n" + cutResumed},
	} {
		for framing, frame := range framings {
			t.Run(kind+" "+framing, func(t *testing.T) {
				t.Parallel()
				raw := "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n" + frame(c.body)
				head := strings.Index(raw, "\r\n\r\n") + len("\r\n\r\n")
				var cut atomic.Int64
				var reset atomic.Bool
				var sent, cuts atomic.Int64
				answer := func(w http.ResponseWriter, r *http.Request) {
					if kind == "resumed" && r.Header.Get("Last") == "" {
						w.Header().Set("Content-Type", "text/event-stream")
						events(1, 1, false)(w, r)
					}
					cuts.Add(1)
					writeCut(w, strings.Replace(raw, "Signed", "Id: "+r.Header.Get("Id")+"\r\nSigned", 1), int(cut.Load()), reset.Load())
				}
				upstreams := []*upstream{newUpstream(t, c.upstream+"-1", answer), newUpstream(t, c.upstream+"-2", answer)}
				plain, secure := start(t, upstreams...), startSecure(t, config.Clone(), upstreams...)
				idLine := len("Id: r-00000\r\n")
				for n := 0; n < len(raw)+idLine; n++ {
					for _, abrupt := range []bool{false, true} {
						if framing == "none" && n >= head+idLine && !abrupt {
							continue // the end of the connection is the end of the body
						}
						cut.Store(int64(n))
						reset.Store(abrupt)
						for _, router := range []*testRouter{plain, secure} {
							if n%2 == 1 && router == secure {
								continue // half of them are enough there
							}
							sent.Add(1)
							got := router.sendAs(t, fmt.Sprintf("r-%05d", n), c.path, c.model)
							if got.err == nil && got.status < 300 && got.body != c.whole {
								t.Fatalf("cut after %d of %d bytes, head %d, reset %v: status %d with body %q", n, len(raw)+idLine, head+idLine, abrupt, got.status, got.body)
							}
						}
					}
				}
				if cuts.Load() < sent.Load()/2 {
					t.Errorf("%d requests, only %d responses were cut", sent.Load(), cuts.Load())
				}
			})
		}
	}
}

// writeCut writes the first n bytes of a response and ends the connection.
func writeCut(w http.ResponseWriter, raw string, n int, reset bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(c, raw[:min(n, len(raw))])
	if reset {
		time.Sleep(time.Millisecond) // the bytes arrive before the reset
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

func selfSigned(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{cert}, PrivateKey: key}}}
}
