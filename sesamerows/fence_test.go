package sesamerows_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// lossyStore is a store that refuses some commits and loses the answers of
// others, which take effect at once, later or never.
type lossyStore struct {
	*sesamerows.Memory
	// nextFate returns what happens to the next commit; see drawFencePlan.
	nextFate func() string
	// late are transactions whose answer was lost and that take effect before
	// the next commit.
	late []sesamerows.Transaction
}

// answerLostError is the cause of the errors that the test stores return.
type answerLostError struct{}

// Error returns a fixed text.
func (e *answerLostError) Error() string {
	return "answer lost"
}

// Commit applies, delays or drops the transaction as nextFate says.
func (l *lossyStore) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	l.applyLate(ctx)
	unknown := &sesamerows.UnknownError{
		Operation: "commit",
		Cause:     &answerLostError{},
	}
	switch l.nextFate() {
	case "refused":
		return 0, &sesamerows.UnavailableError{
			Operation: "commit",
			Cause:     &answerLostError{},
		}
	case "done, answer lost":
		if _, err := l.Memory.Commit(ctx, t); err != nil {
			return 0, unknown
		}
		return 0, unknown
	case "done late":
		l.late = append(l.late, t)
		return 0, unknown
	case "never done":
		return 0, unknown
	}
	return l.Memory.Commit(ctx, t)
}

// applyLate commits the late transactions.
func (l *lossyStore) applyLate(ctx context.Context) {
	for _, t := range l.late {
		if _, err := l.Memory.Commit(ctx, t); err != nil {
			// Its conditions no longer hold, so it never takes effect.
			continue
		}
	}
	l.late = nil
}

// fenceKey is the row of the fences under test.
var fenceKey = sesamerows.Key{
	Table: "leader",
	Name:  "planner",
}

// rowKey returns the key of a row that a test writes, with or without a fence.
func rowKey(name string) sesamerows.Key {
	return sesamerows.Key{
		Table: "rows",
		Name:  name,
	}
}

// fencePlan is one random sequence of faults and takeovers for TestFence.
type fencePlan struct {
	// Fates are what happens to the calls of Commit on the store, in their
	// order, repeated from the start when they run out.
	Fates []string
	// TakenOver has one element for each commit under the fence: true if
	// another process takes over the fence before it.
	TakenOver []bool
}

// drawFencePlan draws a plan; the fates are the cases of lossyStore.Commit.
func drawFencePlan(t *rapid.T) fencePlan {
	fates := rapid.SampledFrom([]string{"done", "done", "refused", "done, answer lost", "done late", "never done"})
	return fencePlan{
		Fates:     rapid.SliceOfN(fates, 5, 40).Draw(t, "fates"),
		TakenOver: rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(t, "taken over"),
	}
}

// fencePlans is the number of plans that TestFence runs.
const fencePlans = 300

// TestFence checks, while processes take over a fence from each other and
// commits are refused, lost or applied late, that a commit that was reported
// as successful has taken effect, and that one that was reported as refused or
// fenced off never does.
func TestFence(t *testing.T) {
	for seed := range fencePlans {
		plan := rapid.Custom(drawFencePlan).Example(seed)
		synctest.Test(t, func(t *testing.T) {
			runFencePlan(t, plan)
		})
		if t.Failed() {
			t.Fatalf("seed %d: %+v", seed, plan)
		}
	}
}

// runFencePlan makes one commit for each element of plan.TakenOver and checks
// their outcomes.
func runFencePlan(t *testing.T, plan fencePlan) {
	ctx := context.Background()
	memory := sesamerows.NewMemory(sesameclock.Wrap(clockwork.NewRealClock()))
	calls := 0
	store := &lossyStore{
		Memory: memory,
		nextFate: func() string {
			calls++
			return plan.Fates[calls%len(plan.Fates)]
		},
	}
	outcome := map[string]error{}
	var holder *sesamerows.Fence
	for i, taken := range plan.TakenOver {
		if holder == nil || taken {
			holder = takeOver(t, store)
		}
		if holder == nil {
			continue
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		name := fmt.Sprint(i)
		outcome[name] = holder.Commit(short, []byte("value"), sesamerows.Change{
			Writes: []sesamerows.Write{{
				Key: rowKey(name),
			}},
		})
		cancel()
		if outcome[name] != nil {
			holder = nil
		}
	}
	store.applyLate(ctx)
	assertOutcomes(t, memory, outcome)
}

// takeOver returns the fence of another process that has taken over, or nil if
// that fails.
func takeOver(t *testing.T, store *lossyStore) *sesamerows.Fence {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	page, err := store.Read(ctx, sesamerows.Range{
		Table: fenceKey.Table,
	})
	is.New(t).NoErr(err)
	var version sesamerows.Version
	if len(page.Rows) > 0 {
		version = page.Rows[0].Version
	}
	fence := sesamerows.NewFence(store, fenceKey)
	if err := fence.Take(ctx, version, []byte("value")); err != nil {
		return nil
	}
	return fence
}

// assertOutcomes checks the rows of successful and failed commits; outcome
// holds their errors by the name of the row. A commit with an *UnknownError
// may have written its row or not.
func assertOutcomes(t *testing.T, memory *sesamerows.Memory, outcome map[string]error) {
	page, err := memory.Read(context.Background(), sesamerows.Range{
		Table: "rows",
	})
	if err != nil {
		t.Fatal(err)
	}
	present := map[string]bool{}
	for _, row := range page.Rows {
		present[row.Key.Name] = true
	}
	for name, err := range outcome {
		var unknown *sesamerows.UnknownError
		switch {
		case err == nil && !present[name]:
			t.Fatalf("commit %s succeeded, but its row does not exist", name)
		case err != nil && !errors.As(err, &unknown) && present[name]:
			t.Fatalf("commit %s failed with %v, but its row exists", name, err)
		}
	}
}

// TestFollower checks the batches of a follower: a snapshot first, then only
// changes, and a new snapshot when the store no longer keeps the changes since
// the last batch.
func TestFollower(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	memory := sesamerows.NewMemory(sesameclock.Wrap(clockwork.NewRealClock()))
	write := func(name string) {
		_, err := memory.Commit(ctx, sesamerows.Transaction{
			Writes: []sesamerows.Write{{
				Key: rowKey(name),
			}},
		})
		is.NoErr(err)
	}
	write("a")
	follower := sesamerows.NewFollower(memory, sesamerows.FollowOptions{
		Table: "rows",
		Wait:  10 * time.Millisecond,
	})
	next := func(snapshot bool, rows int) {
		t.Helper()
		batch, err := follower.Next(ctx)
		is.NoErr(err)
		is.Equal(batch.Snapshot, snapshot)
		is.Equal(len(batch.Rows), rows)
	}
	next(true, 1)
	write("b")
	next(false, 1)
	next(false, 0)
	write("c")
	memory.DropHistory()
	next(true, 3)
	write("d")
	next(false, 1)
}
