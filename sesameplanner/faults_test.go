package sesameplanner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// TestFailuresAndQuarantine checks when a failed job is retried and when a
// target is quarantined.
func TestFailuresAndQuarantine(t *testing.T) {
	contract := newContract("a", 1, 100)
	on := func(names ...sesamemodel.TargetID) []sesamemodel.TargetID { return names }
	t.Run("a job that fails maxFailures times ends as failed, with the reason", func(t *testing.T) {
		is := is.New(t)
		job := newJob("j", "a", 1, 1, "")
		limit := RetryLimit{
			Contract: contract,
			Budget:   NewRetryBudget(),
		}
		for i := range maxFailures {
			is.Equal(job.State, sesamemodel.Queued)
			job = RetryOrFail(startTime, job, on(sesamemodel.TargetID(fmt.Sprint("w", i))), "exit 1", limit)
		}
		is.Equal(job.State, sesamemodel.Failed)
		is.Equal(job.Reason, "failed 3 times, on [w0 w1 w2]: exit 1")
	})
	t.Run("a job that must run at most once is not retried", func(t *testing.T) {
		is := is.New(t)
		job := newJob("j", "a", 1, 1, "")
		job.Spec.AtMostOnce = true
		job = RetryOrFail(startTime, job, on("w0"), "exit 1", RetryLimit{
			Contract: contract,
			Budget:   NewRetryBudget(),
		})
		is.Equal(job.State, sesamemodel.Failed)
	})
	t.Run("retries are limited by the team's budget", func(t *testing.T) {
		is := is.New(t)
		budget := NewRetryBudget()
		contract := newContract("a", 1, 100)
		contract.Limits.RetriesPerHour = 2
		limit := RetryLimit{
			Contract: contract,
			Budget:   budget,
			Entries:  1,
		}
		for range 2 {
			is.True(budget.Spend(startTime, contract, 1))
		}
		is.True(!budget.Spend(startTime, contract, 1))
		is.True(budget.Spend(startTime.Add(31*time.Minute), contract, 1))
		job := RetryOrFail(startTime.Add(31*time.Minute), newJob("j", "a", 1, 1, ""), on("w0"), "exit 1", limit)
		is.True(strings.Contains(job.Reason, "the 2 retries an hour"))
	})
	t.Run("entries share the team's budget", func(t *testing.T) {
		is := is.New(t)
		contract := newContract("a", 1, 100)
		contract.Limits.RetriesPerHour = 12
		const entries = 4
		spent := 0
		for range entries {
			budget := NewRetryBudget()
			for budget.Spend(startTime, contract, entries) {
				spent++
			}
		}
		is.Equal(spent, contract.Limits.RetriesPerHour)
	})
	t.Run("two suspect failures quarantine a target, each time for longer", func(t *testing.T) {
		is := is.New(t)
		cell := newCell("a", "z1", 6, gpuWorker)
		bad := cell.Targets[0].ID
		job := newJob("j", "a", 1, 1, "")
		job.Avoid = on(bad)
		job.Assignments = []sesamemodel.Assignment{{Target: cell.Targets[1].ID}}
		health := func() sesamemodel.Target {
			target, _ := cell.Target(bad)
			return target
		}
		cell = UpdateSuspectFailures(cell, job)
		is.Equal(health().Health, sesamemodel.Ready)
		cell = UpdateSuspectFailures(cell, job)
		is.Equal(health().Health, sesamemodel.Quarantined)
		is.Equal(QuarantineDuration(health().ConsecutiveQuarantines), firstQuarantine)
		cell = UpdateSuspectFailures(cell.WithTarget(EndQuarantine(health())), job)
		is.Equal(health().Health, sesamemodel.Quarantined)
		is.Equal(QuarantineDuration(health().ConsecutiveQuarantines), 2*firstQuarantine)
		is.Equal(QuarantineDuration(100), maxQuarantine)
	})
	t.Run("at most a quarter of a cell is quarantined", func(t *testing.T) {
		is := is.New(t)
		cell := newCell("a", "z1", 8, gpuWorker)
		job := newJob("j", "a", 1, 1, "")
		for _, target := range cell.Targets {
			job.Avoid = append(job.Avoid, target.ID)
		}
		cell = UpdateSuspectFailures(UpdateSuspectFailures(cell, job), job)
		quarantined := 0
		for _, target := range cell.Targets {
			if target.Health == sesamemodel.Quarantined {
				quarantined++
			}
		}
		is.Equal(quarantined, 2)
	})
}

