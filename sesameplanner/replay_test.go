package sesameplanner

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

const (
	// startDelay stands for the preparation of a gang, and stopDelay for the
	// victims' grace.
	startDelay = 500 * time.Millisecond
	stopDelay  = time.Second
	// failDelay is when a bad worker fails a task.
	failDelay = 20 * time.Second
	// maxAttempts ends jobs of policies that do not judge failures.
	maxAttempts = 10
)

// policy decides about the queued jobs of a planner.
type policy func(p *Planner, now time.Time) []Decision

func sesamePolicy(p *Planner, now time.Time) []Decision {
	return p.Plan(now, 1<<20)
}

// fifo places jobs strictly in the order of submission.
func fifo(find func(*Planner, *demand) []gangPart) policy {
	return func(p *Planner, now time.Time) []Decision {
		var queue []*jobEntry
		for _, t := range p.teams {
			for _, e := range t.queue {
				if !e.dequeued {
					queue = append(queue, e)
				}
			}
		}
		slices.SortFunc(queue, func(a, b *jobEntry) int {
			return a.job.Submitted.Compare(b.job.Submitted)
		})
		r := &round{
			planner: p,
			now:     now,
		}
		for _, e := range queue {
			parts := find(p, p.borrowDemand(e, now))
			if parts == nil {
				break
			}
			r.placeBorrowed(e, parts, &victims{})
		}
		for _, t := range p.teams {
			t.compact()
		}
		return r.decisions
	}
}

func bestFit(p *Planner, d *demand) []gangPart {
	return p.cells.find(d)
}

// firstFit takes the first target, or the first rack, in the order of names.
func firstFit(p *Planner, d *demand) []gangPart {
	for _, z := range p.cells.zones {
		for _, s := range z.cells {
			for _, r := range s.racks {
				for at := r.first; at < r.end; at++ {
					nodes := s.nodesByRack[at : at+1]
					if d.spec.Span == sesamemodel.SpanRack {
						nodes = s.nodesByRack[r.first:r.end]
					}
					parts, total := d.collect(nil, s, nodes)
					if total >= d.spec.Tasks {
						return d.trim(parts)
					}
				}
			}
		}
	}
	return nil
}

// event is one event of a replay.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, k int) bool {
	if !a[i].at.Equal(a[k].at) {
		return a[i].at.Before(a[k].at)
	}
	return a[i].sequence < a[k].sequence
}

func (a eventQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }

func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// replayedJob is the state of one job in a replay.
type replayedJob struct {
	simulatedJob
	// savedProgress is the progress that a restart keeps.
	savedProgress time.Duration
	started       time.Time
	owed          bool
	placedBefore  bool
}

// replay runs one day of work under one policy.
type replay struct {
	planner        *Planner
	decide         policy
	handleFailures bool
	contracts      map[sesamemodel.TeamID]sesamemodel.Contract
	jobs           map[sesamemodel.JobID]*replayedJob
	bad            map[sesamemodel.TargetID]bool
	budget         *RetryBudget
	// quarantined are the targets that wait for their release.
	quarantined      map[sesamemodel.TargetID]bool
	now              time.Time
	events           eventQueue
	count            int
	openAccelerators map[sesamemodel.TeamID]int
	result           *result
}

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

func (r *replay) schedule(t time.Time, do func()) {
	r.count++
	heap.Push(&r.events, event{
		at:       t,
		sequence: r.count,
		action:   do,
	})
}

// run plays all events; planning follows each instant with events.
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

func coveredByShape(s sesamemodel.Spec, c sesamemodel.Contract) bool {
	return slices.ContainsFunc(c.Guarantees, func(g sesamemodel.Shape) bool {
		return s.Tasks <= workerCount(g) && s.Task.Accelerators <= perWorker(g)
	})
}

func (r *replay) cancel(id sesamemodel.JobID) {
	w, ok := r.jobs[id]
	if ok && w.job.State == sesamemodel.Queued {
		r.end(w, "")
	}
}

// end forgets a job that has ended; an empty class is not counted.
func (r *replay) end(w *replayedJob, class string) {
	r.openAccelerators[w.job.Spec.Team] -= w.job.Spec.TotalResources().Accelerators
	delete(r.jobs, w.job.ID)
	r.planner.RemoveJob(w.job.ID)
	if class != "" {
		r.result.addCompletion(class, r.now.Sub(w.job.Submitted))
	}
}

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

// stop takes a victim's progress and queues it again after the grace.
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

func (r *replay) free(j sesamemodel.Job) {
	for _, id := range j.Cells() {
		r.planner.SetCell(r.planner.cells.get(id).cell.WithoutAttempt(j.ID, j.Attempt, ""))
	}
}

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

// scheduleRelease releases the targets that were just quarantined after a while.
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

func (r *replay) fail(w *replayedJob) {
	r.result.failures++
	on := []sesamemodel.TargetID{w.job.Assignments[0].Target}
	for _, a := range w.job.Assignments {
		if r.bad[a.Target] {
			on = []sesamemodel.TargetID{a.Target}
		}
	}
	if r.handleFailures {
		w.job = RetryOrFail(r.now, w.job, on, "exit 1", r.contracts[w.job.Spec.Team], r.budget)
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
