package sesamerows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// virtualClock is the clock of the test's bubble.
func virtualClock() sesameclock.Clock {
	return sesameclock.Wrap(clockwork.NewRealClock())
}

// refusingStore is a store that can turn its caller away.
type refusingStore struct {
	*sesamerows.Memory
	refuses bool
	calls   int
}

// Commit refuses while the store is shut.
func (s *refusingStore) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	s.calls++
	if s.refuses {
		return 0, &sesamerows.UnavailableError{
			Operation: "commit",
			Cause:     &answerLostError{},
		}
	}
	return s.Memory.Commit(ctx, t)
}

// singleRelay is a list of one relay.
type singleRelay struct {
	sesamerows.Store
}

// Relay returns the only one.
func (w singleRelay) Relay(int) sesamerows.Store {
	return w.Store
}

// failoverWorld is two processes at one store, of which the first uses the
// second.
type failoverWorld struct {
	first, second   *refusingStore
	failover, other *sesamerows.FailoverStore
	changes         []bool
}

func newFailoverWorld() *failoverWorld {
	memory := sesamerows.NewMemory(virtualClock())
	w := &failoverWorld{
		first:  &refusingStore{Memory: memory},
		second: &refusingStore{Memory: memory},
	}
	w.other = sesamerows.NewFailoverStore(w.second, singleRelay{}, virtualClock(), func(bool, error) {})
	w.failover = sesamerows.NewFailoverStore(w.first, singleRelay{Store: w.other.Direct()}, virtualClock(), func(blocked bool, _ error) {
		w.changes = append(w.changes, blocked)
	})
	return w
}

func (w *failoverWorld) write(t *testing.T) error {
	_, err := w.failover.Commit(t.Context(), sesamerows.Transaction{
		Writes: []sesamerows.Write{{
			Key: fenceKey,
		}},
	})
	return err
}

// TestFailoverStore checks that a process that the store turns away goes on through
// another one, and comes back; and that a store that serves nobody is not
// asked more often for it.
func TestFailoverStore(t *testing.T) {
	t.Run("the store turns one process away", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newFailoverWorld()
			is.NoErr(w.write(t))
			w.first.refuses = true
			served := 0
			for range 40 {
				if w.write(t) == nil {
					served++
				}
				time.Sleep(100 * time.Millisecond)
			}
			is.True(served >= 37) // all but two failures and a probe
			w.first.refuses = false
			time.Sleep(10 * time.Second)
			is.NoErr(w.write(t))
			is.Equal(w.changes, []bool{true, false})
			before := w.second.calls
			is.NoErr(w.write(t))
			is.Equal(w.second.calls, before)
		})
	})
	t.Run("the store serves nobody", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newFailoverWorld()
			w.first.refuses = true
			w.second.refuses = true
			// The other process has noticed by its own calls.
			_, err := w.other.Commit(t.Context(), sesamerows.Transaction{})
			is.True(err != nil)
			before := w.second.calls
			for range 40 {
				is.True(w.write(t) != nil)
				time.Sleep(100 * time.Millisecond)
			}
			is.Equal(w.second.calls, before)
		})
	})
	t.Run("there is no other process", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newFailoverWorld()
			w.failover = sesamerows.NewFailoverStore(w.first, sesamerows.NewRelays(sesamerows.RelayOptions{}), virtualClock(), func(bool, error) {})
			w.first.refuses = true
			is.True(w.write(t) != nil)
			is.True(w.write(t) != nil)
			w.first.refuses = false
			is.NoErr(w.write(t))
		})
	})
}
