package sesamerows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// hushed applies each commit after a while, and answers only some.
type hushed struct {
	*sesamerows.Memory
	takes   time.Duration
	silent  int
	commits int
}

// Commit applies the transaction; its answer may never come.
func (h *hushed) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	h.commits++
	silent := h.commits <= h.silent
	select {
	case <-time.After(h.takes):
	case <-ctx.Done():
	}
	version, err := h.Memory.Commit(context.WithoutCancel(ctx), t)
	if silent {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return 0, &sesamerows.UnknownError{
			Operation: "commit",
			Cause:     ctx.Err(),
		}
	}
	return version, err
}

func newHushed(takes time.Duration, silent int) *hushed {
	return &hushed{
		Memory: sesamerows.NewMemory(virtualClock()),
		takes:  takes,
		silent: silent,
	}
}

// TestPatience checks that a lost answer costs less than a second, and that a
// store 60 times as slow as the platform's 8 ms is not asked twice.
func TestPatience(t *testing.T) {
	const slow = 480 * time.Millisecond
	for _, c := range []struct {
		name    string
		store   *hushed
		within  time.Duration
		commits int
	}{
		{name: "an answer is lost", store: newHushed(0, 1), within: time.Second, commits: 2},
		{name: "the store is slow", store: newHushed(slow, 0), within: slow, commits: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				fence := sesamerows.NewFence(sesamerows.NewPatient(c.store, virtualClock()), fenceKey)
				is.NoErr(fence.Take(t.Context(), 0, []byte("value")))
				is.Equal(c.store.commits, c.commits)
				is.True(time.Since(started) <= c.within)
			})
		})
	}
}

// TestObserve checks that a feed which shows the fence's value settles a
// commit whose answer never comes.
func TestObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newHushed(0, 1000)
		fence := sesamerows.NewFence(store, fenceKey)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var group errgroup.Group
		group.Go(func() error {
			return fence.Take(ctx, 0, []byte("value"))
		})
		page, err := store.Changes(ctx, fenceKey.Table, 0, time.Minute)
		is.NoErr(err)
		for _, row := range page.Rows {
			fence.Observe(row)
		}
		started := time.Now()
		is.NoErr(group.Wait())
		is.True(time.Since(started) < time.Second)
		is.Equal(store.commits, 1)
		is.Equal(fence.Version(), page.Version)
	})
}
