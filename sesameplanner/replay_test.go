package sesameplanner

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

const (
	// startDelay is the time to prepare a gang; stopDelay is the grace period
	// of preempted jobs.
	startDelay = 500 * time.Millisecond
	stopDelay  = time.Second
	// failDelay is the time until a bad worker or a broken job fails.
	failDelay = 20 * time.Second
	// maxAttempts ends failing jobs under policies that do not handle failures.
	maxAttempts = 10
)

// event is something that happens at a time of a replay.
type event struct {
	at time.Time
	// sequence orders events at the same time.
	sequence int
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, k int) bool {
	if !a[i].at.Equal(a[k].at) {
		return a[i].at.Before(a[k].at)
	}
	return a[i].sequence < a[k].sequence
}

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// replayedJob is the state of one job in a replay.
type replayedJob struct {
	simulatedJob
	// savedProgress is the run time that checkpoints have saved.
	savedProgress time.Duration
	// started is when the latest attempt starts to run.
	started time.Time
	// owed is true if the team's guarantee covered the job when it was
	// submitted.
	owed bool
	// placedBefore is true once the job has been placed.
	placedBefore bool
}

// replay runs one day of work under one policy.
type replay struct {
	planner *Planner
	decide  policy
	// handleFailures enables retries, suspicion and quarantine of the planner.
	handleFailures bool
	contracts      map[sesamemodel.TeamID]sesamemodel.Contract
	jobs           map[sesamemodel.JobID]*replayedJob
	// bad holds the targets on which every task fails.
	bad    map[sesamemodel.TargetID]bool
	budget *RetryBudget
	// quarantined holds the targets whose release from quarantine is scheduled.
	quarantined map[sesamemodel.TargetID]bool
	now         time.Time
	events      eventQueue
	// count numbers the scheduled events.
	count int
	// openAccelerators is the sum that each team's open jobs need.
	openAccelerators map[sesamemodel.TeamID]int
	result           *result
}

// newReplay returns a replay with all submissions scheduled. If guaranteed, the
// contracts' guarantees are assigned to cells first.
func newReplay(d deployment, s scenario, works []simulatedJob, seed uint64, decide policy, o Options, guaranteed bool) *replay {
	cells := d.cells()
	contracts := d.contracts()
	if guaranteed {
		changed, err := Admit(contracts, cells)
		if err != nil {
			panic(err)
		}
		for _, c := range changed {
			at := slices.IndexFunc(cells, func(o sesamemodel.Cell) bool { return o.ID == c.ID })
			cells[at] = c
		}
	}
	r := &replay{
		planner:          New(o),
		decide:           decide,
		handleFailures:   guaranteed,
		contracts:        map[sesamemodel.TeamID]sesamemodel.Contract{},
		jobs:             map[sesamemodel.JobID]*replayedJob{},
		bad:              map[sesamemodel.TargetID]bool{},
		budget:           NewRetryBudget(),
		quarantined:      map[sesamemodel.TargetID]bool{},
		now:              startTime,
		openAccelerators: map[sesamemodel.TeamID]int{},
		result:           newResult(),
	}
	r.planner.SetContracts(contracts)
	for _, c := range contracts {
		r.contracts[c.Team] = c
	}
	random := rand.New(rand.NewPCG(seed, 2))
	for _, c := range cells {
		r.planner.SetCell(c)
		for _, t := range c.Targets {
			r.bad[t.ID] = random.Float64() < s.badWorkers
		}
	}
	if s.badWorkers > 0 {
		r.bad[cells[0].Targets[0].ID] = true
	}
	for _, w := range works {
		r.schedule(w.job.Submitted, func() { r.submit(w) })
	}
	return r
}

// schedule adds an event.
func (r *replay) schedule(t time.Time, do func()) {
	r.count++
	heap.Push(&r.events, event{
		at:       t,
		sequence: r.count,
		action:   do,
	})
}

// run plays all events in order. A planning round follows after all events of
// the same time.
func (r *replay) run() *result {
	for len(r.events) > 0 {
		next := r.events[0].at
		r.result.addFragmentation(r.planner, r.now, next)
		r.now = next
		for len(r.events) > 0 && r.events[0].at.Equal(next) {
			heap.Pop(&r.events).(event).action()
		}
		r.planAndApply()
	}
	r.result.left += len(r.jobs)
	return r.result
}

// submit queues a job and notes whether its team's guarantee covers it.
func (r *replay) submit(w simulatedJob) {
	team := w.job.Spec.Team
	need := w.job.Spec.TotalResources().Accelerators
	r.openAccelerators[team] += need
	r.jobs[w.job.ID] = &replayedJob{
		simulatedJob: w,
		owed:         r.openAccelerators[team] <= r.contracts[team].GuaranteedAccelerators() && coveredByShape(w.job.Spec, r.contracts[team]),
	}
	r.planner.SetJob(w.job)
	if w.cancelAt > 0 {
		r.schedule(startTime.Add(w.cancelAt), func() { r.cancel(w.job.ID) })
	}
}

// coveredByShape reports whether a guaranteed shape of the contract is large
// enough for the job.
func coveredByShape(s sesamemodel.Spec, c sesamemodel.Contract) bool {
	return slices.ContainsFunc(c.Guarantees, func(g sesamemodel.Shape) bool {
		return s.Tasks <= workerCount(g) && s.Task.Accelerators <= perWorker(g)
	})
}

// cancel ends a job that is still queued.
func (r *replay) cancel(id sesamemodel.JobID) {
	w, ok := r.jobs[id]
	if ok && w.job.State == sesamemodel.Queued {
		r.end(w, "")
	}
}

