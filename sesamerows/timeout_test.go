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

// slowStore applies each commit after a delay, and does not answer the first
// ones.
type slowStore struct {
	*sesamerows.Memory
	// latency is the time that a commit takes.
	latency time.Duration
	// unanswered is how many commits, from the first on, get no answer.
	unanswered int
	// commits counts the calls of Commit.
	commits int
}

// Commit applies the transaction after the latency, or when ctx ends, as a
// store does whose caller has given up. Without an answer it waits for the end
// of ctx.
func (h *slowStore) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	h.commits++
	unanswered := h.commits <= h.unanswered
	select {
	case <-time.After(h.latency):
	case <-ctx.Done():
	}
	version, err := h.Memory.Commit(context.WithoutCancel(ctx), t)
	if unanswered {
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

// newSlowStore returns an empty store with the latency, whose first unanswered
// commits get no answer.
func newSlowStore(latency time.Duration, unanswered int) *slowStore {
	return &slowStore{
		Memory:     sesamerows.NewMemory(virtualClock()),
		latency:    latency,
		unanswered: unanswered,
	}
}

// TestAdaptiveTimeout checks that a commit whose answer is lost is repeated
// within a second, and that a commit is not repeated while the store is 60
// times as slow as the platform's usual 8 ms.
func TestAdaptiveTimeout(t *testing.T) {
	const slow = 480 * time.Millisecond
	for _, c := range []struct {
		name    string
		store   *slowStore
		within  time.Duration
		commits int
	}{
		{name: "an answer is lost", store: newSlowStore(0, 1), within: time.Second, commits: 2},
		{name: "the store is slow", store: newSlowStore(slow, 0), within: slow, commits: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				started := time.Now()
				fence := sesamerows.NewFence(sesamerows.NewAdaptiveTimeoutStore(c.store, virtualClock()), fenceKey)
				is.NoErr(fence.Take(t.Context(), 0, []byte("value")))
				is.Equal(c.store.commits, c.commits)
				is.True(time.Since(started) <= c.within)
			})
		})
	}
}

// TestObserve checks that a commit whose answer never comes succeeds within a
// second, and without being repeated, once the feed of changes has shown the
// fence's value.
func TestObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newSlowStore(0, 1000)
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
