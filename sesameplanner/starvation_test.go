package sesameplanner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// floodStep is the simulated time between two rounds.
const floodStep = time.Minute

// flood keeps two racks busy with small jobs while a gang that needs a whole
// rack waits.
type flood struct {
	planner *Planner
	// ends holds the real end of each running job.
	ends map[sesamemodel.JobID]time.Time
	// longestRunTime is the longest declared run time so far.
	longestRunTime time.Duration
	count          int
}

// submit queues a random number of small jobs.
func (f *flood) submit(t *rapid.T, now time.Time) {
	for range rapid.IntRange(2, 8).Draw(t, "jobs") {
		f.count++
		j := newJob(fmt.Sprintf("s%05d", f.count), "flood", 1, rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "accelerators"), "")
		j.Submitted = now
		j.Spec.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
		j.Spec.RunTime = time.Duration(rapid.IntRange(5, 60).Draw(t, "minutes")) * time.Minute
		f.longestRunTime = max(f.longestRunTime, j.Spec.RunTime)
		f.planner.SetJob(j)
	}
}

// step ends the jobs that are due, plans a round and starts what it placed; it
// reports whether the gang was placed. Jobs run up to four times as long as
// declared.
func (f *flood) step(t *rapid.T, now time.Time) bool {
	for id, end := range f.ends {
		if !end.After(now) {
			f.release(id)
			f.planner.RemoveJob(id)
		}
	}
	for _, d := range f.planner.Plan(now, 1000) {
		for _, v := range d.Victims {
			f.release(v.ID)
			f.planner.SetJob(v.WithRequeue(now, ""))
		}
		if d.Job.ID == "gang" {
			return true
		}
		overrun := rapid.IntRange(1, 4).Draw(t, "overrun")
		f.ends[d.Job.ID] = now.Add(time.Duration(overrun) * d.Job.Spec.RunTime)
	}
	return false
}

// release removes the allocations of a job.
func (f *flood) release(id sesamemodel.JobID) {
	delete(f.ends, id)
	job := f.planner.jobs[id].job
	for _, cell := range job.Cells() {
		f.planner.SetCell(f.planner.cells.get(cell).cell.WithoutAttempt(id, job.Attempt, ""))
	}
}

// TestNoStarvation checks the bound of docs/design/order.md: a job that may
// borrow and fits the platform starts within ReserveAfter plus twice the
// longest expected run time of the work in its way, plus one step; the test
// allows two.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contracts := []sesamemodel.Contract{newContract("flood", 100, 100), newContract("rare", 1, 100)}
		f := &flood{
			planner: newPlanner([]sesamemodel.Cell{newCell("a", "z1", 6, gpuWorker)}, contracts),
			ends:    map[sesamemodel.JobID]time.Time{},
		}
		now := startTime
		for range 30 {
			f.submit(t, now)
			f.step(t, now)
			now = now.Add(floodStep)
		}
		gang := newJob("gang", "rare", 3, 8, sesamemodel.SpanRack)
		gang.Submitted = now
		f.planner.SetJob(gang)
		for !f.step(t, now) {
			bound := DefaultReserveAfter + 2*f.longestRunTime + 2*floodStep
			if waited := now.Sub(gang.Submitted); waited > bound {
				t.Fatalf("job gang waits %v, bound %v: %s", waited, bound, f.planner.Why("gang"))
			}
			f.submit(t, now)
			now = now.Add(floodStep)
		}
	})
}
