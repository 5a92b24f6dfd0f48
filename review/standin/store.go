package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from the settings and pages of the users.
const (
	rowBytes        = 65536
	maxEntries      = 100
	maxCallBytes    = 1 << 20
	maxPageRows     = 500
	transactionTime = 4 * time.Millisecond
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version-number"`
	Deleted bool   `json:"deleted,omitempty"`
}

type page struct {
	Rows      []row    `json:"rows"`
	Parts     []string `json:"parts"`
	Truncated bool     `json:"truncated"`
	Version   int64    `json:"version-number"`
	NowMillis int64    `json:"now-ms"`
}

// store is a stand-in of the platform's transactional store of rows.
type store struct {
	log     *record
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	// refused counts the transactions answered with 400, by the reason.
	refused map[string]int

	connections *connections
}

func newStore(log *record) *store {
	return &store{
		log:         log,
		started:     time.Now(),
		rows:        map[rowKey]row{},
		changed:     make(chan struct{}),
		refused:     map[string]int{},
		connections: newConnections(),
	}
}

// serve listens on a free loopback port and returns the address.
func (s *store) serve() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.read)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(&silentListener{Listener: listener, connections: s.connections}) }()
	return listener.Addr().String()
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) now() int64 {
	return time.Since(s.started).Milliseconds() + 1000
}

type transaction struct {
	Expects []row    `json:"expected-revision"`
	Writes  []row    `json:"writes"`
	Removes []rowKey `json:"remove"`
	Across  bool     `json:"across"`
}

// invalid returns why the platform refuses the transaction as such.
func (t transaction) invalid(size int) string {
	parts := map[string]bool{}
	for _, e := range t.Expects {
		parts[e.Part] = true
	}
	for _, w := range t.Writes {
		parts[w.Part] = true
		if len(w.Value) > rowBytes {
			return "a value of " + strconv.Itoa(len(w.Value)) + " bytes for row " + w.Table + "/" + w.Part + "/" + w.Key + ", more than row-bytes"
		}
	}
	for _, k := range t.Removes {
		parts[k.Part] = true
	}
	switch {
	case len(t.Expects)+len(t.Writes)+len(t.Removes) > maxEntries:
		return "more than 100 entries"
	case size > maxCallBytes*4/3+maxEntries*700:
		return "more than 1 MB"
	case len(parts) > 1 && !t.Across:
		return "several parts without across"
	}
	return ""
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || json.Unmarshal(body, &t) != nil {
		answer(w, http.StatusBadRequest, page{})
		return
	}
	time.Sleep(transactionTime)
	for _, e := range t.Writes {
		if e.Table == "op" || e.Table == "servers" {
			answer(w, http.StatusForbidden, page{})
			return
		}
	}
	if reason := t.invalid(len(body)); reason != "" {
		s.mu.Lock()
		s.refused[reason]++
		first := s.refused[reason] == 1
		s.mu.Unlock()
		if first {
			s.log.add("store", "answers 400 to a transaction with %s", reason)
		}
		answer(w, http.StatusBadRequest, page{})
		return
	}
	version, conflict := s.apply(t)
	if conflict != nil {
		answer(w, http.StatusPreconditionFailed, page{Rows: conflict, NowMillis: s.now()})
		return
	}
	answer(w, http.StatusOK, page{Version: version, NowMillis: s.now()})
}

// apply carries out the transaction, or returns the rows of its conditions if one
// of these does not hold.
func (s *store) apply(t transaction) (int64, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	found := []row{}
	for _, e := range t.Expects {
		current, ok := s.rows[e.rowKey]
		holds = holds && current.Version == e.Version
		if ok {
			found = append(found, current)
		}
	}
	if !holds {
		return 0, found
	}
	s.version++
	for _, e := range t.Writes {
		written := row{rowKey: e.rowKey, Value: e.Value, Version: s.version}
		s.rows[e.rowKey] = written
		s.history = append(s.history, written)
	}
	for _, k := range t.Removes {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, row{rowKey: k, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// write is the operator's write of a row; its return is the acknowledgement.
func (s *store) write(table, key string, value []byte) {
	s.apply(transaction{Writes: []row{{rowKey: rowKey{Table: table, Key: key}, Value: value}}})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(transactionTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Rows: []row{}, Version: s.version, NowMillis: s.now()}
	for k, found := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") &&
			(q.Get("target") == "" || k.Key < q.Get("target")) {
			p.Rows = append(p.Rows, found)
		}
	}
	slices.SortFunc(p.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	if len(p.Rows) > limit {
		p.Rows = p.Rows[:limit]
		p.Truncated = true
	}
	answer(w, http.StatusOK, p)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(transactionTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Parts: []string{}, Version: s.version, NowMillis: s.now()}
	for k := range s.rows {
		if k.Table == q.Get("table") && k.Part > q.Get("after") && !slices.Contains(p.Parts, k.Part) {
			p.Parts = append(p.Parts, k.Part)
		}
	}
	if q.Get("after") == "" {
		for k := range s.rows {
			if k.Table == q.Get("table") && k.Part == "" && !slices.Contains(p.Parts, "") {
				p.Parts = append(p.Parts, "")
			}
		}
	}
	slices.Sort(p.Parts)
	p.Parts = p.Parts[:min(len(p.Parts), 1000)]
	answer(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, page{})
		return
	}
	time.Sleep(transactionTime)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := page{Rows: []row{}, Version: s.version, NowMillis: s.now()}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(h row, v int64) int { return cmp.Compare(h.Version, v) })
		for _, h := range s.history[first:] {
			if h.Table == q.Get("table") {
				p.Rows = append(p.Rows, h)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(p.Rows) > 0 {
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
