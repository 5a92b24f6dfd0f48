package sesamedispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// pickyRows is a store that refuses, as such, each transaction that writes or
// removes a row with a certain text in its key.
type pickyRows struct {
	*sesamerows.Memory
	text string
}

// Commit implements sesamerows.Store.
func (p *pickyRows) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	keys := t.Removes
	for _, w := range t.Writes {
		keys = append(keys, w.Key)
	}
	for _, key := range keys {
		if p.text != "" && strings.Contains(key.String(), p.text) {
			return 0, &sesamerows.RejectedError{
				Operation: "commit",
				Cause: &sesamerows.LimitError{
					Subject: key.String(),
				},
			}
		}
	}
	return p.Memory.Commit(ctx, t)
}

// newPickyFixture begins a term on a store that refuses rows with the text in
// their keys.
func newPickyFixture(t *testing.T, text string, rows ...sesamerows.Row) (*termFixture, *pickyRows) {
	f := newTermFixture(t, rows...)
	store := &pickyRows{
		Memory: f.memory,
		text:   text,
	}
	f.replacePlanner(store)
	return f, store
}

// runsOf returns the number of the newest run of the job's task.
func (f *termFixture) runsOf(job string) int {
	f.t.Helper()
	return f.unit(job).run.Number
}

// TestRefusedStart guards against a start that the store refuses as such and that
// ends the planning of all other jobs, term after term.
func TestRefusedStart(t *testing.T) {
	const jobs = 6
	rows := []sesamerows.Row{}
	for i := range jobs {
		rows = append(rows, targetRow(newTarget(fmt.Sprint("target-", i)), 0), jobFillingTarget(fmt.Sprint("job-", i), 1))
	}
	f, store := newPickyFixture(t, sesamework.RunKey(sesamework.UnitID{Job: "job-3"}, "zone").String(), rows...)
	f.decide(1)
	t.Run("the other jobs start", func(t *testing.T) {
		for i := range jobs {
			expected := 1
			if i == 3 {
				expected = 0
			}
			is.New(t).Equal(f.runsOf(fmt.Sprint("job-", i)), expected)
		}
	})
	t.Run("the job is not shown as running", func(t *testing.T) {
		is.New(t).Equal(f.term.view.jobs["job-3"].published, sesamework.JobQueued)
		is.New(t).Equal(f.term.view.jobs["job-0"].published, sesamework.JobRunning)
	})
	t.Run("it is left out for a while", func(t *testing.T) {
		store.text = ""
		f.feedTargets(jobs)
		f.decide(1)
		is.New(t).Equal(f.runsOf("job-3"), 0)
	})
	t.Run("and then tried again", func(t *testing.T) {
		f.clock.Advance(firstRejectedPause)
		f.feedTargets(jobs)
		f.decide(1)
		is.New(t).Equal(f.runsOf("job-3"), 1)
		is.New(t).Equal(f.term.view.jobs["job-3"].published, sesamework.JobRunning)
	})
}

// feedTargets lets that many targets report.
func (f *termFixture) feedTargets(targets int) {
	f.t.Helper()
	for i := range targets {
		f.writeAndFeed(targetRow(newTarget(fmt.Sprint("target-", i)), 0))
	}
}

// TestOtherRefusedWrites guards against writes other than starts that the store
// refuses as such and that end the planning of all jobs.
func TestOtherRefusedWrites(t *testing.T) {
	left, other := newTarget("left"), newTarget("other")
	for _, c := range []struct {
		name string
		// refused is a text in the key of the refused row, and trouble what leads
		// to that write.
		refused string
		trouble func(*termFixture)
	}{
		{
			name:    "a stop",
			refused: sesamework.RunKey(sesamework.UnitID{Job: "first"}, "zone").String(),
			trouble: func(f *termFixture) {
				f.term.view.jobs["first"].cancelled = true
			},
		},
		{
			name:    "a state",
			refused: sesamework.StateKey(sesamework.PlanPart, "first").String(),
			trouble: func(f *termFixture) {
				f.writeAndFeed(endRow("first", 1, left, sesamework.EndDone))
			},
		},
		{
			name:    "a target that is gone",
			refused: "left",
			trouble: func(f *termFixture) {
				f.clock.Advance(sesamework.TargetLostTimeout)
				f.writeAndFeed(targetRow(other, 0))
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, store := newPickyFixture(t, "", targetRow(left, 0), jobFillingTarget("first", 1))
			f.decide(2)
			is.New(t).Equal(f.runsOf("first"), 1)
			store.text = c.refused
			c.trouble(f)
			f.writeAndFeed(jobFillingTarget("second", 1), targetRow(other, 0))
			f.decide(2)
			is.New(t).Equal(f.runsOf("second"), 1)
		})
	}
}

// TestWideGangOverTakeOver spreads a gang over more targets than one row holds, and
// lets another planner read the run: all rows of an earlier run must go with the
// next one, or agents would start it again.
func TestWideGangOverTakeOver(t *testing.T) {
	const tasks = 1024
	rows := []sesamerows.Row{gangOnTargets("gang", tasks)}
	for i := range tasks {
		rows = append(rows, targetRow(newTarget(fmt.Sprintf("target-with-a-long-name-%04d", i)), 0))
	}
	f := newTermFixture(t, rows...)
	id := sesamework.UnitID{Job: "gang", Index: sesamework.GangIndex}
	f.decide(1)
	f.is.Equal(f.runRows(), len(f.term.view.units[id].rows))
	f.is.True(f.runRows() > 1)

	f.takeOverAgain()
	u := f.term.view.units[id]
	f.is.Equal(len(u.members), tasks)
	f.is.Equal(f.runRows(), len(u.rows))

	for i := range u.members {
		u.members[i].outcome = sesamework.EndStopped
	}
	u.step.Count = 1
	f.decide(1)
	f.is.Equal(u.run.Number, 2)
	f.is.Equal(f.runRows(), 1)
}

// gangOnTargets returns the row of a job whose one gang has that many tasks, each
// on a target of its own.
func gangOnTargets(id string, tasks int) sesamerows.Row {
	row := jobFillingTarget(id, 1)
	row.Value = encode(sesamework.Job{
		ID: id,
		Terms: sesamework.Terms{
			Service:  "service",
			Attempts: 3,
			Stretch:  3,
		},
		Steps: []sesamework.Step{{
			Count: tasks,
			Need: sesamework.Resources{
				Accelerators: 8,
			},
			Estimate: 5000,
			Gang:     true,
		}},
	})
	return row
}

// runRows returns the number of rows of runs in the store.
func (f *termFixture) runRows() int {
	f.t.Helper()
	page, err := sesamerows.ReadAll(f.t.Context(), f.memory, sesamerows.Range{
		Table: sesamework.RunTable("zone"),
		Part:  sesamework.PlanPart,
	})
	f.is.NoErr(err)
	return len(page.Rows)
}
