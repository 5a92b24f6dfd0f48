package sesamestandin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	testShrinkGrace = 4500 * time.Millisecond
	testLease       = time.Minute
)

// startedAfter starts a task of 2 cores on a target of 2 cores that shrinks to
// 1, at that time after the shrinking. It returns how many violations that is.
func startedAfter(t *testing.T, elapsed time.Duration, late bool) int {
	t.Helper()
	clock := clockwork.NewRealClock()
	fleet := NewFleet(FleetOptions{
		Clock: clock,
		Lookup: func(sesamework.TaskID) (FleetTask, bool) {
			return FleetTask{
				Step: sesamework.Step{
					Count: 1,
					Need: sesamework.Resources{
						Cores: 2000,
					},
				},
				Duration: time.Minute,
			}, true
		},
		MaxLease:    testLease,
		ShrinkGrace: testShrinkGrace,
	})
	target := fleet.Add("target", 1, sesamework.Resources{
		Cores: 2000,
	})
	target.SetCapacity(sesamework.Resources{
		Cores: 1000,
	})
	clock.Sleep(elapsed)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if late {
		target.SetLostOrders(func() (time.Duration, bool) {
			cancel()
			return 0, true
		})
	}
	_, err := target.Start(ctx, sesamerunner.Order{
		Run:        1,
		AgentEpoch: 1,
		LeaseEnd:   testLease,
	})
	is.New(t).Equal(err != nil, late)
	synctest.Wait()
	is.New(t).Equal(fleet.Starts(), 1)
	return len(fleet.Violations())
}

// TestStartOnShrunkTarget checks from when on a start beyond a capacity that has
// shrunk is a violation, and that one carried out late is none.
func TestStartOnShrunkTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.Equal(startedAfter(t, testShrinkGrace, false), 0)
		is.Equal(startedAfter(t, testShrinkGrace+time.Millisecond, false), 1)
		is.Equal(startedAfter(t, testShrinkGrace+time.Millisecond, true), 0)
	})
}
