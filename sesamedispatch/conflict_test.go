package sesamedispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// termFixture is the term of a planner whose feed stands still: its view holds
// the rows that the store had at the beginning, unless the test passes it more.
type termFixture struct {
	t      *testing.T
	is     *is.I
	memory *sesamerows.Memory
	clock  *clockwork.FakeClock
	term   *term
}

// fixedPolicies are Policies that never change.
type fixedPolicies struct{}

func (fixedPolicies) Current() *sesamework.Policy { return nil }

func (fixedPolicies) Changed() <-chan struct{} { return nil }

// newTermFixture begins a term on a store with the rows.
func newTermFixture(t *testing.T, rows ...sesamerows.Row) *termFixture {
	f := &termFixture{
		t:     t,
		is:    is.New(t),
		clock: clockwork.NewFakeClock(),
	}
	steady := sesameclock.Wrap(f.clock)
	f.memory = sesamerows.NewMemory(steady)
	f.write(rows...)
	planner := NewPlanner(Options{
		Name:     "entry",
		Store:    f.memory,
		Policies: fixedPolicies{},
		Clock:    steady,
		Log:      sesamelog.Discard(),
		Scope:    tally.NoopScope,
	})
	absent, err := planner.isLeaderAbsent(t.Context())
	f.is.NoErr(err)
	f.is.True(absent)
	f.term, err = planner.takeOver(t.Context())
	f.is.NoErr(err)
	return f
}

// write writes rows to the store, of jobs together with their states.
func (f *termFixture) write(rows ...sesamerows.Row) {
	f.t.Helper()
	for _, row := range rows {
		writes := []sesamerows.Write{{
			Key:   row.Key,
			Value: row.Value,
		}}
		if id := row.Key.Name[len(sesamework.JobPrefix):]; row.Key == sesamework.JobKey(id) {
			writes = append(writes, sesamerows.Write{
				Key:   sesamework.StateKey(sesamework.EntryPart(id), id),
				Value: []byte(`{"s":"queued"}`),
			})
		}
		_, err := f.memory.Commit(f.t.Context(), sesamerows.Transaction{
			Writes: writes,
		})
		f.is.NoErr(err)
	}
}

// decide lets the planner take and write that many decisions.
func (f *termFixture) decide(decisions int) {
	f.t.Helper()
	for range decisions {
		f.is.NoErr(f.term.decideAndWrite(f.t.Context()))
	}
}

// targetState returns the state of the target in the store.
func (f *termFixture) targetState(target sesamework.Target) sesamework.TargetState {
	f.t.Helper()
	row, _, err := sesamerows.ReadRow(f.t.Context(), f.memory, targetRow(target, 0).Key)
	f.is.NoErr(err)
	v := NewView(sesamelog.Discard())
	v.setTarget("", row)
	return v.targets[row.Key.Name].State
}

// TestCancelNotSeenYet cancels a job that is about to be started, while the feed
// has not brought that yet. Its transaction also starts another job, which must
// not wait for the feed.
func TestCancelNotSeenYet(t *testing.T) {
	f := newTermFixture(t,
		jobFillingTarget("cancelled", 1), jobFillingTarget("other", 1),
		targetRow(newTarget("a"), 0), targetRow(newTarget("b"), 0))
	f.write(sesamerows.Row{
		Key:   sesamework.CancelKey("cancelled"),
		Value: []byte("{}"),
	})
	f.decide(2)
	for id, u := range f.term.view.units {
		f.is.Equal(u.isActive(), id.Job == "other")
	}
	f.is.Equal(f.term.view.jobs["cancelled"].published, sesamework.JobCancelled)
}

// TestReportsOfLostTargets marks many targets as gone that the platform has
// removed, while their agents go on reporting them as silent, and the feed has
// not brought the latest reports yet. One decision must do, since each next one
// would meet newer reports again.
func TestReportsOfLostTargets(t *testing.T) {
	const targets = 3*maxGoneTargets + 1
	var rows []sesamerows.Row
	silent := map[string]sesamework.Target{}
	for i := range targets {
		target := newTarget(fmt.Sprintf("t%02d", i))
		target.SilentFor = 2000
		silent[target.ID] = target
		rows = append(rows, targetRow(target, 0))
	}
	f := newTermFixture(t, rows...)
	f.term.view.now = f.term.now()
	f.applyInventory()
	f.write(rows...)
	f.decide(1)
	for _, target := range silent {
		f.is.Equal(f.targetState(target), sesamework.TargetGone)
	}
}

// TestAnsweringTargetIsNotLost checks that a target that the inventory lacked
// and that answers its agent again is not given up.
func TestAnsweringTargetIsNotLost(t *testing.T) {
	target := newTarget("a")
	target.SilentFor = 2000
	f := newTermFixture(t, targetRow(target, 0))
	f.term.view.now = f.term.now()
	f.applyInventory()
	target.SilentFor = 0
	f.write(targetRow(target, 0))
	f.decide(2)
	f.is.Equal(f.targetState(target), sesamework.TargetReady)
}

// TestLaggingFeed checks that all batches that have come are applied before the
// next decision.
func TestLaggingFeed(t *testing.T) {
	f := newTermFixture(t)
	const batches = 5
	feed := make(chan sesamerows.Batch, batches)
	for i := range batches {
		feed <- sesamerows.Batch{
			Rows: []sesamerows.Row{jobFillingTarget(fmt.Sprint("job", i), 1)},
			Now:  f.term.now().Store,
		}
	}
	f.is.NoErr(f.term.wait(t.Context(), feed))
	f.is.Equal(len(f.term.view.jobs), batches)
}

// TestHistoryLost checks that a planner whose feed no longer has its changes
// goes on as the leader with a view read anew, and that a job which was swept
// meanwhile does not come back.
func TestHistoryLost(t *testing.T) {
	f := newTermFixture(t, jobFillingTarget("old", 1), targetRow(newTarget("a"), 0))
	f.decide(1)
	running := f.term.view.units[sesamework.UnitID{Job: "old"}]
	f.is.True(running.isActive())
	name := targetRow(newTarget("a"), 0).Key.Name
	f.term.view.targets[name].quarantine(f.term.now().Steady)

	f.write(jobFillingTarget("new", 1), jobFillingTarget("swept", 1))
	snapshot, err := sesamerows.NewFollower(f.memory, sesamerows.FollowOptions{
		Table: sesamework.WorkTable,
	}).Next(t.Context())
	f.is.NoErr(err)
	_, err = f.memory.Commit(t.Context(), sesamerows.Transaction{
		Removes: []sesamerows.Key{
			sesamework.JobKey("swept"),
			sesamework.StateKey(sesamework.EntryPart("swept"), "swept"),
		},
	})
	f.is.NoErr(err)
	f.clock.Advance(time.Second)
	needsDecision, err := f.term.apply(t.Context(), snapshot)
	f.is.NoErr(err)
	f.is.True(needsDecision)
	f.is.Equal(len(f.term.view.jobs), 2)
	rebuilt := f.term.view.units[sesamework.UnitID{Job: "old"}]
	f.is.True(rebuilt != running)
	f.is.True(rebuilt.isActive())
	f.is.Equal(rebuilt.orderedAt, running.orderedAt)
	f.is.True(f.term.view.targets[name].quarantinedUntil > f.term.now().Steady)
	f.decide(1) // still the leader
}
