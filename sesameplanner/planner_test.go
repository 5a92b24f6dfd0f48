package sesameplanner

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// TestPlan checks single decisions: placement, preemption and refusal.
func TestPlan(t *testing.T) {
	full := shape(1, 8, sesamemodel.SpanWorker)
	t.Run("places a gang within its rack", func(t *testing.T) {
		is := is.New(t)
		p := newPlanner([]sesamemodel.Cell{newCell("a", "z1", 6, gpuWorker)}, []sesamemodel.Contract{newContract("a", 1, 100)},
			newJob("j", "a", 24, 1, sesamemodel.SpanRack))
		d := p.Plan(startTime, 10)
		is.Equal(len(d), 1)
		is.Equal(d[0].Action, Place)
		is.Equal(len(d[0].Job.Assignments), 3)
		is.Equal(d[0].Job.Assignments[0].Incarnation, "first")
		assertConsistent(t, p)
	})
	t.Run("preempts a borrower on a guaranteed worker", func(t *testing.T) {
		is := is.New(t)
		contracts := []sesamemodel.Contract{newContract("a", 1, 100), newContract("b", 1, 0, full)}
		cells := mustAdmit(t, contracts, []sesamemodel.Cell{newCell("a", "z1", 3, gpuWorker)})
		p := newPlanner(cells, contracts, newJob("j", "a", 24, 1, sesamemodel.SpanRack))
		is.Equal(len(p.Plan(startTime, 10)), 1)
		p.SetJob(newJob("k", "b", 1, 8, sesamemodel.SpanWorker))
		d := p.Plan(startTime, 10)
		is.Equal(len(d), 1)
		is.True(d[0].Job.Owed)
		is.Equal(len(d[0].Victims), 1)
		is.Equal(d[0].Victims[0].State, sesamemodel.Stopping)
		is.Equal(d[0].Victims[0].Next, sesamemodel.Queued)
		is.Equal(len(d[0].Cells[0].Allocations), 3) // the job's and two of the victim's, still stopping
		assertConsistent(t, p)
	})
	t.Run("does not place non-preemptible work on guaranteed capacity", func(t *testing.T) {
		is := is.New(t)
		contracts := []sesamemodel.Contract{newContract("a", 1, 100), newContract("b", 1, 0, full)}
		cells := mustAdmit(t, contracts, []sesamemodel.Cell{newCell("a", "z1", 1, gpuWorker)})
		job := newJob("j", "a", 1, 1, "")
		job.Spec.AtMostOnce = true
		job.Spec.Checkpoints = false
		p := newPlanner(cells, contracts, job)
		is.Equal(len(p.Plan(startTime, 10)), 0)
		is.True(strings.Contains(p.Why("j"), "no room"))
		assertReclaimable(t, p)
	})
	t.Run("refuses jobs that can never run, with the reason", func(t *testing.T) {
		is := is.New(t)
		wide := newJob("wide", "a", 25, 1, sesamemodel.SpanRack)
		stranger := newJob("stranger", "x", 1, 1, "")
		classless := newJob("classless", "a", 1, 1, "")
		classless.Spec.Class = "none"
		p := newPlanner([]sesamemodel.Cell{newCell("a", "z1", 6, gpuWorker)}, []sesamemodel.Contract{newContract("a", 1, 100)},
			wide, stranger, classless)
		d := p.Plan(startTime, 10)
		is.Equal(len(d), 3)
		for _, decision := range d {
			is.Equal(decision.Action, Refuse)
			is.Equal(decision.Job.State, sesamemodel.Refused)
		}
		is.Equal(d[2].Job.Reason, `25 tasks of 1 accelerators, 1 cores and 1000 MiB within one rack do not fit even if all targets were idle`)
	})
}

// TestAdmit checks how guaranteed shapes are assigned to cells, and refused.
func TestAdmit(t *testing.T) {
	t.Run("splits a shape over cells of one zone", func(t *testing.T) {
		is := is.New(t)
		contracts := []sesamemodel.Contract{newContract("a", 1, 0, shape(9, 8, sesamemodel.SpanZone))}
		cells := mustAdmit(t, contracts, []sesamemodel.Cell{newCell("a", "z1", 6, gpuWorker), newCell("b", "z1", 6, gpuWorker)})
		is.Equal(cells[0].Guarantees[0].Shape.Workers+cells[1].Guarantees[0].Shape.Workers, 9)
		again, err := Admit(contracts, cells)
		is.NoErr(err)
		is.Equal(len(again), 0) // assignments are kept
		p := newPlanner(cells, contracts, newJob("j", "a", 9, 8, sesamemodel.SpanZone))
		d := p.Plan(startTime, 1)
		is.Equal(len(d), 1)
		is.True(d[0].Job.Owed)
	})
	t.Run("refuses shapes that do not fit together", func(t *testing.T) {
		is := is.New(t)
		contracts := []sesamemodel.Contract{
			newContract("a", 1, 0, shape(3, 8, sesamemodel.SpanRack)),
			newContract("b", 1, 0, shape(2, 8, sesamemodel.SpanRack)),
		}
		_, err := Admit(contracts, []sesamemodel.Cell{newCell("a", "z1", 4, gpuWorker)})
		var noRoom *NoRoomError
		is.True(errors.As(err, &noRoom))
		is.Equal(noRoom.Team, sesamemodel.TeamID("b"))
	})
	t.Run("moves a shape whose workers were lost", func(t *testing.T) {
		is := is.New(t)
		contracts := []sesamemodel.Contract{newContract("a", 1, 0, shape(2, 8, sesamemodel.SpanRack))}
		cells := mustAdmit(t, contracts, []sesamemodel.Cell{newCell("a", "z1", 2, gpuWorker), newCell("b", "z1", 3, gpuWorker)})
		is.Equal(len(cells[0].Guarantees), 1)
		cells[0].Targets[0].Health = sesamemodel.Lost
		cells = mustAdmit(t, contracts, cells)
		is.Equal(len(cells[0].Guarantees), 0)
		is.Equal(len(cells[1].Guarantees), 1)
	})
}
