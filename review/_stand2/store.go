package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schemaVer"`
	Deleted bool   `json:"deleted,omitempty"`
}

// metadataStore is a stand-in of the platform's store, with the calls on rows.
type metadataStore struct {
	address string
	began   time.Time

	mu      sync.Mutex
	version uint64
	rows    map[[2]string]storeRow
	log     []storeRow
	changed chan struct{}
}

func newStore() (*metadataStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &metadataStore{address: l.Addr().String(), began: time.Now(), version: 1, rows: map[[2]string]storeRow{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a row as the operator or an engine does.
func (s *metadataStore) put(table, key string, v any) uint64 {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(storeRow{Table: table, Key: key, Value: b})
}

func (s *metadataStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeRow{Table: table, Key: key, Deleted: true})
}

func (s *metadataStore) apply(r storeRow) uint64 {
	s.version++
	r.Version = s.version
	if r.Deleted {
		delete(s.rows, [2]string{r.Table, r.Key})
	} else {
		s.rows[[2]string{r.Table, r.Key}] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *metadataStore) reply(w http.ResponseWriter, status int, v map[string]any) {
	v["serverTimeMs"] = time.Since(s.began).Milliseconds()
	writeJSON(w, status, v)
}

func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/shallotcourse/rows-get":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit > 500 {
			limit = 500
		}
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
				rows = append(rows, row)
			}
		}
		version := s.version
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		more := len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		s.reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "schemaVer": version})
	case "/shallotcourse/rows-feed":
		s.feed(w, r)
	case "/shallotcourse/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *metadataStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "schemaVer": version})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metadataStore) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []storeRow `json:"precondition"`
		Puts         []storeRow `json:"puts"`
		Delete       []storeRow `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Precondition {
		if have := s.rows[[2]string{c.Table, c.Key}]; have.Version != c.Version {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []storeRow{have}, "schemaVer": s.version})
			return
		}
	}
	for _, row := range append(append([]storeRow{}, body.Puts...), body.Delete...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, row := range body.Puts {
		s.apply(row)
	}
	for _, row := range body.Delete {
		row.Deleted = true
		s.apply(row)
	}
	s.reply(w, http.StatusOK, map[string]any{"schemaVer": s.version})
}
