package sesamestandin

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamework"
)

// FleetOptions configures the targets of a fleet.
type FleetOptions struct {
	Clock clockwork.Clock
	// Lookup returns the definition of a task, false for one that no caller
	// has submitted.
	Lookup func(sesamework.TaskID) (FleetTask, bool)
	// StopTime is how long a stopped run takes to end, and GangTimeout how
	// long a member of a gang waits for the others.
	StopTime    time.Duration
	GangTimeout time.Duration
	// MaxLease is the longest lease that a target accepts; longer ones are
	// shortened to it.
	MaxLease time.Duration
	// ShrinkGrace is how long after a target's capacity has shrunk starts may
	// still use what the target offered before.
	ShrinkGrace time.Duration
	// MaxListed is how many ends a target lists at a time; 0 means all.
	MaxListed int
	// MayStart, if it is not nil, reports whether a run may be started on the
	// target now. It must not call the fleet.
	MayStart func(*LeasedTarget) bool
	// Crashed is called when a task has crashed its target, if it is not nil. It
	// must not call the fleet.
	Crashed func(*LeasedTarget)
}

// FleetTask is the definition of a task: what it needs, how it behaves and
// which starts are allowed.
type FleetTask struct {
	Step sesamework.Step
	// Duration is how long the task takes, whatever the job's estimate says.
	Duration time.Duration
	// FailsRun reports whether the run with this number fails, after half of
	// its remaining work. nil means none does.
	FailsRun func(run int) bool
	// CrashesAfter is how long after its start the task crashes its target; 0
	// means that it doesn't.
	CrashesAfter time.Duration
	// Specification must be passed with each start.
	Specification string
	// MaxFailures is the number of recorded failures after which the task must
	// not be started again; 0 means no limit.
	MaxFailures int
	// Predecessors must have ended as done before this task starts.
	Predecessors []sesamework.TaskID
}

// Fleet is a set of simulated targets that run tasks under leases; a run only
// takes time and does no work. The fleet records every violation of the
// promises to callers, such as a task that is started twice.
type Fleet struct {
	o FleetOptions

	mu      sync.Mutex
	targets []*LeasedTarget
	// violations are descriptions of the promises that were broken.
	violations []string
	// recordedDone holds the tasks whose end as done is final, and
	// recordedFailures the number of final failures of each task. An end is
	// final once the agent has confirmed that it is recorded, unless the lease
	// has lapsed since the end.
	recordedDone     map[string]bool
	recordedFailures map[string]int
	// completed holds the tasks that ended as done, whether recorded or not.
	completed map[string]bool
	// starts is the number of runs that were started.
	starts int
	// crashes holds the tasks that have crashed targets.
	crashes map[sesamework.TaskID]taskCrashes
}

// NewFleet returns a fleet without targets.
func NewFleet(o FleetOptions) *Fleet {
	return &Fleet{
		o:                o,
		recordedDone:     map[string]bool{},
		recordedFailures: map[string]int{},

		completed: map[string]bool{},
		crashes:   map[sesamework.TaskID]taskCrashes{},
	}
}

// Violations returns descriptions of all violations so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Starts returns the number of runs that were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// addViolation records a violation. The caller holds the lock.
func (f *Fleet) addViolation(format string, values ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, values...))
}

// fleetRun is a run of a task on a target.
type fleetRun struct {
	target     *LeasedTarget
	task       sesamework.TaskID
	run        int
	definition FleetTask
	// startedAt is the time of the start, workingSince that at which the run
	// began to work. A member of a gang begins when all others have started.
	startedAt    time.Time
	workingSince time.Time
	// timeFactor is how long work takes as a multiple of the task's Duration. A gang
	// is as slow as its slowest member.
	timeFactor float64
	// initialProgress is the progress of the checkpoint that the run resumed
	// from, as part of the task's Duration.
	initialProgress time.Duration
	// stopEnd is when the run ends after a stop was ordered; zero without a
	// stop.
	stopEnd time.Time
}

// runEnd is the time and outcome with which a run will end.
type runEnd struct {
	at      time.Time
	run     *fleetRun
	outcome sesamework.Outcome
}

// advance ends the runs that are due, in the order of their times, and starts
// the work of complete gangs. The caller holds the lock.
func (f *Fleet) advance() {
	now := f.o.Clock.Now()
	for {
		f.beginGangs(now)
		next, ok := f.nextEnd()
		if !ok || next.at.After(now) {
			return
		}
		if next.outcome == outcomeCrash {
			f.crash(next.run, next.at)
			continue
		}
		f.end(next.run, next.outcome, next.at)
	}
}

// nextEnd returns the earliest end of all runs; false if no run is in progress.
func (f *Fleet) nextEnd() (runEnd, bool) {
	var all []runEnd
	for _, t := range f.targets {
		for _, r := range t.running {
			all = append(all, f.firstEnd(r))
		}
	}
	if len(all) == 0 {
		return runEnd{}, false
	}
	return slices.MinFunc(all, func(a, b runEnd) int {
		if byTime := a.at.Compare(b.at); byTime != 0 {
			return byTime
		}
		return cmp.Compare(a.run.task.String(), b.run.task.String())
	}), true
}

