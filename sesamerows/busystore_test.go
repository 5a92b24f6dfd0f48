package sesamerows_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// content is the rows of a table by key.
type content map[sesamerows.Key]string

// busyStore is a store that others write to between the calls of a reader. It
// records the content of its only table at each version.
type busyStore struct {
	memory *sesamerows.Memory
	// before and after are called ahead of each call and at its end, with its
	// name (see callName). They may be nil.
	before func(call string)
	after  func(call string)
	// pageRows is the most rows in one page.
	pageRows int

	mu sync.Mutex
	// at holds the content at each version.
	at []content
}

var _ sesamerows.Store = (*busyStore)(nil)

// newBusyStore returns a store with the rows, which are written one after the
// other; see busyStore.set.
func newBusyStore(rows ...string) *busyStore {
	s := &busyStore{
		memory:   sesamerows.NewMemory(virtualClock()),
		pageRows: 2,
		at:       []content{{}},
	}
	for _, row := range rows {
		s.set(row)
	}
	return s
}

// busyTable is the table that tests read.
const busyTable = "table"

// busyKey returns the key of a row whose part is the first letter of its name.
func busyKey(name string) sesamerows.Key {
	return sesamerows.Key{
		Table: busyTable,
		Part:  name[:1],
		Name:  name,
	}
}

// change writes and removes rows in one transaction.
func (s *busyStore) change(written, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.at[len(s.at)-1])
	var t sesamerows.Transaction
	for _, name := range written {
		value := fmt.Sprint(len(s.at))
		next[busyKey(name)] = value
		t.Writes = append(t.Writes, sesamerows.Write{
			Key:   busyKey(name),
			Value: []byte(value),
		})
	}
	for _, name := range removed {
		delete(next, busyKey(name))
		t.Removes = append(t.Removes, busyKey(name))
	}
	if _, err := s.memory.Commit(context.Background(), t); err != nil {
		panic(err)
	}
	s.at = append(s.at, next)
}

// set writes rows in one transaction.
func (s *busyStore) set(names ...string) {
	s.change(names, nil)
}

// remove removes rows in one transaction.
func (s *busyStore) remove(names ...string) {
	s.change(nil, names)
}

// newestVersion returns the store's newest version.
func (s *busyStore) newestVersion() sesamerows.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sesamerows.Version(len(s.at) - 1)
}

// contentAt returns a copy of the store's content at the version.
func (s *busyStore) contentAt(version sesamerows.Version) content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.at[version])
}

// begin runs the hook ahead of a call, and returns the one that ends it.
func (s *busyStore) begin(call string) (end func()) {
	if s.before != nil {
		s.before(call)
	}
	return func() {
		if s.after != nil {
			s.after(call)
		}
	}
}

// callName returns "read" with the part and the name of the first row to read,
// such as "read a" or "read a a2\x00".
func callName(r sesamerows.Range) string {
	if r.From == "" {
		return "read " + r.Part
	}
	return "read " + r.Part + " " + r.From
}

// Read returns up to pageRows rows.
func (s *busyStore) Read(ctx context.Context, r sesamerows.Range) (sesamerows.Page, error) {
	defer s.begin(callName(r))()
	page, err := s.memory.Read(ctx, r)
	if len(page.Rows) > s.pageRows {
		page.Rows = page.Rows[:s.pageRows]
		page.More = true
	}
	return page, err
}

// Parts returns the parts of a table.
func (s *busyStore) Parts(ctx context.Context, table string) ([]string, error) {
	defer s.begin("parts")()
	return s.memory.Parts(ctx, table)
}

// Commit applies a transaction.
func (s *busyStore) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	return s.memory.Commit(ctx, t)
}

// Changes returns the changes of the next version that has any, so that several
// versions take several calls.
func (s *busyStore) Changes(ctx context.Context, table string, after sesamerows.Version, _ time.Duration) (sesamerows.Page, error) {
	defer s.begin("changes")()
	page, err := s.memory.Changes(ctx, table, after, 0)
	if err != nil || len(page.Rows) == 0 {
		return page, err
	}
	first := page.Rows[0].Version
	if page.Rows[len(page.Rows)-1].Version == first {
		return page, nil
	}
	page.Rows = slices.DeleteFunc(page.Rows, func(row sesamerows.Row) bool {
		return row.Version != first
	})
	page.Version = first
	return page, nil
}

// follow returns a follower of all parts, or of the part if there is one.
func (s *busyStore) follow(part ...string) *sesamerows.Follower {
	o := sesamerows.FollowOptions{
		Table: busyTable,
	}
	if len(part) > 0 {
		o.Part = &part[0]
	}
	return sesamerows.NewFollower(s, o)
}

// apply adds the batch's rows to the content.
func (c content) apply(b sesamerows.Batch) {
	for _, row := range b.Rows {
		if row.Removed {
			delete(c, row.Key)
		} else {
			c[row.Key] = string(row.Value)
		}
	}
}

// within returns the rows of the part, or all if there is none.
func (c content) within(part ...string) content {
	if len(part) == 0 {
		return c
	}
	found := maps.Clone(c)
	maps.DeleteFunc(found, func(key sesamerows.Key, _ string) bool {
		return key.Part != part[0]
	})
	return found
}
