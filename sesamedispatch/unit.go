package sesamedispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// unit is what is started together: a task, or all tasks of a gang.
type unit struct {
	id   sesamework.UnitID
	job  *job
	step *sesamework.Step
	// run is the newest run (one start of the unit); its Number is 0 before the
	// first.
	run sesamework.Run
	// rows name the rows in the store that hold the run, and endKeys those that hold
	// ends of this and of earlier runs; some of these may be removed already.
	rows    []sesamework.RunRow
	endKeys []sesamerows.Key
	// members are the tasks of that run, ordered by index. None before firstActive is
	// active.
	members     []member
	firstActive int
	// done says that a run succeeded, so that no other is needed. doneBefore says
	// that it was one before the newest.
	done       bool
	doneBefore bool
	// unreadableEnd says that the end of a member of the newest run can't be read,
	// so that it is not known whether the unit is done.
	unreadableEnd bool
	// failures counts the runs that failed, the newest one included if
	// failureCounted is set, and avoid names the targets on which they did.
	failures       int
	failureCounted bool
	avoid          []string
	// checkpoint is the newest one that an ended member left, from which the
	// next run goes on.
	checkpoint string
	// readySince is when the unit became ready to run, 0 while it is not, and
	// orderedAt when its newest run was ordered; both on the steady clock.
	readySince time.Duration
	orderedAt  time.Duration
	claim      claim
	suspicion  suspicion
	// rejections of its writes keep the unit from being started or stopped.
	rejections rejections
}

// member is one task of the unit's newest run, on its target.
type member struct {
	sesamework.Member
	// outcome is empty until the member's end is known.
	outcome sesamework.Outcome
	// crash is the evidence of an EndCrashed.
	crash evidence
}

// accepts reports whether an end with that outcome changes what is known of the
// member. EndLost and EndCrashed are only concluded from the target's row, and
// EndNeverRan by an agent from what the target does not list: an end that the
// target has listed, which may become known later, replaces them.
func (m member) accepts(outcome sesamework.Outcome) bool {
	replaceable := isConcluded(m.outcome) || m.outcome == sesamework.EndNeverRan
	return m.outcome == "" || replaceable && !isConcluded(outcome) && outcome != m.outcome
}

// isConcluded reports whether the outcome is not recorded by an agent but
// concluded from the target's row.
func isConcluded(outcome sesamework.Outcome) bool {
	return outcome == sesamework.EndLost || outcome == sesamework.EndCrashed
}

// neverRan reports whether the member has not run and never will.
func (m member) neverRan() bool {
	return m.outcome == sesamework.EndNeverRan
}

// isActive reports whether a member of the newest run may still use its target.
func (u *unit) isActive() bool {
	// A gang may have tens of thousands of members, whose ends come one by one.
	for u.firstActive < len(u.members) && u.members[u.firstActive].outcome != "" {
		u.firstActive++
	}
	return u.firstActive < len(u.members)
}

// memberOf returns the member with that task index in the newest run, or nil.
func (u *unit) memberOf(index int) *member {
	i, ok := slices.BinarySearchFunc(u.members, index, func(m member, index int) int {
		return cmp.Compare(m.Index, index)
	})
	if !ok {
		return nil
	}
	return &u.members[i]
}

// isWaiting reports whether the unit needs a run: it is not done, and its
// newest run, if any, has ended.
func (u *unit) isWaiting() bool {
	return !u.done && !u.unreadableEnd && !u.isActive()
}

// taskCount returns how many tasks are started together.
func (u *unit) taskCount() int {
	if u.step.Gang {
		return u.step.Count
	}
	return 1
}

// taskIndexes returns the indexes of the unit's tasks within its step.
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

// accelerators returns how many accelerators all tasks need together.
func (u *unit) accelerators() int64 {
	return u.step.Need.Accelerators * int64(u.taskCount())
}

// endMember records the end of the member with that task index, and the
// checkpoint from which a next run can go on. It returns true if no member of the
// run is active any more.
func (u *unit) endMember(index int, e sesamework.End) bool {
	m := u.memberOf(index)
	if m == nil || !m.accepts(e.Outcome) {
		return false
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

// recordFailure counts a run that has ended as failed when a member failed and
// the unit is not done. Members of a gang that ended only because another one
// did are no failures of their own.
func (u *unit) recordFailure() {
	if u.done {
		return
	}
	failed := false
	for _, m := range u.members {
		if m.outcome == sesamework.EndFailed {
			failed = true
			u.avoid = sesamework.WithAvoided(u.avoid, m.Target)
		}
	}
	if failed && !u.failureCounted {
		u.failures++
		u.failureCounted = true
	}
}

// hasFailed reports whether the unit has failed for good: it used up its
// attempts, or too many targets have crashed under it. Long-running steps are
// restarted without a bound on failures.
func (u *unit) hasFailed() bool {
	return u.isGivenUp() || !u.done && !u.step.LongRunning && u.failures >= u.job.Terms.Attempts
}

// nextRun returns the run that follows the unit's newest one, on the targets,
// one for each task. now is on the store's clock.
func (u *unit) nextRun(targets []*target, now time.Duration) sesamework.Run {
	r := sesamework.Run{
		Number:      u.run.Number + 1,
		Reservation: u.step.Reservation(),
		Checkpoint:  u.checkpoint,
		Failures:    u.failures,
		Avoid:       slices.Clone(u.avoid),
		Crashes:     u.suspicion.crashes,
		Suspect:     u.suspicion.suspect,
		Stalls:      u.stalls(),
		OrderedAt:   now.Milliseconds(),
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

// stalls counts the runs, the newest one included, that were stopped for lack of
// progress.
func (u *unit) stalls() int {
	if u.run.StopReason == stopNoProgress {
		return u.run.Stalls + 1
	}
	return u.run.Stalls
}

// setRun makes the run the newest one. A run with another number starts with
// members whose ends are not known, and uses up the claim. now is on the steady
// clock.
func (u *unit) setRun(r sesamework.Run, now time.Duration) {
	if r.Number != u.run.Number {
		u.setMembers(r.Members)
		u.orderedAt = now
		u.failures = r.Failures
		u.failureCounted = false
		u.unreadableEnd = false
		u.avoid = slices.Clone(r.Avoid)
		u.checkpoint = r.Checkpoint
		u.claim = claim{}
		u.rejections = rejections{}
		u.suspicion = suspicion{
			crashes: r.Crashes,
			suspect: r.Suspect,
		}
	}
	u.run = r
}

// setMembers sets the members of the newest run, whose ends are not known.
func (u *unit) setMembers(all sesamework.Members) {
	u.members = nil
	u.firstActive = 0
	for _, m := range all {
		u.members = append(u.members, member{
			Member: m,
		})
	}
}

// addRunPart adds to the newest run, of which no end is known yet, what another of
// its rows holds.
func (u *unit) addRunPart(part sesamework.Run) {
	u.run = u.run.With(part)
	u.setMembers(u.run.Members)
	u.suspicion.crashes = u.run.Crashes
}
