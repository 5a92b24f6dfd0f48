package sesamerows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// silentStore is a store whose calls for changes fail while silent is set.
type silentStore struct {
	*sesamerows.Memory
	silent bool
}

// Changes fails with an *UnavailableError while silent is set.
func (s *silentStore) Changes(ctx context.Context, table string, after sesamerows.Version, wait time.Duration) (sesamerows.Page, error) {
	if s.silent {
		return sesamerows.Page{}, &sesamerows.UnavailableError{
			Operation: "changes",
			Cause:     &answerLostError{},
		}
	}
	return s.Memory.Changes(ctx, table, after, wait)
}

// TestFollowerAfterFailure checks that a follower learns at once that a store is
// back, also when nothing has changed, and that it waits for changes otherwise.
func TestFollowerAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const wait = time.Second
		store := &silentStore{
			Memory: sesamerows.NewMemory(virtualClock()),
		}
		f := sesamerows.NewFollower(store, sesamerows.FollowOptions{
			Table: "table",
			Wait:  wait,
		})
		_, err := f.Next(t.Context())
		is.NoErr(err)
		store.silent = true
		_, err = f.Next(t.Context())
		is.True(err != nil)
		store.silent = false
		started := time.Now()
		_, err = f.Next(t.Context())
		is.NoErr(err)
		is.Equal(time.Since(started), time.Duration(0))
		_, err = f.Next(t.Context())
		is.NoErr(err)
		is.Equal(time.Since(started), wait)
	})
}
