package sesamerows

import (
	"cmp"
	"context"
	"encoding/base64"
	"slices"
	"sync"
	"time"

	"github.com/sesamestack/sesamestack/sesameclock"
)

const (
	// MaxPageRows is the most rows that Memory.Read returns in one page.
	MaxPageRows = 500
	// maxPageBytes bounds the values in such a page, in base64.
	maxPageBytes = 1_000_000
)

// Memory is a Store that keeps its rows in memory, for tests and for the
// emulated platform. It is safe for concurrent use.
type Memory struct {
	clock sesameclock.Clock

	mu sync.Mutex
	// version is that of the latest transaction.
	version Version
	// rows are the existing rows.
	rows map[Key]Row
	// history holds every row version and tombstone after droppedUpTo, oldest
	// first.
	history []Row
	// droppedUpTo is the version up to which the history was dropped.
	droppedUpTo Version
	// changed is closed and replaced at each commit, to wake up Changes.
	changed chan struct{}
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store whose answers carry the clock's steady time.
func NewMemory(clock sesameclock.Clock) *Memory {
	return &Memory{
		clock:   clock,
		rows:    map[Key]Row{},
		changed: make(chan struct{}),
	}
}

// Read returns rows of the range; see Store.
func (m *Memory) Read(_ context.Context, r Range) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := m.emptyPage()
	for key, row := range m.rows {
		inside := key.Table == r.Table && key.Part == r.Part && key.Name >= r.From
		if inside && (r.To == "" || key.Name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b Row) int {
		return cmp.Compare(a.Key.Name, b.Key.Name)
	})
	if n := rowsPerPage(page.Rows); n < len(page.Rows) {
		page.Rows = page.Rows[:n]
		page.More = true
	}
	return page, nil
}

// rowsPerPage returns how many of the rows fit into one page.
func rowsPerPage(rows []Row) int {
	bytes := 0
	for i, row := range rows {
		bytes += base64.StdEncoding.EncodedLen(len(row.Value))
		if i == MaxPageRows || bytes > maxPageBytes {
			return i
		}
	}
	return len(rows)
}

// Parts returns the parts of a table that have rows; see Store.
func (m *Memory) Parts(_ context.Context, table string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var parts []string
	for key := range m.rows {
		if key.Table == table && !slices.Contains(parts, key.Part) {
			parts = append(parts, key.Part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// Commit applies the transaction, or refuses it with a *RejectedError if it exceeds
// a limit of the platform; see Store.
func (m *Memory) Commit(_ context.Context, t Transaction) (Version, error) {
	if err := t.CheckLimits(); err != nil {
		return 0, &RejectedError{
			Operation: "commit",
			Cause:     err,
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if conflict := m.checkConditions(t.Expects); conflict != nil {
		return 0, conflict
	}
	m.version++
	for _, w := range t.Writes {
		m.apply(Row{
			Key:     w.Key,
			Value:   slices.Clone(w.Value),
			Version: m.version,
		})
	}
	for _, key := range t.Removes {
		m.apply(Row{
			Key:     key,
			Version: m.version,
			Removed: true,
		})
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil
}

// checkConditions returns a *ConflictError if a row's version differs from the
// expected one, and else nil. m.mu must be held.
func (m *Memory) checkConditions(expects []Expect) error {
	holds := true
	var rows []Row
	for _, e := range expects {
		row, ok := m.rows[e.Key]
		holds = holds && row.Version == e.Version
		if ok {
			rows = append(rows, row)
		}
	}
	if holds {
		return nil
	}
	return &ConflictError{
		Rows: rows,
	}
}

// apply writes or removes one row and adds it to the history. Removing a row
// that does not exist leaves no trace. m.mu must be held.
func (m *Memory) apply(row Row) {
	if row.Removed {
		if _, ok := m.rows[row.Key]; !ok {
			return
		}
		delete(m.rows, row.Key)
	} else {
		m.rows[row.Key] = row
	}
	m.history = append(m.history, row)
}

// Changes returns the rows that changed after the version, or waits for the
// next change; see Store.
func (m *Memory) Changes(ctx context.Context, table string, after Version, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		page, changed, err := m.changesAfter(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page, nil
		}
	}
}

// changesAfter returns the table's changes after the version, and a channel
// that is closed at the next commit. If the history was dropped beyond the
// version, it returns a *HistoryError.
func (m *Memory) changesAfter(table string, after Version) (Page, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.droppedUpTo {
		return Page{}, nil, &HistoryError{
			Table: table,
			After: after,
		}
	}
	page := m.emptyPage()
	for _, row := range m.history {
		if row.Version > after && row.Key.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, m.changed, nil
}

// emptyPage returns a page without rows, with the current version and time.
// m.mu must be held.
func (m *Memory) emptyPage() Page {
	return Page{
		Version: m.version,
		Now:     m.clock.Steady(),
	}
}

// DropHistory drops all changes so far from the feed, so that Changes returns a
// *HistoryError for any version before the current one.
func (m *Memory) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.droppedUpTo = m.version
	m.history = nil
}
