package sesamedispatch_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// runs reports whether the newest run of the job's first task is on the node's
// target.
func (n *nodeProcess) runs(job string) bool {
	var r sesamework.Run
	row, _, err := sesamerows.ReadRow(n.w.ctx, n.w.store, sesamework.RunKey(sesamework.UnitID{
		Job: job,
	}, n.zone))
	if err != nil || row.Version == 0 || json.Unmarshal(row.Value, &r) != nil {
		return false
	}
	return r.Members[0].Target == sesamework.TargetKey(n.zone, n.name, n.currentTarget().ID()).Name
}

// TestSuspectBesideLastingTasks crashes the target of a task that has just been
// started, while each other target runs a small task that lasts. The task must
// run again, since most of their room is free.
func TestSuspectBesideLastingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2, 3)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("lasting", sesamework.Step{
			Count:        3,
			Need:         accelerators(1),
			Estimate:     time.Hour.Milliseconds(),
			LongRunning:  true,
			MaxPerTarget: 1,
		}, time.Hour), "normal", "key-a", 0)
		w.sleep(5 * time.Second)
		a := newClientJob("innocent", plainStep(2, 4*time.Second), 4*time.Second)
		w.submit(a, "normal", "key-a", 0)
		w.sleep(300 * time.Millisecond)
		is.Equal(w.fleet.Starts(), 4)
		crashed := false
		for _, n := range w.nodes {
			if n.runs("innocent") {
				n.setDown(true)
				n.currentTarget().CrashProcess()
				crashed = true
			}
		}
		is.True(crashed)
		w.sleep(30 * time.Second)
		is.Equal(w.state("innocent"), sesamework.JobCompleted)
	})
}

// TestTargetWithoutReports stops the reports of a target that goes on answering
// its agent. Jobs must run nevertheless, since another target has room.
func TestTargetWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 2)
		w.sleep(3 * time.Second)
		w.mu.Lock()
		w.nodes[0].reportsNothing = true
		w.mu.Unlock()
		w.sleep(4 * time.Second)
		for _, id := range []string{"first", "second"} {
			w.submit(newClientJob(id, plainStep(8, 3*time.Second), 3*time.Second), "normal", "key-a", 0)
		}
		assertPromisesKept(t, w, time.Minute)
	})
}
