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

// lossyStore applies commits before, after or without an answer, as drawn.
type lossyStore struct {
	*sesamerows.Memory
	nextFate func() string
	// late are transactions that take effect before the next call.
	late []sesamerows.Transaction
}

type answerLostError struct{}

// Error says so.
func (e *answerLostError) Error() string {
	return "answer lost"
}

// Commit applies the transaction as drawn.
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

func (l *lossyStore) applyLate(ctx context.Context) {
	for _, t := range l.late {
		if _, err := l.Memory.Commit(ctx, t); err != nil {
			// Its conditions don't hold any more.
			continue
		}
	}
	l.late = nil
}

var fenceKey = sesamerows.Key{
	Table: "leader",
	Name:  "planner",
}

func rowKey(name string) sesamerows.Key {
	return sesamerows.Key{
		Table: "rows",
		Name:  name,
	}
}

// fencePlan is drawn before the calls are made.
type fencePlan struct {
	// Fates are those of the commits in their order, over and over.
	Fates []string
	// TakenOver says before which commits another process takes the fence.
	TakenOver []bool
}

func drawFencePlan(t *rapid.T) fencePlan {
	fates := rapid.SampledFrom([]string{"done", "done", "refused", "done, answer lost", "done late", "never done"})
	return fencePlan{
		Fates:     rapid.SliceOfN(fates, 5, 40).Draw(t, "fates"),
		TakenOver: rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(t, "taken over"),
	}
}

// fencePlans is how many plans TestFence plays.
const fencePlans = 300

// TestFence checks with lost, late and refused answers that a commit that was
// reported as done is done, and that one that was reported as lost or refused
// never takes effect, while processes take the fence from each other.
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

// takeOver makes another process the holder; nil when that fails.
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
			t.Fatalf("commit %s was done and is not there", name)
		case err != nil && !errors.As(err, &unknown) && present[name]:
			t.Fatalf("commit %s failed with %v and is there", name, err)
		}
	}
}

// TestFollower checks that a lost history is made up for by reading anew.
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
	next := func(whole bool, rows int) {
		t.Helper()
		batch, err := follower.Next(ctx)
		is.NoErr(err)
		is.Equal(batch.Snapshot, whole)
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
