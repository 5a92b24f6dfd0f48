package sesamestandin

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// outcomeCrash ends a run together with its target.
	outcomeCrash sesamework.Outcome = "crash"
	// crashesTolerated is how many targets may crash under a task before its
	// starts are counted, and maxStartsAfter how many of those starts are a
	// violation.
	crashesTolerated = 3
	maxStartsAfter   = 3
)

// taskCrashes counts the targets that a task has crashed, and its starts since
// the last one tolerated.
type taskCrashes struct {
	targets     int
	startsAfter int
}

// MaxCrashes returns, by job ID, how many targets the task of the job has crashed
// that has crashed most.
func (f *Fleet) MaxCrashes() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	counts := map[string]int{}
	for task, c := range f.crashes {
		counts[task.Job] = max(counts[task.Job], c.targets)
	}
	return counts
}

// crash ends the run's target because of the run. The caller holds the lock.
func (f *Fleet) crash(r *fleetRun, at time.Time) {
	c := f.crashes[r.task]
	c.targets++
	f.crashes[r.task] = c
	r.target.endLife(at)
	r.target.notRunning = true
	if f.o.Crashed != nil {
		f.o.Crashed(r.target)
	}
}

// checkCrashes records a violation when a task is started too often after it has
// crashed targets. The caller holds the lock.
func (f *Fleet) checkCrashes(task sesamework.TaskID, run int) {
	c, ok := f.crashes[task]
	if !ok || c.targets < crashesTolerated {
		return
	}
	c.startsAfter++
	f.crashes[task] = c
	if c.startsAfter == maxStartsAfter {
		f.addViolation("budget: %s run %d was started after %d targets had crashed under it", task, run, c.targets)
	}
}

// Crash ends the target's life and its runs without a report. The other
// members of its gangs end with EndGangBroken.
func (t *LeasedTarget) Crash() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.fleet.advance()
	t.endLife(t.fleet.o.Clock.Now())
}

// CrashProcess does what Crash does, and lets no other life answer calls until
// SetReplaced.
func (t *LeasedTarget) CrashProcess() {
	t.Crash()
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.notRunning = true
}

// endLife does what Crash does. The caller holds the lock.
func (t *LeasedTarget) endLife(at time.Time) {
	for _, r := range t.running {
		if !r.definition.Step.Gang || r.workingSince.IsZero() {
			continue
		}
		for _, m := range t.fleet.members(r) {
			if m.target != t {
				m.target.endRun(m, sesamework.EndGangBroken, at)
			}
		}
	}
	t.crashed = true
	t.running = nil
	t.ended = nil
}

// ID returns the target's ID.
func (t *LeasedTarget) ID() string {
	return t.id
}

// SetReplaced makes calls to a crashed target reach another life at its address,
// which rejects them.
func (t *LeasedTarget) SetReplaced() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.notRunning = false
}

// crashError returns the error of a call to a target whose life is over. The
// caller holds the lock.
func (t *LeasedTarget) crashError() error {
	if t.notRunning {
		return &sesamerunner.NotRunningError{
			Cause: &NoAnswerError{},
		}
	}
	return &sesamerunner.OtherLifeError{}
}
