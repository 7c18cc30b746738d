package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
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
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 64 << 20

// ServerOptions configure the operators' API of one router.
type ServerOptions struct {
	Publisher *config.Publisher
	// Table holds the drain rows, Hosts the list of hosts.
	Table external.TableService
	Hosts external.HostList
	// Drained returns the hosts that are drained.
	Drained func(ctx context.Context) (map[string]bool, error)
	// Self is the state of this router.
	Self func() NodeStatus
	// PeerHTTP asks other routers for their state.
	PeerHTTP *http.Client
	// PeerScheme is "http" or "https".
	PeerScheme string
	// Commit is external.CommitSettled by default.
	Commit config.CommitFunc
	// Token is the bearer token that callers must send; nil demands none.
	Token []byte
	// Metrics serves GET /metrics; nil serves none.
	Metrics http.Handler
	// Now is time.Now by default.
	Now func() time.Time
	// Log is discarded by default.
	Log *decisionlog.Logger
}

type server struct {
	ServerOptions
}

// NewServer returns the handler of the operators' API.
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
	guarded := http.NewServeMux()
	guarded.HandleFunc("POST /v1/validate", s.reply(s.validate))
	guarded.HandleFunc("POST /v1/apply", s.reply(s.apply))
	guarded.HandleFunc("GET /v1/objects", s.reply(s.objects))
	guarded.HandleFunc("GET /v1/history", s.reply(s.history))
	guarded.HandleFunc("GET /v1/diff", s.reply(s.diffRevisions))
	guarded.HandleFunc("POST /v1/diff", s.reply(s.diffSet))
	guarded.HandleFunc("GET /v1/status", s.reply(s.status))
	guarded.HandleFunc("GET /v1/self", s.reply(s.self))
	guarded.HandleFunc("POST /v1/drain/{host}", s.reply(s.drain))
	guarded.HandleFunc("DELETE /v1/drain/{host}", s.reply(s.undrain))
	if s.Metrics != nil {
		guarded.Handle("GET /metrics", s.Metrics)
	}
	guarded.HandleFunc("GET /debug/pprof/", pprof.Index)
	guarded.HandleFunc("GET /debug/pprof/profile", pprof.Profile)

	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n") // a caller that left gets nothing
	})
	mux.Handle("/", Authorize(s.Token, guarded))
	return mux
}

// Authorize returns a handler that demands a bearer token. Without a token it
// returns next.
func Authorize(token []byte, next http.Handler) http.Handler {
	if len(token) == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !isBearer || subtle.ConstantTimeCompare([]byte(sent), token) != 1 {
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

// reply runs a handler and writes its value or error as JSON.
func (s *server) reply(handle func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		value, err := handle(r)
		if err != nil {
			failure := toError(err)
			s.Log.Warn("operator call failed", "method", r.Method, "path", r.URL.Path, "kind", failure.Kind, "err", err)
			writeError(w, failure)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

func writeError(w http.ResponseWriter, err *Error) {
	writeJSON(w, statusOf[err.Kind], errorReply{Error: err})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has gone when this fails.
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
