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
	// Attempts is how often the task may fail; 0 means no bound.
	Attempts int
	// Before are the tasks that must have ended as done before.
	Before []sesamework.TaskID
}

// Fleet is a set of targets that grant leases and run tasks in time only. It
// notes whatever the promises to callers forbid.
type Fleet struct {
	o FleetOptions

	mu      sync.Mutex
	targets []*LeasedTarget
	// broken are the promises that were not kept.
	broken []string
	// done holds the tasks with an end that stands, and failed how often each
	// task has failed by ends that stand.
	done   map[string]bool
	failed map[string]int
	// finished holds the tasks that ended as done, recorded or not.
	finished map[string]bool
	starts   int
}

// NewFleet returns a fleet without targets.
func NewFleet(o FleetOptions) *Fleet {
	return &Fleet{
		o:      o,
		done:   map[string]bool{},
		failed: map[string]int{},

		finished: map[string]bool{},
	}
}

// Broken returns what the promises forbid and was seen nevertheless.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Starts returns how many runs were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

func (f *Fleet) note(format string, values ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, values...))
}

// fleetRun is a run on a target.
type fleetRun struct {
	target *LeasedTarget
	task   sesamework.TaskID
	run    int
	what   FleetTask
	// arrived is when it was started; begun when it began to work, which a
	// member of a gang does once all others are there.
	arrived time.Time
	begun   time.Time
	// saved is the progress that it began with.
	saved time.Duration
	// stopping is when a stop that was ordered is over.
	stopping time.Time
}

// fleetEvent is the next thing that happens to a run.
type fleetEvent struct {
	at  time.Time
	run *fleetRun
	how sesamework.Outcome
}

// advance lets all that is due happen, in its order. The caller holds the lock.
func (f *Fleet) advance() {
	now := f.o.Clock.Now()
	for {
		f.beginGangs(now)
		next, ok := f.next()
		if !ok || next.at.After(now) {
			return
		}
		f.end(next.run, next.how, next.at)
	}
}

func (f *Fleet) next() (fleetEvent, bool) {
	var all []fleetEvent
	for _, t := range f.targets {
		for _, r := range t.running {
			all = append(all, f.eventOf(r))
		}
	}
	if len(all) == 0 {
		return fleetEvent{}, false
	}
	return slices.MinFunc(all, func(a, b fleetEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.run.task.String(), b.run.task.String()))
	}), true
}

// eventOf returns what ends the run first.
func (f *Fleet) eventOf(r *fleetRun) fleetEvent {
	first := fleetEvent{
		at:  r.target.lapses(),
		run: r,
		how: sesamework.EndLapsed,
	}
	sooner := func(at time.Time, how sesamework.Outcome) {
		if at.Before(first.at) {
			first.at = at
			first.how = how
		}
	}
	if !r.stopping.IsZero() {
		sooner(r.stopping, sesamework.EndStopped)
	}
	if r.begun.IsZero() {
		sooner(r.arrived.Add(f.o.GangTimeout), sesamework.EndGangTimeout)
		return first
	}
	left := max(0, r.what.Duration-r.saved)
	if r.what.FailsRun != nil && r.what.FailsRun(r.run) {
		sooner(r.begun.Add(left/2), sesamework.EndFailed)
		return first
	}
	sooner(r.begun.Add(left), sesamework.EndDone)
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
			if !r.begun.IsZero() {
				continue
			}
			members := f.members(r)
			if len(members) < r.what.Step.Count {
				continue
			}
			for _, m := range members {
				m.begun = now
			}
		}
	}
}

// end ends a run, and with a gang's member all others.
func (f *Fleet) end(r *fleetRun, how sesamework.Outcome, at time.Time) {
	members := []*fleetRun{r}
	if r.what.Step.Gang && !r.begun.IsZero() {
		members = f.members(r)
	}
	for _, m := range members {
		ended := how
		if m != r && how != sesamework.EndDone {
			ended = sesamework.EndGangBroken
		}
		m.target.finish(m, ended, at)
	}
}

// progress returns how much of the work is done and saved.
func (r *fleetRun) progress(now time.Time) time.Duration {
	if r.begun.IsZero() {
		return r.saved
	}
	return min(r.what.Duration, r.saved+now.Sub(r.begun))
}

// checkpoint returns the saved progress as a target names it.
func (r *fleetRun) checkpoint(now time.Time) string {
	if !r.what.Step.Checkpoints {
		return ""
	}
	return strconv.FormatInt(r.progress(now).Milliseconds(), 10)
}

func (r *fleetRun) report(now time.Time) sesamework.Progress {
	return sesamework.Progress{
		Task:       r.task.String(),
		Run:        r.run,
		Checkpoint: r.checkpoint(now),
		Percent:    int(100 * r.progress(now) / max(1, r.what.Duration)),
	}
}

// checkStart notes what a start may not do. The caller holds the lock.
func (f *Fleet) checkStart(t *LeasedTarget, o sesamerunner.Order, what FleetTask, asked bool) {
	name := o.Task.String()
	if !asked {
		f.note("unasked: %s was started, which nobody asked for", name)
		return
	}
	if o.Specification != what.Specification {
		f.note("unasked: %s was started with %q", name, o.Specification)
	}
	if f.done[name] {
		f.note("twice: %s run %d was started after its end was recorded as done", name, o.Run)
	}
	if what.Attempts > 0 && f.failed[name] >= what.Attempts {
		f.note("budget: %s run %d was started after %d failures", name, o.Run, f.failed[name])
	}
	for _, earlier := range what.Before {
		if !f.finished[earlier.String()] {
			f.note("order: %s was started before %s was done", name, earlier)
		}
	}
	for _, other := range f.targets {
		for _, r := range other.running {
			if r.task == o.Task {
				f.note("twice: %s run %d was started while run %d works", name, o.Run, r.run)
			}
		}
	}
	used := what.Step.Reservation()
	for _, r := range t.running {
		used = used.Plus(r.what.Step.Reservation())
	}
	if !used.Fits(t.room) {
		f.note("limit: %s brings target %s to %+v of %+v", name, t.id, used, t.room)
	}
}
