package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// transactionTime is how long a transaction and its answer take.
	transactionTime = 4 * time.Millisecond
	// historyTime is how long the store keeps its history.
	historyTime = 20 * time.Second
	maxRows     = 500
	maxEntries  = 100
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value"`
	Version int64  `json:"version-number"`
	Deleted bool   `json:"deleted,omitempty"`
}

type change struct {
	row
	at time.Time
}

type transaction struct {
	Expects []row    `json:"expected-revision"`
	Writes  []row    `json:"writes"`
	Removes []rowKey `json:"remove"`
	Across  bool     `json:"across"`
}

type page struct {
	Rows      []row    `json:"rows,omitempty"`
	Parts     []string `json:"parts,omitempty"`
	Truncated bool     `json:"truncated"`
	Version   int64    `json:"version-number"`
	Now       int64    `json:"now-ms"`
}

// store is the platform's transactional store.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	// history holds the changes since the version dropped.
	history []change
	dropped int64
	changed chan struct{}
	parts   map[string]*sync.Mutex
}

func newStore() *store {
	return &store{
		began:   time.Now().Add(-time.Minute),
		rows:    map[rowKey]row{},
		changed: make(chan struct{}),
		parts:   map[string]*sync.Mutex{},
	}
}

func (s *store) now() int64 {
	return time.Since(s.began).Milliseconds()
}

// commit applies the transaction. It returns false, and the present rows of the
// conditions, if one of them does not hold.
func (s *store) commit(t transaction) (int64, []row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var present []row
	for _, e := range t.Expects {
		found, ok := s.rows[e.rowKey]
		if found.Version != e.Version {
			holds = false
		}
		if ok {
			present = append(present, found)
		}
	}
	if !holds {
		return 0, present, false
	}
	s.version++
	now := time.Now()
	for _, w := range t.Writes {
		r := row{rowKey: w.rowKey, Value: w.Value, Version: s.version}
		s.rows[w.rowKey] = r
		s.history = append(s.history, change{r, now})
	}
	for _, k := range t.Removes {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, change{row{rowKey: k, Version: s.version, Deleted: true}, now})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

// put writes one row as the operator.
func (s *store) put(table, key string, value []byte) {
	s.commit(transaction{Writes: []row{{rowKey: rowKey{Table: table, Key: key}, Value: value}}})
}

// part returns the lock under which the transactions of a part run one by one.
func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveCommit)
	mux.HandleFunc("GET /rows-get", s.serveRows)
	mux.HandleFunc("GET /rows-parts", s.serveParts)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	return mux
}

func (s *store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expects)+len(t.Writes)+len(t.Removes) > maxEntries {
		answer(w, http.StatusBadRequest, page{})
		return
	}
	parts := map[string]bool{}
	for _, e := range t.Expects {
		parts[e.Part] = true
	}
	for _, e := range t.Writes {
		parts[e.Part] = true
		if e.Table == "op" || e.Table == "servers" {
			answer(w, http.StatusForbidden, page{})
			return
		}
	}
	for _, e := range t.Removes {
		parts[e.Part] = true
	}
	if len(parts) > 1 && !t.Across {
		answer(w, http.StatusBadRequest, page{})
		return
	}
	names := make([]string, 0, len(parts))
	for name := range parts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		lock := s.part(name)
		lock.Lock()
		defer lock.Unlock()
	}
	time.Sleep(transactionTime)
	if len(parts) > 1 {
		time.Sleep(transactionTime)
	}
	version, present, ok := s.commit(t)
	if !ok {
		answer(w, http.StatusPreconditionFailed, page{Rows: present, Now: s.now()})
		return
	}
	answer(w, http.StatusOK, page{Version: version, Now: s.now()})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	time.Sleep(transactionTime)
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var found []row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			found = append(found, v)
		}
	}
	p := page{Version: s.version, Now: s.now()}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	p.Truncated = len(found) > limit
	p.Rows = found[:min(limit, len(found))]
	answer(w, http.StatusOK, p)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(transactionTime)
	q := r.URL.Query()
	s.mu.Lock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.Table == q.Get("table") && k.Part > q.Get("after") {
			seen[k.Part] = true
		}
	}
	p := page{Version: s.version, Now: s.now()}
	s.mu.Unlock()
	for name := range seen {
		p.Parts = append(p.Parts, name)
	}
	sort.Strings(p.Parts)
	p.Parts = p.Parts[:min(1000, len(p.Parts))]
	answer(w, http.StatusOK, p)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		p, gone, changed := s.changesSince(q, after)
		if gone {
			answer(w, http.StatusGone, page{})
			return
		}
		if len(p.Rows) > 0 {
			time.Sleep(transactionTime)
			answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the newest change of each row of a table after a version.
func (s *store) changesSince(q url.Values, after int64) (page, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Version: s.version, Now: s.now()}
	if after < s.dropped {
		return p, true, nil
	}
	last := map[rowKey]int64{}
	for _, c := range s.history {
		if c.Table == q.Get("table") && c.Version > after {
			last[c.rowKey] = c.Version
		}
	}
	for _, c := range s.history {
		if c.Version > after && last[c.rowKey] == c.Version {
			p.Rows = append(p.Rows, c.row)
		}
	}
	return p, false, s.changed
}

// answer writes a response with the body as JSON.
func answer(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}