// end removes a job that has ended and records its completion under the class;
// with an empty class it is not recorded.
func (r *replay) end(w *replayedJob, class string) {
	r.openAccelerators[w.job.Spec.Team] -= w.job.Spec.TotalResources().Accelerators
	delete(r.jobs, w.job.ID)
	r.planner.RemoveJob(w.job.ID)
	if class != "" {
		r.result.addCompletion(class, r.now.Sub(w.job.Submitted))
	}
}

// planAndApply runs a planning round and carries out its decisions.
func (r *replay) planAndApply() {
	for _, d := range r.decide(r.planner, r.now) {
		for _, v := range d.Victims {
			r.stop(v)
		}
		w := r.jobs[d.Job.ID]
		w.job = d.Job
		switch d.Action {
		case Refuse:
			r.result.refused++
			r.end(w, "")
		case Place:
			r.start(w, len(d.Victims) > 0)
		}
	}
}

// stop preempts a job: progress since its last checkpoint is lost, and it is
// queued again after the grace period.
func (r *replay) stop(v sesamemodel.Job) {
	w := r.jobs[v.ID]
	if w.job.State == sesamemodel.Stopping {
		return
	}
	ran := max(r.now.Sub(w.started), 0)
	kept := time.Duration(0)
	if v.Spec.Checkpoints {
		kept = max(ran-checkpointLoss, 0)
	}
	w.savedProgress += kept
	r.result.stopped++
	r.result.lost += (ran - kept).Hours() * float64(v.Spec.TotalResources().Accelerators)
	w.job = v
	r.schedule(r.now.Add(stopDelay), func() {
		r.free(w.job)
		w.job = w.job.WithRequeue(r.now, "")
		r.planner.SetJob(w.job)
	})
}

// free removes the allocations of a job.
func (r *replay) free(j sesamemodel.Job) {
	for _, id := range j.Cells() {
		r.planner.SetCell(r.planner.cells.get(id).cell.WithoutAttempt(j.ID, j.Attempt, ""))
	}
}

// start starts an attempt of a job and schedules its success or failure. With
// reclaims it waits until the victims have stopped.
func (r *replay) start(w *replayedJob, reclaims bool) {
	delay := startDelay
	if reclaims {
		delay += stopDelay
	}
	w.started = r.now.Add(delay)
	if w.owed && !w.placedBefore {
		r.result.lateness = append(r.result.lateness, w.started.Sub(w.job.Submitted).Seconds())
	}
	w.placedBefore = true
	attempt := w.job.Attempt
	failing := w.broken || slices.ContainsFunc(w.job.Assignments, func(a sesamemodel.Assignment) bool {
		return r.bad[a.Target]
	})
	length := w.realRunTime - w.savedProgress
	if failing {
		length = failDelay
	}
	r.schedule(w.started.Add(length), func() {
		if r.jobs[w.job.ID] != w || w.job.Attempt != attempt || w.job.State != sesamemodel.Placed {
			return
		}
		r.free(w.job)
		if failing {
			r.fail(w)
			return
		}
		r.succeed(w, length)
	})
}

// succeed ends a job as done and tells the planner what it learns from that.
func (r *replay) succeed(w *replayedJob, length time.Duration) {
	if r.handleFailures {
		r.planner.RecordSuccess(w.job)
		r.planner.Observe(Observation{
			Spec:    w.job.Spec,
			RunTime: w.savedProgress + length,
		})
		for _, s := range r.planner.cells.byID {
			cell := UpdateSuspectFailures(s.cell, w.job)
			if !slices.EqualFunc(cell.Targets, s.cell.Targets, sesamemodel.Target.Equal) {
				r.planner.SetCell(cell)
				r.planner.RepairGuarantees()
				r.scheduleRelease(cell)
			}
		}
	}
	r.end(w, w.job.Spec.Class)
}

// scheduleRelease schedules the end of quarantine for targets that have just
// been quarantined.
func (r *replay) scheduleRelease(cell sesamemodel.Cell) {
	for _, t := range cell.Targets {
		if t.Health != sesamemodel.Quarantined || r.quarantined[t.ID] {
			continue
		}
		r.quarantined[t.ID] = true
		r.schedule(r.now.Add(QuarantineDuration(t.ConsecutiveQuarantines)), func() {
			delete(r.quarantined, t.ID)
			present := r.planner.cells.get(cell.ID).cell
			target, _ := present.Target(t.ID)
			r.planner.SetCell(present.WithTarget(EndQuarantine(target)))
		})
	}
}

// fail ends an attempt as failed and queues the job again or ends it.
func (r *replay) fail(w *replayedJob) {
	r.result.failures++
	on := []sesamemodel.TargetID{w.job.Assignments[0].Target}
	for _, a := range w.job.Assignments {
		if r.bad[a.Target] {
			on = []sesamemodel.TargetID{a.Target}
		}
	}
	if r.handleFailures {
		w.job = RetryOrFail(r.now, w.job, on, "exit 1", RetryLimit{
			Contract: r.contracts[w.job.Spec.Team],
			Budget:   r.budget,
		})
		r.planner.RecordFailure(r.now, w.job, on)
	} else {
		w.job = w.job.WithRequeue(r.now, "")
		if w.job.Attempt >= maxAttempts {
			w.job.State = sesamemodel.Failed
		}
	}
	if w.job.State.Ended() {
		if !w.broken {
			r.result.unbrokenFailed++
		}
		r.end(w, "")
		return
	}
	r.planner.SetJob(w.job)
}
