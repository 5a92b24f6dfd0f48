package sesamedispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// commitCounter is a store that counts the commits, and those among them that write
// or remove the summary.
type commitCounter struct {
	sesamerows.Store
	commits int
	writes  int
	removes int
}

// Commit passes the transaction on.
func (c *commitCounter) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	c.commits++
	for _, w := range t.Writes {
		if w.Key == sesamework.SummaryKey() {
			c.writes++
		}
	}
	if slices.Contains(t.Removes, sesamework.SummaryKey()) {
		c.removes++
	}
	return c.Store.Commit(ctx, t)
}

// summaryQueue is the policy's only queue in these tests, with the terms of
// jobFillingTarget.
func summaryQueue() *sesamework.Policy {
	return &sesamework.Policy{
		Queues: []sesamework.Queue{{
			Name: "queue",
			Terms: sesamework.Terms{
				Service:  "service",
				Priority: 1,
				Stretch:  3,
			},
		}},
	}
}

// newSummaryFixture begins a term with one target and that many jobs of 5 s, each of
// which fills it, whose objective is 15 s.
func newSummaryFixture(t *testing.T, jobs int, byValue bool) (*termFixture, *commitCounter) {
	rows := []sesamerows.Row{targetRow(newTarget("a"), 0)}
	for i := range jobs {
		rows = append(rows, withStep(jobFillingTarget(fmt.Sprint("job-", i), 1), func(j *sesamework.Job, _ *sesamework.Step) {
			j.Queue = "queue"
			j.Accepted = 0
		}))
	}
	f := newTermFixture(t, rows...)
	counter := &commitCounter{
		Store: f.memory,
	}
	f.replacePlanner(counter)
	f.term.view.SetPolicy(summaryQueue())
	f.term.view.byValue = byValue
	counter.commits = 0
	return f, counter
}

// summary returns the summary in the store, nil if there is none.
func (f *termFixture) summary() *sesamework.Summary {
	f.t.Helper()
	row, _, err := sesamerows.ReadRow(f.t.Context(), f.memory, sesamework.SummaryKey())
	f.is.NoErr(err)
	if row.Version == 0 || row.Removed {
		return nil
	}
	var s sesamework.Summary
	f.is.NoErr(json.Unmarshal(row.Value, &s))
	return &s
}

// planFor lets the planner decide each 100 ms for that long.
func (f *termFixture) planFor(d time.Duration) {
	f.t.Helper()
	for range d / tick {
		f.decide(1)
		f.clock.Advance(tick)
	}
}

// TestSummary guards against calls or rows that a calm day doesn't need, against a
// summary that is missing or old while jobs could earn nothing, and against one that
// stays when that is over or its planner has ended.
func TestSummary(t *testing.T) {
	t.Run("calm", func(t *testing.T) {
		f, counter := newSummaryFixture(t, 3, true)
		f.planFor(3 * time.Second)
		f.is.Equal(counter.writes+counter.removes, 0)
		calm := counter.commits
		f, counter = newSummaryFixture(t, 3, false)
		f.planFor(3 * time.Second)
		f.is.Equal(counter.commits, calm)
	})
	t.Run("by order", func(t *testing.T) {
		f, _ := newSummaryFixture(t, 40, false)
		f.planFor(3 * time.Second)
		f.is.Equal(f.summary(), nil)
	})
	t.Run("backlog", func(t *testing.T) {
		f, counter := newSummaryFixture(t, 40, false)
		f.planFor(3 * time.Second)
		calls := counter.commits
		f, counter = newSummaryFixture(t, 40, true)
		f.planFor(3 * time.Second)
		f.is.Equal(counter.commits, calls) // it is written with other transactions
		s := f.summary()
		f.is.True(s != nil)
		// 39 jobs of 64 core-seconds a second wait for 128 cores.
		f.is.Equal(s.Queues["queue"], sesamework.QueueLoad{
			Wait:  39 * 5000 / 2,
			Least: 5000,
			Usual: 5000,
		})
		f.is.True(f.term.storeClock.Now().Milliseconds()-s.At <= 2000)
		for _, j := range f.term.view.jobs {
			j.cancelled = true
		}
		f.planFor(4 * time.Second)
		f.is.Equal(f.summary(), nil)
		f.is.True(counter.writes <= 3) // at most once a second
		f.is.Equal(counter.removes, 1)
	})
	t.Run("planner ends", func(t *testing.T) {
		f, _ := newSummaryFixture(t, 40, true)
		f.planFor(time.Second)
		f.is.True(f.summary() != nil)
		f.takeOverAgain() // by order
		f.planFor(2 * time.Second)
		f.is.Equal(f.summary(), nil)
	})
	wide := withStep(jobFillingTarget("wide", 1), func(j *sesamework.Job, s *sesamework.Step) {
		s.Count = 1 << 16
		j.Steps = slices.Repeat([]sesamework.Step{*s}, 8)
	})
	t.Run("many tasks that wait", func(t *testing.T) {
		f, _ := newSummaryFixture(t, 0, false)
		f.writeAndFeed(wide)
		f.planFor(time.Second)
		f.is.Equal(f.summary(), nil) // others must not be turned away for them
	})
	t.Run("many units", func(t *testing.T) {
		f, _ := newSummaryFixture(t, 0, false)
		f.term.view.maxUnits = 20
		f.writeAndFeed(wide)
		f.planFor(time.Second)
		s := f.summary()
		f.is.True(s != nil)
		f.is.Equal(s.Bound, 20)
		f.is.Equal(s.Units, 6+8+1) // the job with its steps, the first unit of each and one that runs
		f.is.Equal(len(s.Queues), 0)
	})
}
