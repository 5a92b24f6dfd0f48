package sesamedispatch

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// panickingRows is a store whose client panics at each transaction that removes rows
// while it is broken.
type panickingRows struct {
	*sesamerows.Memory
	broken bool
}

// Commit implements sesamerows.Store.
func (p *panickingRows) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	if p.broken && len(t.Removes) > 0 {
		panic("no removal")
	}
	return p.Memory.Commit(ctx, t)
}

// planAgain lets the process of the present term take over from itself.
func (f *termFixture) planAgain() {
	f.t.Helper()
	planner := f.term.Planner
	f.term.stepDown()
	absent, err := planner.isLeaderAbsent(f.t.Context())
	f.is.NoErr(err)
	f.is.True(absent)
	f.term, err = planner.takeOver(f.t.Context())
	f.is.NoErr(err)
}

// TestPanicInUpkeep guards against rows whose removal ends all entries, one after the
// other: a panic in it ends the term alone, and the process goes on planning.
func TestPanicInUpkeep(t *testing.T) {
	f := newTermFixture(t, jobWithSteps("first", 8), targetRow(newTarget("a"), 0))
	store := &panickingRows{
		Memory: f.memory,
		broken: true,
	}
	f.replacePlanner(store)
	f.term.o.HeldEnds = 1
	f.decide(1)
	newRunner(f).end(isDone)
	f.followOnce()
	var failure *UpkeepError
	f.is.True(errors.As(f.term.decideAndWrite(t.Context()), &failure))
	f.is.Equal(failure.Value, "no removal")
	f.is.True(strings.Contains(failure.Frames[0], "panickingRows"))

	f.planAgain()
	f.writeAndFeed(jobWithSteps("second", 1))
	f.decide(2)
	f.is.Equal(f.runsOf("second"), 1)
	f.is.Equal(f.term.view.jobs["first"].published, sesamework.JobCompleted)

	store.broken = false
	f.clock.Advance(upkeepPause)
	f.decide(2)
	f.is.Equal(len(f.term.view.ends), 0)
}
