package sesamekeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
)

const (
	testCell   = sesamemodel.CellID("north/a")
	testLease  = 5 * time.Second
	testMargin = 500 * time.Millisecond
)

func announced(id, incarnation string) Beat {
	return Beat{
		Cell:        testCell,
		Target:      sesamemodel.TargetID(id),
		Incarnation: incarnation,
		Announce: sesamemodel.Target{
			ID:          sesamemodel.TargetID(id),
			Zone:        "a",
			Incarnation: incarnation,
		},
	}
}

// flush writes what the book wants to the row.
func flush(b *Book, now time.Time, row sesamemodel.Cell) sesamemodel.Cell {
	for range b.Pending() {
		row, _ = b.Next(row)
		b.Committed(now, row)
	}
	return row
}

func assertHealth(is *is.I, row sesamemodel.Cell, id string, want sesamemodel.Health) {
	is.Helper()
	target, ok := row.Target(sesamemodel.TargetID(id))
	is.True(ok)
	is.Equal(target.Health, want)
}

func TestBook(t *testing.T) {
	start := time.Unix(1000, 0)
	empty := sesamemodel.Cell{
		ID: testCell,
	}
	t.Run("grants nothing before the row is written", func(t *testing.T) {
		is := is.New(t)
		b := NewBook("e1", testLease, testMargin)
		is.Equal(b.Heartbeat(start, announced("w1", "i1")).Lease, time.Duration(0))
		row := flush(b, start, empty)
		is.Equal(row.Keeper, "e1")
		is.Equal(row.Epoch, uint64(1))
		is.Equal(b.Heartbeat(start, announced("w1", "i1")).Lease, testLease)
	})
	t.Run("marks a silent target lost after the lease and the margin", func(t *testing.T) {
		is := is.New(t)
		b := NewBook("e1", testLease, testMargin)
		b.Heartbeat(start, announced("w1", "i1"))
		row := flush(b, start, empty)
		b.Sweep(start.Add(testLease + testMargin))
		row = flush(b, start, row)
		assertHealth(is, row, "w1", sesamemodel.Ready)
		b.Sweep(start.Add(testLease + testMargin + 1))
		row = flush(b, start, row)
		assertHealth(is, row, "w1", sesamemodel.Lost)
	})
	t.Run("a keeper that took over waits a whole lease", func(t *testing.T) {
		is := is.New(t)
		row := empty.WithKeeper("e0").WithTarget(announced("w1", "i1").Announce)
		b := NewBook("e1", testLease, testMargin)
		b.Want(sesamemodel.Cell{
			ID: testCell,
		})
		taken := start.Add(time.Hour)
		row = flush(b, taken, row)
		is.Equal(row.Epoch, uint64(2))
		b.Sweep(taken.Add(testLease))
		is.Equal(len(b.Pending()), 0)
		b.Sweep(taken.Add(testLease + testMargin + 1))
		is.Equal(len(b.Pending()), 1)
	})
	t.Run("a leaving target is marked at its next heartbeat", func(t *testing.T) {
		is := is.New(t)
		b := NewBook("e1", testLease, testMargin)
		b.Heartbeat(start, announced("w1", "i1"))
		row := flush(b, start, empty)
		beat := announced("w1", "i1")
		beat.Leaving = true
		b.Heartbeat(start.Add(time.Second), beat)
		row = flush(b, start, row)
		assertHealth(is, row, "w1", sesamemodel.Leaving)
	})
	t.Run("a quarantined target stays so when it announces itself", func(t *testing.T) {
		is := is.New(t)
		b := NewBook("e1", testLease, testMargin)
		b.Heartbeat(start, announced("w1", "i1"))
		row := flush(b, start, empty)
		target, _ := row.Target("w1")
		target.Health = sesamemodel.Quarantined
		target.ConsecutiveQuarantines = 1
		row = row.WithTarget(target)
		b.Heartbeat(start, announced("w1", "i2"))
		row = flush(b, start, row)
		assertHealth(is, row, "w1", sesamemodel.Quarantined)
		is.Equal(len(b.Pending()), 0)
	})
	t.Run("a quarantined target is released after its probation", func(t *testing.T) {
		is := is.New(t)
		b := NewBook("e1", testLease, testMargin)
		b.Heartbeat(start, announced("w1", "i1"))
		row := flush(b, start, empty)
		target, _ := row.Target("w1")
		target.Health = sesamemodel.Quarantined
		target.ConsecutiveQuarantines = 1
		row = row.WithTarget(target)
		b.Committed(start, row)
		b.Sweep(start)
		end := start.Add(sesameplanner.QuarantineDuration(1))
		for now := start; now.Before(end); now = now.Add(testLease) {
			b.Heartbeat(now, announced("w1", "i1"))
			b.Sweep(now)
			row = flush(b, now, row)
			assertHealth(is, row, "w1", sesamemodel.Quarantined)
		}
		b.Heartbeat(end, announced("w1", "i1"))
		b.Sweep(end)
		row = flush(b, end, row)
		assertHealth(is, row, "w1", sesamemodel.Ready)
	})
	t.Run("a lost target is forgotten once nothing is allocated there", func(t *testing.T) {
		is := is.New(t)
		b := NewBook("e1", testLease, testMargin)
		b.Heartbeat(start, announced("w1", "i1"))
		row := flush(b, start, empty)
		row = row.WithAllocations(sesamemodel.Allocation{
			Job:     "j1",
			Attempt: 1,
			Target:  "w1",
		})
		late := start.Add(testLease + testMargin + 1)
		b.Sweep(late)
		row = flush(b, late, row)
		b.Sweep(start.Add(2 * forgetAfter))
		row = flush(b, late, row)
		is.Equal(len(row.Targets), 1)
		row = row.WithoutAttempt("j1", 1, "")
		b.Sweep(start.Add(2 * forgetAfter))
		row = flush(b, late, row)
		is.Equal(len(row.Targets), 0)
	})
}

// TestLeaseBeforeLost proves that a keeper never calls a target lost while a
// lease that it granted may still be relied on, whatever the order of
// heartbeats, sweeps, writes and take-overs by two keepers.
func TestLeaseBeforeLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		row := sesamemodel.Cell{
			ID: testCell,
		}
		books := []*Book{
			NewBook("e1", testLease, testMargin),
			NewBook("e2", testLease, testMargin),
		}
		var until time.Time // the end of the newest lease, on the agent's side
		var epoch uint64    // the newest epoch that the agent has heard of
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeat": func(t *rapid.T) {
				b := books[rapid.IntRange(0, 1).Draw(t, "keeper")]
				sent := now
				g := b.Heartbeat(now, announced("w1", "i1"))
				if g.Lease > 0 && g.Epoch >= epoch {
					epoch = g.Epoch
					until = sent.Add(g.Lease)
				}
			},
			"flush": func(t *rapid.T) {
				b := books[rapid.IntRange(0, 1).Draw(t, "keeper")]
				b.Sweep(now)
				before := row
				row = flush(b, now, row)
				if row.Epoch > before.Epoch {
					epoch = row.Epoch // Adopt reaches the agent
				}
				target, ok := row.Target("w1")
				was, _ := before.Target("w1")
				if ok && target.Health == sesamemodel.Lost && was.Health != sesamemodel.Lost {
					is.True(!now.Before(until)) // called lost under a live lease
				}
			},
		})
	})
}
