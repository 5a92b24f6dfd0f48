package sesametable_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametable"
)

// TestRateLimit checks that no second has more calls than the settings allow,
// and that most of the rate can be used.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := sesamestandin.NewStore(clockwork.NewRealClock())
		store.SetFaults(sesamestandin.Faults{
			Latency: time.Millisecond,
		})
		table := newTable(store, sesamesettings.Platform{
			CallTimeout:     2 * time.Second,
			ReadsPerSecond:  400,
			WritesPerSecond: 60,
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var group errgroup.Group
		for range 8 {
			group.Go(func() error {
				for ctx.Err() == nil {
					_, _ = table.Get(ctx, "a")
				}
				return nil
			})
		}
		_ = group.Wait()
		is.True(store.Counters().PeakReads <= 400)
		is.True(store.Counters().Reads >= 3000)
	})
}

// TestSlowStart checks that a client makes at most half of its 400 allowed
// reads in the first second after an outage, and at least 340 of them after
// five more seconds.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := sesamestandin.NewStore(clockwork.NewRealClock())
		table := newTable(store, sesamesettings.Platform{
			CallTimeout:     2 * time.Second,
			ReadsPerSecond:  400,
			WritesPerSecond: 60,
		})
		store.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		for servedReads(t, table, time.Millisecond) > 0 || store.Counters().Reads < 5 {
			advance(time.Millisecond)
		}
		store.SetFaults(sesamestandin.Faults{
			Latency: time.Millisecond,
		})
		for servedReads(t, table, time.Millisecond) == 0 {
			advance(time.Millisecond)
		}
		is.True(servedReads(t, table, time.Second) <= 200)
		advance(5 * time.Second)
		is.True(servedReads(t, table, time.Second) >= 340)
	})
}

// servedReads reads one after the other for the time d, until a read fails, and
// returns how many were served.
func servedReads(t *testing.T, table sesametable.Table, d time.Duration) int {
	t.Helper()
	served := 0
	for start := time.Now(); time.Since(start) < d; {
		if _, err := table.Scan(t.Context(), "x/", "", 1); err != nil {
			return served
		}
		served++
	}
	return served
}

// TestEmptyCommit checks that a transaction without rows is refused before the
// rate limits count it.
func TestEmptyCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(sesamestandin.NewStore(clockwork.NewRealClock()), sesamesettings.Platform{
			CallTimeout:     2 * time.Second,
			ReadsPerSecond:  400,
			WritesPerSecond: 60,
		})
		var invalid *sesametable.InvalidError
		is.New(t).True(errors.As(table.Commit(t.Context(), sesametable.Transaction{}), &invalid))
	})
}
