package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
)

const (
	// maxRequestBytes limits the size of a request body.
	maxRequestBytes = 64 << 20
	// parsedShare is what an object set takes beside its body, as a multiple of it.
	parsedShare = 4
)

// ServerOptions configure the operator API of one router.
type ServerOptions struct {
	Publisher *config.Publisher
	// Table stores the drain rows. Hosts lists the routers and upstream hosts.
	Table external.TableService
	Hosts external.HostList
	// Drained maps the ids of hosts to whether an operator has drained them.
	Drained func(ctx context.Context) (map[string]bool, error)
	// Self returns the state of this router.
	Self func() NodeStatus
	// PeerHTTP is used to query other routers for their state.
	PeerHTTP *http.Client
	// PeerScheme is the URL scheme of the other routers' operator APIs, "http" or
	// "https".
	PeerScheme string
	// Commit defaults to external.CommitResolved.
	Commit config.CommitFunc
	// Token is the bearer token that requests must carry; nil disables the check.
	Token []byte
	// Metrics serves GET /metrics; nil disables the path.
	Metrics http.Handler
	// Now defaults to time.Now.
	Now func() time.Time
	// Log defaults to a logger that writes only fatal errors.
	Log *decisionlog.Logger
}

type server struct {
	ServerOptions
}

// NewServer returns the HTTP handler of the operator API.
func NewServer(options ServerOptions) http.Handler {
	s := &server{options}
	if s.Commit == nil {
		s.Commit = external.CommitResolved
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Log == nil {
		s.Log = decisionlog.New(log.FatalLevel)
	}
	return s.routes()
}

func (s *server) routes() http.Handler {
	authorized := http.NewServeMux()
	authorized.HandleFunc("POST /v1/validate", s.jsonHandler(s.validate))
	authorized.HandleFunc("POST /v1/apply", s.jsonHandler(s.apply))
	authorized.HandleFunc("GET /v1/objects", s.jsonHandler(s.objects))
	authorized.HandleFunc("GET /v1/history", s.jsonHandler(s.history))
	authorized.HandleFunc("GET /v1/diff", s.jsonHandler(s.diffRevisions))
	authorized.HandleFunc("POST /v1/diff", s.jsonHandler(s.diffSet))
	authorized.HandleFunc("GET /v1/status", s.jsonHandler(s.status))
	authorized.HandleFunc("GET /v1/self", s.jsonHandler(s.self))
	authorized.HandleFunc("POST /v1/drain/{host}", s.jsonHandler(s.drain))
	authorized.HandleFunc("DELETE /v1/drain/{host}", s.jsonHandler(s.undrain))
	if s.Metrics != nil {
		authorized.Handle("GET /metrics", s.Metrics)
	}
	authorized.HandleFunc("GET /debug/pprof/", pprof.Index)
	authorized.HandleFunc("GET /debug/pprof/profile", pprof.Profile)

	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n") // fails only if the connection is closed
	})
	mux.Handle("/", Authorize(s.Token, authorized))
	return mux
}

// Authorize returns a handler that passes a request to next only if it carries
// the bearer token. With an empty token it returns next itself.
func Authorize(token []byte, next http.Handler) http.Handler {
	if len(token) == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		provided, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !isBearer || subtle.ConstantTimeCompare([]byte(provided), token) != 1 {
			writeError(w, &Error{
				Kind:    KindUnauthorized,
				Message: "the bearer token is missing or wrong",
				Remedy:  "pass --token-file with the token of security.token_file",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// jsonHandler adapts a function to an HTTP handler that writes the returned value
// or error as JSON.
func (s *server) jsonHandler(handle func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := readBody(w, r)
		var value any
		if err == nil {
			value, err = handle(r)
		}
		if err != nil {
			apiErr := toError(err)
			s.Log.Warn("operator call failed", "method", r.Method, "path", r.URL.Path, "kind", apiErr.Kind, "err", err)
			writeError(w, apiErr)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

// readBody reads the body of a request. The connection's hold accounts for it and for its parsed form.
func readBody(w http.ResponseWriter, r *http.Request) error {
	hold := memory.HoldOf(r.Context())
	data, err := hold.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes), r.ContentLength)
	if err == nil {
		err = hold.Grow(time.Now(), parsedShare*int64(len(data)))
	}
	if errors.Is(err, memory.ErrExhausted) {
		return &Error{Kind: KindUnavailable, Message: err.Error(), Remedy: "retry later, or send a smaller object set"}
	}
	if err != nil {
		return badRequestError(err.Error(), "send a smaller object set")
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

func writeError(w http.ResponseWriter, err *Error) {
	writeJSON(w, statusByKind[err.Kind], errorReply{Error: err})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Fails only if the connection is closed.
	_ = json.NewEncoder(w).Encode(value)
}

func toRevision(row *apiv1.HeadRow) Revision {
	return Revision{
		Revision: row.GetRevision(),
		Author:   row.GetAuthor(),
		Message:  row.GetMessage(),
		UnixMs:   row.GetUnixMs(),
		BodyKey:  row.GetBodyKey(),
	}
}