// TestSuspicion checks that a target is suspended after failures of several
// classes, so that a faulty target is avoided but broken jobs of one class
// cannot suspend a healthy one.
func TestSuspicion(t *testing.T) {
	cells := []sesamemodel.Cell{newCell("a", "z1", 6, gpuWorker)}
	contracts := []sesamemodel.Contract{newContract("a", 1, 100), newContract("b", 1, 100)}
	bad := cells[0].Targets[0].ID
	fail := func(p *Planner, id, team string, failures int) {
		job := newJob(id, team, 1, 1, "")
		job.Failures = failures
		p.RecordFailure(startTime, job, []sesamemodel.TargetID{bad})
	}
	t.Run("failures of two classes suspend a target", func(t *testing.T) {
		is := is.New(t)
		p := newPlanner(cells, contracts)
		fail(p, "j", "a", 1)
		fail(p, "k", "b", 1)
		is.True(p.suspended(bad, startTime))
		is.True(!p.suspended(bad, startTime.Add(firstSuspension)))
	})
	for workers, suspended := range map[int]bool{1: false, 2: true, 3: true} {
		t.Run(fmt.Sprintf("failures of two classes on one of %d workers", workers), func(t *testing.T) {
			is := is.New(t)
			p := newPlanner([]sesamemodel.Cell{newCell("a", "z1", workers, gpuWorker)}, contracts)
			fail(p, "j", "a", 1)
			fail(p, "k", "b", 1)
			is.Equal(p.suspended(bad, startTime), suspended)
		})
	}
	t.Run("failures of a single class suspend no target", func(t *testing.T) {
		is := is.New(t)
		p := newPlanner(cells, contracts)
		for i := range 10 {
			fail(p, fmt.Sprint("j", i), "a", 1)
		}
		is.True(!p.suspended(bad, startTime))
	})
	t.Run("a second failure of the same job clears the targets it failed on", func(t *testing.T) {
		is := is.New(t)
		p := newPlanner(cells, contracts)
		fail(p, "j", "a", 1)
		job := newJob("j", "a", 1, 1, "")
		job.Failures = 2
		job.Avoid = []sesamemodel.TargetID{bad, "other"}
		p.RecordFailure(startTime, job, []sesamemodel.TargetID{"other"})
		is.Equal(p.failedClasses(bad), 0)
	})
}

// TestObserve checks that observations correct the run times and sizes of a
// class.
func TestObserve(t *testing.T) {
	p := newPlanner(nil, nil)
	spec := newJob("j", "a", 1, 1, "").Spec
	t.Run("run times are corrected by those of the class", func(t *testing.T) {
		is := is.New(t)
		is.Equal(p.expectedRunTime(spec, typicalQuantile), time.Hour)
		for range minObservations {
			p.Observe(Observation{
				Spec:    spec,
				RunTime: 3 * time.Hour,
				Used:    sesamemodel.Resources{Cores: 10, Memory: 500},
			})
		}
		is.Equal(p.expectedRunTime(spec, typicalQuantile), 3*time.Hour)
		spec.RunTime = 0
		is.Equal(p.expectedRunTime(spec, typicalQuantile), 3*time.Hour)
	})
	t.Run("sizes grow up to maxGrowth and never shrink", func(t *testing.T) {
		is := is.New(t)
		is.Equal(p.correctedTask(spec).Cores, int(maxGrowth)*spec.Task.Cores)
		is.Equal(p.correctedTask(spec).Memory, spec.Task.Memory)
	})
}

// TestCancellationWave checks that cancelling many jobs takes time proportional
// to their number: they are only marked as dequeued, and one pass over the
// queue removes them all, instead of one pass for each.
func TestCancellationWave(t *testing.T) {
	is := is.New(t)
	const wave = 10000
	p := newPlanner(nil, []sesamemodel.Contract{newContract("a", 1, 100)})
	for i := range wave {
		p.SetJob(newJob(fmt.Sprintf("j%05d", i), "a", 1, 1, ""))
	}
	for i := range wave * 3 / 4 {
		p.RemoveJob(sesamemodel.JobID(fmt.Sprintf("j%05d", i)))
	}
	is.Equal(p.ensureTeam("a").waitingJobs(), wave/4)
	is.Equal(len(p.ensureTeam("a").queue), wave) // only marked as dequeued
	p.Plan(startTime, 1)
	is.Equal(len(p.ensureTeam("a").queue), wave/4) // removed in one pass
}

// TestAvoidedTargets checks that a job is placed on a target it should avoid if
// no other target could ever take it, since it would otherwise wait for ever.
func TestAvoidedTargets(t *testing.T) {
	is := is.New(t)
	job := newJob("j", "a", 1, 8, "")
	job.Avoid = []sesamemodel.TargetID{"a-w00"}
	p := newPlanner([]sesamemodel.Cell{newCell("a", "z1", 1, gpuWorker)}, []sesamemodel.Contract{newContract("a", 1, 100)}, job)
	is.Equal(len(p.Plan(startTime, 1)), 1) // no other target could ever take it
}
