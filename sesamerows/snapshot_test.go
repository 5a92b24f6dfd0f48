package sesamerows_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// maxNextCalls bounds the calls of Follower.Next by which it has all changes.
const maxNextCalls = 200

// checkSnapshot reads a snapshot and then the feed until it holds all changes so
// far. It checks after each batch that the rows are the store's content at the
// version that the batch names.
func (s *busyStore) checkSnapshot(ctx context.Context, is *is.I, part ...string) {
	is.Helper()
	f := s.follow(part...)
	rows := content{}
	version := sesamerows.Version(-1)
	for calls := 0; version < s.newestVersion(); calls++ {
		is.True(calls < maxNextCalls)
		batch, err := f.Next(ctx)
		if errors.HasType(err, (*sesamerows.HistoryError)(nil)) {
			continue
		}
		is.NoErr(err)
		is.True(batch.Snapshot || version >= 0)
		if batch.Snapshot {
			rows = content{}
		}
		rows.apply(batch)
		if batch.Snapshot {
			is.Equal(len(rows), len(batch.Rows)) // no row twice, no tombstone
			is.Equal(rows, rows.within(part...))
		}
		is.True(batch.Version >= version)
		version = batch.Version
		is.Equal(rows.within(part...), s.contentAt(version).within(part...))
	}
}

// once returns a hook that calls act ahead of the first call with that name.
func once(name string, act func()) func(call string) {
	var first sync.Once
	return func(call string) {
		if call == name {
			first.Do(act)
		}
	}
}

// changeBetweenPages changes rows of the pages before and after, and one of
// another part, between two pages of a part.
func changeBetweenPages(t *testing.T, part ...string) {
	s := newBusyStore("a1", "a2", "a3", "a4")
	s.before = once("read a a2\x00", func() {
		s.set("a0", "b1")
		s.set("a5")
	})
	s.checkSnapshot(t.Context(), is.New(t), part...)
}

// TestTornSnapshot reads snapshots while rows change between the reader's calls.
func TestTornSnapshot(t *testing.T) {
	t.Run("part appears after the list", func(t *testing.T) {
		s := newBusyStore("a1")
		s.before = once("read a", func() { s.set("b1") })
		s.checkSnapshot(t.Context(), is.New(t))
	})
	t.Run("part is emptied and comes back", func(t *testing.T) {
		s := newBusyStore("a1", "b1")
		removing := once("parts", func() { s.remove("b1") })
		writing := once("read a", func() { s.set("b1") })
		s.before = func(call string) {
			removing(call)
			writing(call)
		}
		s.checkSnapshot(t.Context(), is.New(t))
	})
	t.Run("table is emptied before the list and comes back", func(t *testing.T) {
		s := newBusyStore("a1")
		s.before = once("parts", func() { s.remove("a1") })
		s.after = once("parts", func() { s.set("b1") })
		s.checkSnapshot(t.Context(), is.New(t))
	})
	// The reads of parts run in parallel: that of b waits for that of a.
	afterFirstPart := func(t *testing.T, change func(s *busyStore)) {
		s := newBusyStore("a1", "b1")
		read := make(chan struct{})
		s.after = once("read a", func() {
			change(s)
			close(read)
		})
		s.before = once("read b", func() { <-read })
		s.checkSnapshot(t.Context(), is.New(t))
	}
	t.Run("transaction of two parts", func(t *testing.T) {
		afterFirstPart(t, func(s *busyStore) { s.set("a2", "b2") })
	})
	t.Run("row is removed", func(t *testing.T) {
		afterFirstPart(t, func(s *busyStore) { s.change([]string{"b2"}, []string{"a1"}) })
	})
	t.Run("change between pages", func(t *testing.T) {
		changeBetweenPages(t)
	})
	t.Run("change between pages of a followed part", func(t *testing.T) {
		changeBetweenPages(t, "a")
	})
}

// disturbance is what others do between two calls of a reader.
type disturbance struct {
	Written []string
	Removed []string
	// DropHistory says that the store forgets its changes so far.
	DropHistory bool
}

// drawDisturbance draws a disturbance of a few rows in a few parts.
func drawDisturbance(t *rapid.T) disturbance {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{
		"a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3", "c1", "d1",
	}), 0, 5, rapid.ID).Draw(t, "names")
	removed := rapid.IntRange(0, len(names)).Draw(t, "removed")
	return disturbance{
		Written:     names[removed:],
		Removed:     names[:removed],
		DropHistory: rapid.IntRange(0, 19).Draw(t, "drop history") == 0,
	}
}

