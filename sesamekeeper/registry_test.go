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

// announcement returns the heartbeat by which a target registers.
func announcement(id, incarnation string) Heartbeat {
	return Heartbeat{
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

// writePending applies the registry's pending changes to the row, as a flush does.
func writePending(r *Registry, now time.Time, row sesamemodel.Cell) sesamemodel.Cell {
	for range r.PendingCells() {
		row, _ = r.NextRow(row)
		r.Committed(now, row)
	}
	return row
}

// assertHealth checks that the row has the target in that state of health.
func assertHealth(is *is.I, row sesamemodel.Cell, id string, want sesamemodel.Health) {
	is.Helper()
	target, ok := row.Target(sesamemodel.TargetID(id))
	is.True(ok)
	is.Equal(target.Health, want)
}

// TestRegistry checks when the registry grants leases, and how targets become
// lost, leaving, released and removed.
func TestRegistry(t *testing.T) {
	start := time.Unix(1000, 0)
	empty := sesamemodel.Cell{
		ID: testCell,
	}
	t.Run("grants nothing before the row is written", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry("e1", testLease, testMargin)
		is.Equal(r.Heartbeat(start, announcement("w1", "i1")).Lease, time.Duration(0))
		row := writePending(r, start, empty)
		is.Equal(row.Keeper, "e1")
		is.Equal(row.Epoch, uint64(1))
		is.Equal(r.Heartbeat(start, announcement("w1", "i1")).Lease, testLease)
	})
	t.Run("marks a silent target lost after the lease and the margin", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry("e1", testLease, testMargin)
		r.Heartbeat(start, announcement("w1", "i1"))
		row := writePending(r, start, empty)
		r.Sweep(start.Add(testLease + testMargin))
		row = writePending(r, start, row)
		assertHealth(is, row, "w1", sesamemodel.Ready)
		r.Sweep(start.Add(testLease + testMargin + 1))
		row = writePending(r, start, row)
		assertHealth(is, row, "w1", sesamemodel.Lost)
	})
	t.Run("a keeper that took over waits a whole lease", func(t *testing.T) {
		is := is.New(t)
		row := empty.WithKeeper("e0").WithTarget(announcement("w1", "i1").Announce)
		r := NewRegistry("e1", testLease, testMargin)
		r.TakeOver(sesamemodel.Cell{
			ID: testCell,
		})
		taken := start.Add(time.Hour)
		row = writePending(r, taken, row)
		is.Equal(row.Epoch, uint64(2))
		r.Sweep(taken.Add(testLease))
		is.Equal(len(r.PendingCells()), 0)
		r.Sweep(taken.Add(testLease + testMargin + 1))
		is.Equal(len(r.PendingCells()), 1)
	})
	t.Run("a leaving target is marked as leaving at its next heartbeat", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry("e1", testLease, testMargin)
		r.Heartbeat(start, announcement("w1", "i1"))
		row := writePending(r, start, empty)
		beat := announcement("w1", "i1")
		beat.Leaving = true
		r.Heartbeat(start.Add(time.Second), beat)
		row = writePending(r, start, row)
		assertHealth(is, row, "w1", sesamemodel.Leaving)
	})
	t.Run("a quarantined target stays quarantined when it registers again", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry("e1", testLease, testMargin)
		r.Heartbeat(start, announcement("w1", "i1"))
		row := writePending(r, start, empty)
		target, _ := row.Target("w1")
		target.Health = sesamemodel.Quarantined
		target.ConsecutiveQuarantines = 1
		row = row.WithTarget(target)
		r.Heartbeat(start, announcement("w1", "i2"))
		row = writePending(r, start, row)
		assertHealth(is, row, "w1", sesamemodel.Quarantined)
		is.Equal(len(r.PendingCells()), 0)
	})
	t.Run("a quarantined target is released when the quarantine has lasted long enough", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry("e1", testLease, testMargin)
		r.Heartbeat(start, announcement("w1", "i1"))
		row := writePending(r, start, empty)
		target, _ := row.Target("w1")
		target.Health = sesamemodel.Quarantined
		target.ConsecutiveQuarantines = 1
		row = row.WithTarget(target)
		r.Committed(start, row)
		r.Sweep(start)
		end := start.Add(sesameplanner.QuarantineDuration(1))
		for now := start; now.Before(end); now = now.Add(testLease) {
			r.Heartbeat(now, announcement("w1", "i1"))
			r.Sweep(now)
			row = writePending(r, now, row)
			assertHealth(is, row, "w1", sesamemodel.Quarantined)
		}
		r.Heartbeat(end, announcement("w1", "i1"))
		r.Sweep(end)
		row = writePending(r, end, row)
		assertHealth(is, row, "w1", sesamemodel.Ready)
	})
	t.Run("a lost target is removed from the row once nothing is allocated on it", func(t *testing.T) {
		is := is.New(t)
		r := NewRegistry("e1", testLease, testMargin)
		r.Heartbeat(start, announcement("w1", "i1"))
		row := writePending(r, start, empty)
		row = row.WithAllocations(sesamemodel.Allocation{
			Job:     "j1",
			Attempt: 1,
			Target:  "w1",
		})
		late := start.Add(testLease + testMargin + 1)
		r.Sweep(late)
		row = writePending(r, late, row)
		r.Sweep(start.Add(2 * forgetAfter))
		row = writePending(r, late, row)
		is.Equal(len(row.Targets), 1)
		row = row.WithoutAttempt("j1", 1, "")
		r.Sweep(start.Add(2 * forgetAfter))
		row = writePending(r, late, row)
		is.Equal(len(row.Targets), 0)
	})
}

// TestLeaseBeforeLost checks that no target is marked lost while its agent may
// still rely on a lease, whatever the order of heartbeats, sweeps, writes and
// take-overs by two keepers.
func TestLeaseBeforeLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		row := sesamemodel.Cell{
			ID: testCell,
		}
		registries := []*Registry{
			NewRegistry("e1", testLease, testMargin),
			NewRegistry("e2", testLease, testMargin),
		}
		var until time.Time // the end of the newest lease, on the agent's side
		var epoch uint64    // the newest epoch that the agent knows
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"heartbeat": func(t *rapid.T) {
				r := registries[rapid.IntRange(0, 1).Draw(t, "keeper")]
				sent := now
				g := r.Heartbeat(now, announcement("w1", "i1"))
				if g.Lease > 0 && g.Epoch >= epoch {
					epoch = g.Epoch
					until = sent.Add(g.Lease)
				}
			},
			"flush": func(t *rapid.T) {
				r := registries[rapid.IntRange(0, 1).Draw(t, "keeper")]
				r.Sweep(now)
				before := row
				row = writePending(r, now, row)
				if row.Epoch > before.Epoch {
					epoch = row.Epoch // Adopt reaches the agent
				}
				target, ok := row.Target("w1")
				was, _ := before.Target("w1")
				if ok && target.Health == sesamemodel.Lost && was.Health != sesamemodel.Lost {
					is.True(!now.Before(until)) // marked lost while its lease is valid
				}
			},
		})
	})
}
