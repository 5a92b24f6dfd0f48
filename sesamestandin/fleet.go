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

// FleetOptions say how the targets of a fleet behave.
type FleetOptions struct {
	Clock clockwork.Clock
	// Lookup returns what a task really is, false for one that nobody asked
	// for.
	Lookup func(sesamework.TaskID) (FleetTask, bool)
	// StopTime is how long a stopped run takes to end, and GangTimeout how
	// long a member waits for the others.
	StopTime    time.Duration
	GangTimeout time.Duration
	// MaxLease shortens longer leases.
	MaxLease time.Duration
}

// FleetTask is what a task really is.
type FleetTask struct {
	Step sesamework.Step
	// Duration is how long the task really takes.
	Duration time.Duration
	// FailsRun says which runs fail, after half of their work.
	FailsRun func(run int) bool
	// Specification is what a start must carry.
	Specification string
	// MaxFailures is how often the task may fail; 0 means no bound.
	MaxFailures int
	// Predecessors are the tasks that must have ended as done before.
	Predecessors []sesamework.TaskID
}

// Fleet is a set of targets that grant leases and run tasks in time only. It
// notes whatever the promises to callers forbid.
type Fleet struct {
	o FleetOptions

	mu      sync.Mutex
	targets []*LeasedTarget
	// violations are the promises that were not kept.
	violations []string
	// recordedDone holds the tasks with an end that stands, and failed how often each
	// task has failed by ends that stand.
	recordedDone     map[string]bool
	recordedFailures map[string]int
	// completed holds the tasks that ended as done, recorded or not.
	completed map[string]bool
	starts    int
}

// NewFleet returns a fleet without targets.
func NewFleet(o FleetOptions) *Fleet {
	return &Fleet{
		o:                o,
		recordedDone:     map[string]bool{},
		recordedFailures: map[string]int{},

		completed: map[string]bool{},
	}
}

// Violations returns what the promises forbid and was seen nevertheless.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Starts returns how many runs were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

func (f *Fleet) addViolation(format string, values ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, values...))
}

// fleetRun is a run on a target.
type fleetRun struct {
	target     *LeasedTarget
	task       sesamework.TaskID
	run        int
	definition FleetTask
	// startedAt is when it was started; begun when it began to work, which a
	// member of a gang does once all others are there.
	startedAt    time.Time
	workingSince time.Time
	// initialProgress is the progress that it began with.
	initialProgress time.Duration
	// stopEnd is when a stop that was ordered is over.
	stopEnd time.Time
}

// runEnd is the next thing that happens to a run.
type runEnd struct {
	at      time.Time
	run     *fleetRun
	outcome sesamework.Outcome
}

// advance lets all that is due happen, in its order. The caller holds the lock.
func (f *Fleet) advance() {
	now := f.o.Clock.Now()
	for {
		f.beginGangs(now)
		next, ok := f.nextEnd()
		if !ok || next.at.After(now) {
			return
		}
		f.end(next.run, next.outcome, next.at)
	}
}

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
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.run.task.String(), b.run.task.String()))
	}), true
}

// firstEnd returns what ends the run first.
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
	if r.workingSince.IsZero() {
		keepEarlier(r.startedAt.Add(f.o.GangTimeout), sesamework.EndGangTimeout)
		return first
	}
	left := max(0, r.definition.Duration-r.initialProgress)
	if r.definition.FailsRun != nil && r.definition.FailsRun(r.run) {
		keepEarlier(r.workingSince.Add(left/2), sesamework.EndFailed)
		return first
	}
	keepEarlier(r.workingSince.Add(left), sesamework.EndDone)
	return first
}

// members returns the runs of one gang.
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

// beginGangs lets gangs work whose members are all there.
func (f *Fleet) beginGangs(now time.Time) {
	for _, t := range f.targets {
		for _, r := range t.running {
			if !r.workingSince.IsZero() {
				continue
			}
			members := f.members(r)
			if len(members) < r.definition.Step.Count {
				continue
			}
			for _, m := range members {
				m.workingSince = now
			}
		}
	}
}

// end ends a run, and with a gang's member all others.
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

// progress returns how much of the work is done and saved.
func (r *fleetRun) progress(now time.Time) time.Duration {
	if r.workingSince.IsZero() {
		return r.initialProgress
	}
	return min(r.definition.Duration, r.initialProgress+now.Sub(r.workingSince))
}

// checkpoint returns the saved progress as a target names it.
func (r *fleetRun) checkpoint(now time.Time) string {
	if !r.definition.Step.Checkpoints {
		return ""
	}
	return strconv.FormatInt(r.progress(now).Milliseconds(), 10)
}

func (r *fleetRun) report(now time.Time) sesamework.Progress {
	return sesamework.Progress{
		Task:       r.task.String(),
		Run:        r.run,
		Checkpoint: r.checkpoint(now),
		Percent:    int(100 * r.progress(now) / max(1, r.definition.Duration)),
	}
}

// checkStart notes what a start may not do. The caller holds the lock.
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
	if !used.Fits(t.capacity) {
		f.addViolation("limit: %s brings target %s to %+v of %+v", name, t.id, used, t.capacity)
	}
}