// TestTornSnapshotAnywhere reads snapshots while random rows change between any
// two calls of the reader.
func TestTornSnapshotAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newBusyStore("a1", "b1")
		disturbances := rapid.SliceOfN(rapid.Custom(drawDisturbance), 0, 30).Draw(t, "disturbances")
		part := rapid.SampledFrom([][]string{nil, {"a"}}).Draw(t, "part")
		var mu sync.Mutex
		disturb := func(string) {
			mu.Lock()
			defer mu.Unlock()
			if len(disturbances) == 0 {
				return
			}
			next := disturbances[0]
			disturbances = disturbances[1:]
			s.change(next.Written, next.Removed)
			if next.DropHistory {
				s.memory.DropHistory()
			}
		}
		s.before = disturb
		s.after = disturb
		s.checkSnapshot(context.Background(), is.New(t), part...)
	})
}

// countCalls counts the calls by name from now on, each after act was called with
// its name.
func (s *busyStore) countCalls(act func(call string)) map[string]int {
	var mu sync.Mutex
	calls := map[string]int{}
	s.before = func(call string) {
		act(call)
		mu.Lock()
		defer mu.Unlock()
		calls[call]++
	}
	return calls
}

// TestSnapshotCalls checks the calls that a snapshot takes.
func TestSnapshotCalls(t *testing.T) {
	t.Run("one part of one page", func(t *testing.T) {
		is := is.New(t)
		s := newBusyStore("a1", "b1")
		calls := s.countCalls(func(string) {})
		_, err := s.follow("a").Next(t.Context())
		is.NoErr(err)
		is.Equal(calls, map[string]int{"read a": 1})
	})
	t.Run("no changes meanwhile", func(t *testing.T) {
		is := is.New(t)
		s := newBusyStore("a1", "b1")
		calls := s.countCalls(func(string) {})
		_, err := s.follow().Next(t.Context())
		is.NoErr(err)
		is.Equal(calls, map[string]int{"read ": 1, "parts": 1, "read a": 1, "read b": 1})
	})
	t.Run("table without rows", func(t *testing.T) {
		is := is.New(t)
		s := newBusyStore("a1")
		s.remove("a1")
		calls := s.countCalls(func(string) {})
		batch, err := s.follow().Next(t.Context())
		is.NoErr(err)
		is.Equal(batch.Version, s.newestVersion())
		is.Equal(calls, map[string]int{"read ": 2, "parts": 1})
	})
	t.Run("changes meanwhile", func(t *testing.T) {
		is := is.New(t)
		s := newBusyStore("a1", "b1")
		calls := s.countCalls(once("parts", func() { s.set("a1", "c1") }))
		batch, err := s.follow().Next(t.Context())
		is.NoErr(err)
		is.Equal(batch.Parts, 3)
		is.Equal(batch.Replayed, 2)
		is.Equal(calls["changes"], 1)
	})
}

// TestDiscardedChanges discards the changes that complete a snapshot.
func TestDiscardedChanges(t *testing.T) {
	t.Run("once", func(t *testing.T) {
		is := is.New(t)
		s := newBusyStore("a1")
		calls := s.countCalls(once("read a", func() {
			s.set("b1")
			s.memory.DropHistory()
		}))
		batch, err := s.follow().Next(t.Context())
		is.NoErr(err)
		is.Equal(len(batch.Rows), 2)
		is.Equal(calls, map[string]int{"read ": 2, "parts": 2, "read a": 2, "read b": 1, "changes": 1})
	})
	t.Run("always", func(t *testing.T) {
		is := is.New(t)
		s := newBusyStore("a1")
		calls := s.countCalls(func(call string) {
			if call == "read a" {
				s.set("a1")
				s.memory.DropHistory()
			}
		})
		_, err := s.follow().Next(t.Context())
		is.True(errors.HasType(err, (*sesamerows.HistoryError)(nil)))
		is.Equal(calls["changes"], 2)
	})
}

// staleStore is a store whose feed brings nothing while stale is set.
type staleStore struct {
	*busyStore
	stale bool
}

// Changes returns an empty page of the version while stale is set.
func (s *staleStore) Changes(ctx context.Context, table string, after sesamerows.Version, wait time.Duration) (sesamerows.Page, error) {
	if s.stale {
		return sesamerows.Page{
			Version: after,
		}, nil
	}
	return s.busyStore.Changes(ctx, table, after, wait)
}

// TestStaleFeed checks that a snapshot is not taken for complete while the feed
// lags behind the reads.
func TestStaleFeed(t *testing.T) {
	is := is.New(t)
	s := &staleStore{
		busyStore: newBusyStore("a1"),
		stale:     true,
	}
	s.before = once("read a", func() { s.set("b1") })
	f := sesamerows.NewFollower(s, sesamerows.FollowOptions{
		Table: busyTable,
	})
	_, err := f.Next(t.Context())
	is.True(errors.HasType(err, (*sesamerows.StaleFeedError)(nil)))
	s.stale = false
	batch, err := f.Next(t.Context())
	is.NoErr(err)
	is.Equal(len(batch.Rows), 2)
}
