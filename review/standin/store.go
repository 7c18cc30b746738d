package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a small stand-in of the platform's metadata store. It answers rows-get,
// rows-feed and rows-tx as PROTOCOL.md describes them.
type store struct {
	mu      sync.Mutex
	ver     int64
	rows    map[string]*storedRow // by TABLE/KEY
	history []storedRow
	changed chan struct{}
	began   time.Time
	// refuse, if set, says for a client address whether its calls get 503.
	refuse func(remote string) bool
}

type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeReply struct {
	Rows  []storedRow `json:"rows"`
	More  bool        `json:"morePages"`
	Ver   int64       `json:"ver"`
	NowMs int64       `json:"nowMs"`
}

func newStore() *store {
	return &store{ver: 100, rows: make(map[string]*storedRow), changed: make(chan struct{}), began: time.Now()}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(r storedRow) {
	key := r.Table + "/" + r.Key
	if r.Deleted {
		delete(s.rows, key)
	} else {
		kept := r
		s.rows[key] = &kept
	}
	s.history = append(s.history, r)
}

// put writes a row as the operator or a server does, and returns its version.
func (s *store) put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(storedRow{Table: table, Key: key, Value: data, Ver: s.ver})
	s.wake()
	return s.ver
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows[table+"/"+key] == nil {
		return
	}
	s.ver++
	s.set(storedRow{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.wake()
}

// value returns a row's value, nil without the row.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rows[table+"/"+key]; r != nil {
		return r.Value
	}
	return nil
}

func (s *store) reply(w http.ResponseWriter, status int, rows []storedRow) {
	if rows == nil {
		rows = []storedRow{}
	}
	body, _ := json.Marshal(storeReply{Rows: rows, Ver: s.ver, NowMs: time.Since(s.began).Milliseconds()})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuse != nil && s.refuse(r.RemoteAddr) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/ragwortdoor/rows-get":
		s.get(w, r)
	case "/ragwortdoor/rows-feed":
		s.feed(w, r)
	case "/ragwortdoor/rows-tx":
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storedRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, *row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []storedRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []storedRow `json:"expectedRev"`
		Puts        []storedRow `json:"puts"`
		Remove      []storedRow `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []storedRow
	for _, check := range body.ExpectedRev {
		row := s.rows[check.Table+"/"+check.Key]
		var ver int64
		if row != nil {
			ver = row.Ver
			current = append(current, *row)
		}
		holds = holds && ver == check.Ver
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	s.ver++
	for _, put := range body.Puts {
		put.Ver = s.ver
		s.set(put)
	}
	for _, gone := range body.Remove {
		gone.Ver, gone.Deleted = s.ver, true
		s.set(gone)
	}
	s.wake()
	s.reply(w, http.StatusOK, nil)
}
