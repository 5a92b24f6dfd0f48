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

// virtualClock returns the fake clock of synctest inside a test that runs in a
// bubble, and the real clock outside.
func virtualClock() sesameclock.Clock {
	return sesameclock.Wrap(clockwork.NewRealClock())
}

// refusingStore is a store that refuses commits while refuses is set, and
// counts them in calls.
type refusingStore struct {
	*sesamerows.Memory
	refuses bool
	calls   int
}

// Commit fails with an *UnavailableError while refuses is set.
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

// Relay returns the only relay for every number.
func (w singleRelay) Relay(int) sesamerows.Store {
	return w.Store
}

// failoverWorld holds two processes that use one store; the first process has
// the second as its relay.
type failoverWorld struct {
	// first and second are the store as the two processes reach it directly.
	first, second *refusingStore
	// failover is that of the first process, other that of the second.
	failover, other *sesamerows.FailoverStore
	// changes are the first process's changes of blocked, in order.
	changes []bool
}

// newFailoverWorld returns two processes that reach the store.
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

// write makes one commit of the first process.
func (w *failoverWorld) write(t *testing.T) error {
	_, err := w.failover.Commit(t.Context(), sesamerows.Transaction{
		Writes: []sesamerows.Write{{
			Key: fenceKey,
		}},
	})
	return err
}

// TestFailoverStore checks that a process which the store refuses commits
// through a relay and returns to direct calls afterwards; that a relay passes
// on no calls while the store refuses it too, so that a store that serves
// nobody gets no extra calls; and that a process without relays uses the store
// again as soon as it answers.
func TestFailoverStore(t *testing.T) {
	t.Run("the store refuses one process", func(t *testing.T) {
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
			is.True(served >= 37) // all but failuresToTrip (2) and one probe
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
			// A failed call of its own makes the relay refuse calls of others.
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
	t.Run("a cancelled probe leaves calls with the relay", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newFailoverWorld()
			w.first.refuses = true
			is.True(w.write(t) != nil)
			is.True(w.write(t) != nil)
			time.Sleep(3 * time.Second) // the next call is the probe
			cancelled, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := w.failover.Commit(cancelled, sesamerows.Transaction{})
			is.True(err != nil)
			is.Equal(w.changes, []bool{true})
			is.NoErr(w.write(t))
		})
	})
	t.Run("there is no relay", func(t *testing.T) {
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
