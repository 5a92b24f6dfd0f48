package sesamedispatch

import (
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// unit is what is started as one: a task, or all tasks of a gang.
type unit struct {
	id   sesamework.UnitID
	job  *job
	step sesamework.Step
	// run is the newest run; its Number is 0 before the first.
	run     sesamework.Run
	members []member
	done    bool
	// failures counts the runs that failed, and avoid where.
	failures   int
	avoid      []string
	checkpoint string
	// readySince is since when the unit could run, and started since when its
	// newest run has been ordered; both on the steady clock.
	readySince time.Duration
	orderedAt  time.Duration
	claim      claim
}

// member is one task of the newest run.
type member struct {
	sesamework.Member
	// outcome is empty until the end is known.
	outcome sesamework.Outcome
}

// claim keeps targets for a unit while the runs on them are being stopped.
type claim struct {
	targets []string
	until   time.Duration
}

// isActive reports whether a member of the newest run may still use its target.
func (u *unit) isActive() bool {
	return slices.ContainsFunc(u.members, func(m member) bool {
		return m.outcome == ""
	})
}

// isWaiting reports whether the unit needs another run.
func (u *unit) isWaiting() bool {
	return !u.done && !u.isActive()
}

// taskCount returns how many taskCount run together.
func (u *unit) taskCount() int {
	if u.step.Gang {
		return u.step.Count
	}
	return 1
}

// taskIndexes returns the tasks of the unit.
func (u *unit) taskIndexes() []int {
	if !u.step.Gang {
		return []int{u.id.Index}
	}
	all := make([]int, u.step.Count)
	for i := range all {
		all[i] = i
	}
	return all
}

// accelerators returns the need of all tasks.
func (u *unit) accelerators() int64 {
	return u.step.Need.Accelerators * int64(u.taskCount())
}

// endMember takes note of a member's end. It reports whether that ended the run.
func (u *unit) endMember(index int, e sesamework.End) bool {
	for i := range u.members {
		m := &u.members[i]
		if m.Index != index || m.outcome != "" {
			continue
		}
		m.outcome = e.Outcome
		if e.Checkpoint != "" {
			u.checkpoint = e.Checkpoint
		}
		if e.Outcome == sesamework.EndDone && !u.step.LongRunning {
			u.done = true
		}
		if u.isActive() {
			return false
		}
		u.recordFailure()
		return true
	}
	return false
}

// recordFailure adds a finished run to the failures when a member failed and none was
// done. Members of a gang that end broken failed through another one.
func (u *unit) recordFailure() {
	if u.done {
		return
	}
	failed := false
	for _, m := range u.members {
		if m.outcome == sesamework.EndFailed {
			failed = true
			if !slices.Contains(u.avoid, m.Target) {
				u.avoid = append(u.avoid, m.Target)
			}
		}
	}
	if failed {
		u.failures++
	}
}

// hasFailed reports whether no further run is allowed.
func (u *unit) hasFailed() bool {
	return !u.done && !u.step.LongRunning && u.failures >= u.job.Terms.Attempts
}

// nextRun returns the run that starts the unit on the targets, one for each task.
func (u *unit) nextRun(targets []*target, now time.Duration) sesamework.Run {
	r := sesamework.Run{
		Number:     u.run.Number + 1,
		Checkpoint: u.checkpoint,
		Failures:   u.failures,
		Avoid:      slices.Clone(u.avoid),
		OrderedAt:  now.Milliseconds(),
	}
	for i, index := range u.taskIndexes() {
		t := targets[i]
		r.Members = append(r.Members, sesamework.Member{
			Index:  index,
			Target: t.name,
			Zone:   t.Zone,
			Life:   t.Life,
		})
	}
	return r
}

// setRun makes the run the newest one.
func (u *unit) setRun(r sesamework.Run, now time.Duration) {
	if r.Number != u.run.Number {
		u.members = nil
		for _, m := range r.Members {
			u.members = append(u.members, member{
				Member: m,
			})
		}
		u.orderedAt = now
		u.failures = r.Failures
		u.avoid = slices.Clone(r.Avoid)
		u.checkpoint = r.Checkpoint
		u.claim = claim{}
	}
	u.run = r
}
