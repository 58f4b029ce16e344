package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	// row is a row of the store as on the wire.
	row struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"schemaVer"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	// store is the platform's metadata store, with the calls that the gateways use.
	store struct {
		address string
		start   time.Time

		mu      sync.Mutex
		version uint64
		rows    map[[3]string]row
		log     []row
		changed chan struct{}
	}
)

func newStore() *store {
	return &store{start: time.Now(), rows: map[[3]string]row{}, changed: make(chan struct{})}
}

// put writes a row with a JSON value and returns when it is acknowledged.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: b}})
}

// apply applies the rows of one transaction. The caller holds the lock.
func (s *store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		key := [3]string{r.Table, r.Part, r.Key}
		if r.Deleted {
			r.Value = nil
			delete(s.rows, key)
		} else {
			s.rows[key] = r
		}
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/shallotcourse/rows-get":
		s.get(w, r)
	case "/shallotcourse/rows-feed":
		s.feed(w, r)
	case "/shallotcourse/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mu.Lock()
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []row `json:"precondition"`
		Puts         []row `json:"puts"`
		Delete       []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range append(append([]row{}, body.Puts...), body.Delete...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, c := range body.Precondition {
		if now := s.rows[[3]string{c.Table, c.Part, c.Key}]; now.Version != c.Version {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{now}})
			return
		}
	}
	for i := range body.Delete {
		body.Delete[i].Deleted = true
	}
	s.apply(append(body.Puts, body.Delete...))
	s.reply(w, http.StatusOK, map[string]any{})
}

// reply adds the version and the store's clock to a body. The caller holds the lock.
func (s *store) reply(w http.ResponseWriter, status int, v map[string]any) {
	v["schemaVer"], v["serverTimeMs"] = s.version, time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
