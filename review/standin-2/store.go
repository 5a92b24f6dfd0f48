package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The store's limits and times, as the settings of a small deployment state them.
const (
	storeLatency     = 4 * time.Millisecond
	storeHistory     = 20 * time.Second
	maxTxEntries     = 100
	maxTxBytes       = 1_000_000
	maxRowBytes      = 65536
	maxNameBytes     = 200
	maxPageRows      = 500
	maxPageBytes     = 1_000_000
	maxListedParts   = 1000
	partTransactions = 250
)

// rowKey names a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// storeRow is a row, a condition or a write in the store's JSON.
type storeRow struct {
	rowKey
	Value   string `json:"value,omitempty"`
	Version int64  `json:"version-number"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

// storePage is the body of the store's responses.
type storePage struct {
	Rows      []storeRow `json:"rows,omitempty"`
	Parts     []string   `json:"parts,omitempty"`
	Truncated bool       `json:"truncated"`
	Version   int64      `json:"version-number"`
	Now       int64      `json:"now-ms"`
}

// store is a stand-in for the platform's store. It behaves as the page on what is
// spoken says: atomic transactions under conditions, and a feed of changes.
type store struct {
	mu      sync.Mutex
	started time.Time
	version int64
	rows    map[rowKey]storeRow
	history []storeRow
	dropped int64
	changed chan struct{}
	// partFree is when each part has handled the transactions that wait.
	partFree map[string]time.Time
	// loses says for how long a transaction is held back that gets no answer; 0 for
	// one that is answered. It counts both kinds.
	loses    func(body string) time.Duration
	lost     int
	answered int
}

func newStore() *store {
	return &store{
		started:  time.Now().Add(-50 * time.Second),
		rows:     map[rowKey]storeRow{},
		changed:  make(chan struct{}),
		partFree: map[string]time.Time{},
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	query := r.URL.Query()
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, r)
	case "/rows-get":
		limit, err := strconv.Atoi(query.Get("limit"))
		if err != nil || limit <= 0 {
			limit = maxPageRows
		}
		reply(w, http.StatusOK, s.read(query.Get("table"), query.Get("part"), query.Get("from"), query.Get("target"), limit))
	case "/rows-parts":
		reply(w, http.StatusOK, s.parts(query.Get("table"), query.Get("after")))
	case "/rows-feed":
		s.feed(w, r)
	default:
		reply(w, http.StatusNotFound, storePage{})
	}
}

// page returns an empty page; the caller holds the lock.
func (s *store) page() storePage {
	return storePage{
		Version: s.version,
		Now:     time.Since(s.started).Milliseconds(),
	}
}

// transact applies a transaction or refuses it.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTxBytes+1))
	var tx struct {
		Expected []storeRow `json:"expected-revision"`
		Writes   []storeRow `json:"writes"`
		Remove   []rowKey   `json:"remove"`
		Across   bool       `json:"across"`
	}
	if err != nil || len(body) > maxTxBytes || json.Unmarshal(body, &tx) != nil {
		reply(w, http.StatusBadRequest, storePage{})
		return
	}
	if s.isLost(string(body)) {
		late := s.loses(string(body))
		go func() {
			time.Sleep(late)
			s.commit(tx.Expected, tx.Writes, tx.Remove)
		}()
		// The connection stays silent.
		<-r.Context().Done()
		return
	}
	parts := map[string]bool{}
	valid := len(tx.Expected)+len(tx.Writes)+len(tx.Remove) <= maxTxEntries
	note := func(k rowKey) {
		parts[k.Part] = true
		valid = valid && len(k.Table) <= maxNameBytes && len(k.Part) <= maxNameBytes && len(k.Key) <= maxNameBytes
	}
	for _, e := range tx.Expected {
		note(e.rowKey)
	}
	for _, e := range tx.Writes {
		note(e.rowKey)
		_, err := base64.StdEncoding.DecodeString(e.Value)
		valid = valid && len(e.Value) <= maxRowBytes && err == nil
		if e.Table == "op" || e.Table == "servers" {
			reply(w, http.StatusForbidden, storePage{})
			return
		}
	}
	for _, k := range tx.Remove {
		note(k)
	}
	if !valid || len(parts) > 1 && !tx.Across {
		reply(w, http.StatusBadRequest, storePage{})
		return
	}
	if !s.queue(parts) {
		reply(w, http.StatusTooManyRequests, storePage{})
		return
	}
	p, held := s.commit(tx.Expected, tx.Writes, tx.Remove)
	if !held {
		reply(w, http.StatusPreconditionFailed, p)
		return
	}
	reply(w, http.StatusOK, p)
}

// isLost reports whether a transaction gets no answer, and counts it.
func (s *store) isLost(body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loses != nil && s.loses(body) > 0 {
		s.lost++
		return true
	}
	s.answered++
	return false
}

// commit applies a transaction if its conditions hold, and returns whether they did.
func (s *store) commit(expected, writes []storeRow, removes []rowKey) (storePage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.page()
	held := true
	for _, e := range expected {
		row, ok := s.rows[e.rowKey]
		if ok {
			p.Rows = append(p.Rows, row)
		}
		held = held && row.Version == e.Version
	}
	if !held {
		return p, false
	}
	s.apply(writes, removes)
	return s.page(), true
}

// queue waits until the parts have handled the transactions before, and returns
// false if more than a second of them waits.
func (s *store) queue(parts map[string]bool) bool {
	s.mu.Lock()
	now := time.Now()
	done := now
	for part := range parts {
		free := s.partFree[part]
		if free.Sub(now) > time.Second {
			s.mu.Unlock()
			return false
		}
		if free.Before(now) {
			free = now
		}
		free = free.Add(time.Second / partTransactions)
		s.partFree[part] = free
		if free.After(done) {
			done = free
		}
	}
	s.mu.Unlock()
	time.Sleep(time.Until(done))
	return true
}

// apply writes and removes rows under the next version; the caller holds the lock.
func (s *store) apply(writes []storeRow, removes []rowKey) {
	s.version++
	now := time.Now()
	for _, row := range writes {
		row.Version = s.version
		row.at = now
		s.rows[row.rowKey] = row
		s.history = append(s.history, row)
	}
	for _, key := range removes {
		if _, ok := s.rows[key]; !ok {
			continue
		}
		delete(s.rows, key)
		s.history = append(s.history, storeRow{rowKey: key, Version: s.version, Deleted: true, at: now})
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > storeHistory {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{
		rowKey: rowKey{Table: table, Key: key},
		Value:  base64.StdEncoding.EncodeToString(encoded),
	}}, nil)
}

// read returns the rows of a range.
func (s *store) read(table, part, from, to string, limit int) storePage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.page()
	for key, row := range s.rows {
		if key.Table == table && key.Part == part && key.Key >= from && (to == "" || key.Key < to) {
			p.Rows = append(p.Rows, row)
		}
	}
	slices.SortFunc(p.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	bytes := 0
	for i, row := range p.Rows {
		bytes += len(row.Value) + len(row.Key)
		if i >= min(limit, maxPageRows) || bytes > maxPageBytes {
			p.Rows = p.Rows[:i]
			p.Truncated = true
			break
		}
	}
	return p
}

// parts returns the parts of a table after one.
func (s *store) parts(table, after string) storePage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.page()
	for key := range s.rows {
		if key.Table == table && (after == "" || key.Part > after) && !slices.Contains(p.Parts, key.Part) {
			p.Parts = append(p.Parts, key.Part)
		}
	}
	slices.Sort(p.Parts)
	p.Parts = p.Parts[:min(len(p.Parts), maxListedParts)]
	return p
}

// feed answers with the changes of a table after a version.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, storePage{})
			return
		}
		p := s.page()
		for _, row := range s.history {
			if row.Version > after && row.Table == query.Get("table") {
				p.Rows = append(p.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			reply(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
