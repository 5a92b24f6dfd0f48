package sesamerunner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamework"
)

// crash returns the crash in the target's row, nil without one.
func (w *world) crash() *sesamework.Crash {
	row, _, err := sesamerows.ReadRow(w.ctx, w.memory, targetKey())
	w.is.NoErr(err)
	return w.targetOf(row).Crash
}

// TestCrashAfterRefusedStart crashes a target that has refused the only start. The
// run was never there, so the crash is no evidence about it.
func TestCrashAfterRefusedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Minute)
		w.target.setRefuse(func(sesamerunner.Order) error {
			return &sesamerunner.UnavailableError{}
		})
		w.order(0)
		w.sleep(100 * time.Millisecond)
		w.target.CrashProcess()
		w.sleep(time.Second)
		crash := w.crash()
		w.is.True(crash != nil)
		w.is.Equal(len(crash.Runs), 0)
	})
}

// TestCrashOfGivenUpTarget crashes a target while the agent can't reach the store,
// so that the planner gives the target up before the crash is reported. The row
// must tell of the crash as soon as the agent reaches the store again.
func TestCrashOfGivenUpTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Minute)
		w.order(0)
		w.sleep(time.Second)
		w.refuseWrites()
		w.target.CrashProcess()
		w.sleep(500 * time.Millisecond)
		w.giveUp()
		w.store.SetFault(nil)
		w.sleep(settleTime)
		w.is.True(w.crash() != nil)
	})
}

// TestStartOnCrashedTarget orders a run on a target that has crashed, before a
// renewal has shown that. The run was never there, so the crash is no evidence
// about it.
func TestStartOnCrashedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 100*time.Millisecond, time.Minute)
		w.slowWrites()
		w.order(0)
		w.sleep(150 * time.Millisecond)
		w.target.CrashProcess()
		w.order(1)
		w.sleep(2 * time.Second)
		crash := w.crash()
		w.is.True(crash != nil)
		w.is.Equal(len(crash.Runs), 0)
	})
}