// firstEnd returns the earliest of the events that would end the run: the end
// of the lease, of a stop, of its target, of the wait for the gang, or of the
// work.
func (f *Fleet) firstEnd(r *fleetRun) runEnd {
	first := runEnd{
		at:      r.target.lapseTime(),
		run:     r,
		outcome: sesamework.EndLapsed,
	}
	keepEarlier := func(at time.Time, how sesamework.Outcome) {
		if at.Before(first.at) {
			first.at = at
			first.outcome = how
		}
	}
	if !r.stopEnd.IsZero() {
		keepEarlier(r.stopEnd, sesamework.EndStopped)
	}
	if r.definition.CrashesAfter > 0 {
		keepEarlier(r.startedAt.Add(r.definition.CrashesAfter), outcomeCrash)
	}
	if r.workingSince.IsZero() {
		keepEarlier(r.startedAt.Add(f.o.GangTimeout), sesamework.EndGangTimeout)
		return first
	}
	left := max(0, r.definition.Duration-r.initialProgress)
	left = time.Duration(float64(left) * r.timeFactor)
	if r.definition.FailsRun != nil && r.definition.FailsRun(r.run) {
		keepEarlier(r.workingSince.Add(left/2), sesamework.EndFailed)
		return first
	}
	keepEarlier(r.workingSince.Add(left), sesamework.EndDone)
	return first
}

// members returns all runs of the same start of a gang, including r.
func (f *Fleet) members(r *fleetRun) []*fleetRun {
	var all []*fleetRun
	for _, t := range f.targets {
		for _, other := range t.running {
			unit := sesamework.UnitID(other.task)
			unit.Index = r.task.Index
			if unit == sesamework.UnitID(r.task) && other.run == r.run {
				all = append(all, other)
			}
		}
	}
	return all
}

// beginGangs starts the work of those gangs whose members have all started.
func (f *Fleet) beginGangs(now time.Time) {
	type start struct {
		unit sesamework.UnitID
		run  int
	}
	waiting := map[start][]*fleetRun{}
	for _, t := range f.targets {
		for _, r := range t.running {
			if !r.workingSince.IsZero() {
				continue
			}
			gang := start{
				unit: sesamework.UnitID(r.task),
				run:  r.run,
			}
			gang.unit.Index = sesamework.GangIndex
			waiting[gang] = append(waiting[gang], r)
		}
	}
	for _, members := range waiting {
		if len(members) < members[0].definition.Step.Count {
			continue
		}
		factor := 0.0
		for _, m := range members {
			factor = max(factor, m.timeFactor)
		}
		for _, m := range members {
			m.workingSince = now
			m.timeFactor = factor
		}
	}
}

// end ends a run with the outcome. If the run belongs to a gang that has begun
// to work, the other members end too: as done if the outcome is EndDone,
// otherwise as EndGangBroken.
func (f *Fleet) end(r *fleetRun, outcome sesamework.Outcome, at time.Time) {
	members := []*fleetRun{r}
	if r.definition.Step.Gang && !r.workingSince.IsZero() {
		members = f.members(r)
	}
	for _, m := range members {
		ended := outcome
		if m != r && outcome != sesamework.EndDone {
			ended = sesamework.EndGangBroken
		}
		m.target.endRun(m, ended, at)
	}
}

// progress returns the work done so far, as part of the task's Duration.
func (r *fleetRun) progress(now time.Time) time.Duration {
	if r.workingSince.IsZero() {
		return r.initialProgress
	}
	worked := time.Duration(float64(now.Sub(r.workingSince)) / r.timeFactor)
	return min(r.definition.Duration, r.initialProgress+worked)
}

// checkpoint returns the progress in milliseconds as a target reports it, ""
// for tasks without checkpoints.
func (r *fleetRun) checkpoint(now time.Time) string {
	if !r.definition.Step.Checkpoints {
		return ""
	}
	return strconv.FormatInt(r.progress(now).Milliseconds(), 10)
}

// report returns the progress report of the run.
func (r *fleetRun) report(now time.Time) sesamework.Progress {
	return sesamework.Progress{
		Task:       r.task.String(),
		Run:        r.run,
		Checkpoint: r.checkpoint(now),
		Percent:    int(100 * r.progress(now) / max(1, r.definition.Duration)),
	}
}

// checkStart records each promise that a start breaks. The caller holds the
// lock.
func (f *Fleet) checkStart(t *LeasedTarget, o sesamerunner.Order, definition FleetTask, known bool) {
	name := o.Task.String()
	if !known {
		f.addViolation("unasked: %s was started, which nobody asked for", name)
		return
	}
	if o.Specification != definition.Specification {
		f.addViolation("unasked: %s was started with %q", name, o.Specification)
	}
	if f.recordedDone[name] {
		f.addViolation("twice: %s run %d was started after its end was recorded as done", name, o.Run)
	}
	if definition.MaxFailures > 0 && f.recordedFailures[name] >= definition.MaxFailures {
		f.addViolation("budget: %s run %d was started after %d failures", name, o.Run, f.recordedFailures[name])
	}
	f.checkCrashes(o.Task, o.Run)
	for _, earlier := range definition.Predecessors {
		if !f.completed[earlier.String()] {
			f.addViolation("order: %s was started before %s was done", name, earlier)
		}
	}
	for _, other := range f.targets {
		for _, r := range other.running {
			if r.task == o.Task {
				f.addViolation("twice: %s run %d was started while run %d works", name, o.Run, r.run)
			}
		}
	}
	used := definition.Step.Reservation()
	for _, r := range t.running {
		used = used.Plus(r.definition.Step.Reservation())
	}
	if limit := t.startLimit(); !used.Fits(limit) {
		f.addViolation("limit: %s brings target %s to %+v of %+v", name, t.id, used, limit)
	}
}
