package sesamedispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// Decision is what the planner wants to write; see Decide.
type Decision struct {
	Starts []Start
	Stops  []Stop
	States []State
	// Lost are the targets to be marked as gone, each with the content and
	// version of its row as read last; see markGone.
	Lost []*target

	// stopping holds the units of Stops, and at is when the decision is taken, on the
	// steady clock.
	stopping map[*unit]bool
	at       time.Duration
	// speedWaits counts the units that wait for faster targets than they could
	// have.
	speedWaits int
}

// Start orders a run (one start) of a unit.
type Start struct {
	unit *unit
	run  sesamework.Run
}

// Stop orders a unit's run to end. The reason is one of the constants below.
type Stop struct {
	unit   *unit
	reason string
}

// State publishes a new state of a job to callers.
type State struct {
	job   *job
	state sesamework.JobState
}

// Reasons to stop a run, as they are stored in its row.
const (
	stopCancelled    = "cancelled"
	stopFailed       = "job failed"
	stopDone         = "an earlier run is done"
	stopPreempted    = "room for owed work"
	stopNoProgress   = "no progress"
	stopTargetLeaves = "target leaves"
	stopIncomplete   = "another member will not run"
	stopEvacuated    = "zone is evacuated"
)

// IsEmpty reports whether there is nothing to write.
func (d Decision) IsEmpty() bool {
	return len(d.Starts)+len(d.Stops)+len(d.States)+len(d.Lost) == 0
}

// Decide returns what should be written now: lost targets, stops, starts and
// published states. It first adds to the view the units of occurrences that
// have become due.
func (v *View) Decide(now Now) Decision {
	v.now = now
	d := Decision{
		stopping: map[*unit]bool{},
		at:       now.Steady,
	}
	v.refreshSpeeds()
	v.addLostTargets(&d)
	v.addDueOccurrences()
	for _, j := range v.jobs {
		v.estimate(j)
		v.stopEnded(j, &d)
	}
	v.stopStalled(&d)
	v.stopDraining(&d)
	v.stopIncomplete(&d)
	v.stopNeedless(&d)
	v.place(&d)
	v.publishStates(&d)
	return d
}

// addDueOccurrences opens those occurrences of recurring jobs whose due times have
// come, as long as few that are open wait for room.
func (v *View) addDueOccurrences() {
	for _, j := range v.jobs {
		if !j.Recurs() || j.isOver() {
			continue
		}
		for range j.dueToOpen(v.now.Wall) {
			v.openNext(j)
		}
	}
}

// isOver reports whether the job was cancelled, has failed or has ended, so that
// none of its units may be started.
func (j *job) isOver() bool {
	return j.cancelled || j.failed || j.published.Ended()
}

// stopEnded marks the job as failed once a unit has used up its attempts. It
// stops the active runs of a job that was cancelled or has failed, but none of
// a completed job.
func (v *View) stopEnded(j *job, d *Decision) {
	j.failed = j.published == sesamework.JobFailed || !j.cancelled && j.hasFailed()
	if !j.isOver() || j.published == sesamework.JobCompleted {
		return
	}
	reason := stopFailed
	if j.cancelled {
		reason = stopCancelled
	}
	j.eachUnit(func(u *unit) {
		d.stop(u, reason)
	})
}

// stop orders the unit's newest run to end, unless it has ended or has such an
// order already.
func (d *Decision) stop(u *unit, reason string) {
	if !u.isActive() || u.run.StopReason != "" || d.stopping[u] || u.rejections.isInForce(d.at) {
		return
	}
	d.stopping[u] = true
	d.Stops = append(d.Stops, Stop{
		unit:   u,
		reason: reason,
	})
}

// eachUnit calls visit for the created units of all occurrences so far.
func (j *job) eachUnit(visit func(*unit)) {
	for _, steps := range j.occurrences {
		for _, s := range steps {
			for _, u := range s.created {
				visit(u)
			}
		}
	}
}

// hasFailed reports whether a unit of the job has used up its attempts, which
// fails the job.
func (j *job) hasFailed() bool {
	failed := false
	j.eachUnit(func(u *unit) {
		failed = failed || u.hasFailed()
	})
	return failed
}

// isCompleted reports whether all units of all occurrences are done.
func (j *job) isCompleted() bool {
	if j.nextOccurrence() < j.Occurrences() {
		return false
	}
	return !slices.ContainsFunc(j.occurrences, func(steps []*stepUnits) bool {
		return !areAllDone(steps)
	})
}

// hasStarted reports whether a run of the job was ever ordered.
func (j *job) hasStarted() bool {
	started := j.doneOccurrences.Len() > 0 || slices.ContainsFunc(j.occurrences, func(steps []*stepUnits) bool {
		return slices.ContainsFunc(steps, func(s *stepUnits) bool {
			return s.released.Len() > 0
		})
	})
	j.eachUnit(func(u *unit) {
		started = started || u.run.Number > 0
	})
	return started
}

// state returns the state that callers should see.
func (j *job) state() sesamework.JobState {
	switch {
	case j.published.Ended():
		return j.published
	case j.cancelled:
		return sesamework.JobCancelled
	case j.failed:
		return sesamework.JobFailed
	case j.isCompleted():
		return sesamework.JobCompleted
	case j.hasStarted():
		return sesamework.JobRunning
	}
	return sesamework.JobQueued
}

// publishStates adds the job states that differ from the published ones. A job
// of which this decision starts a unit counts as running.
func (v *View) publishStates(d *Decision) {
	starting := map[*job]bool{}
	for _, s := range d.Starts {
		starting[s.unit.job] = true
	}
	for _, j := range v.jobs {
		s := j.state()
		if s == sesamework.JobQueued && starting[j] {
			s = sesamework.JobRunning
		}
		if s != j.published && !j.rejections.isInForce(v.now.Steady) {
			d.States = append(d.States, State{
				job:   j,
				state: s,
			})
		}
	}
}

// candidate holds the created units of one step and occurrence that are ready to
// run, by their indexes, at least one, with the sort keys that they share; see
// isCertainlyLate and latestStart. Those that are not created are ready as well; see
// inOrder.
type candidate struct {
	step          *stepUnits
	units         []*unit
	certainlyLate bool
	latestStart   time.Duration
}

// count returns how many units are ready, those that are not created included.
func (c candidate) count() int {
	return len(c.units) + c.step.notCreated()
}

// sortedCandidates returns the units that are ready to run, in the order in
// which they are placed: by priority, then those that can still end in time
// before the others, then by latestStart.
func (v *View) sortedCandidates() []candidate {
	var all []candidate
	for _, j := range v.jobs {
		if j.isOver() || j.unreadable {
			continue
		}
		for _, steps := range j.occurrences {
			all = v.appendReady(all, steps)
		}
	}
	slices.SortFunc(all, func(a, c candidate) int {
		first, other := a.units[0], c.units[0]
		return cmp.Or(
			cmp.Compare(first.job.Terms.Priority, other.job.Terms.Priority),
			trueFirst(!a.certainlyLate, !c.certainlyLate),
			cmp.Compare(a.latestStart, c.latestStart),
			cmp.Compare(first.job.ID, other.job.ID),
			cmp.Compare(first.id.Step, other.id.Step),
			cmp.Compare(first.id.Occurrence, other.id.Occurrence),
		)
	})
	return all
}

// appendReady appends, for each step of an occurrence whose earlier steps are
// done, the units that need a run. It sets readySince of all units.
func (v *View) appendReady(all []candidate, steps []*stepUnits) []candidate {
	for _, s := range steps {
		var ready []*unit
		stepReady := areStepsDone(steps, s.step.After)
		for _, u := range s.created {
			if !stepReady || !u.isWaiting() {
				u.readySince = 0
				continue
			}
			if u.readySince == 0 {
				u.readySince = v.now.Steady
			}
			if !u.rejections.isInForce(v.now.Steady) {
				ready = append(ready, u)
			}
		}
		s.setReady(stepReady, v.now.Steady)
		if stepReady && len(ready) == 0 && s.notCreated() > 0 {
			ready = append(ready, v.create(s, s.nextNotCreated(0)))
		}
		longestWaiting := func(a, b *unit) int {
			return cmp.Compare(a.readySince, b.readySince)
		}
		if !slices.IsSortedFunc(ready, longestWaiting) {
			// A unit that may not yet take what is left blocks its whole step, so
			// those that have waited longer come first.
			slices.SortStableFunc(ready, longestWaiting)
		}
		if len(ready) > 0 {
			all = append(all, candidate{
				step:          s,
				units:         ready,
				certainlyLate: v.isCertainlyLate(ready[0]),
				latestStart:   v.latestStart(ready[0]),
			})
		}
	}
	return all
}

// areStepsDone reports whether all units of the steps with these indexes are
// done.
func areStepsDone(steps []*stepUnits, after []int) bool {
	for _, i := range after {
		if !steps[i].areDone() {
			return false
		}
	}
	return true
}

// deadline returns the reading of the store's steady clock at which the unit's
// occurrence should have ended. A recurring job has an occurrence for each due
// time, any other job has one.
func (v *View) deadline(u *unit) time.Duration {
	j := u.job
	if !j.Recurs() {
		return time.Duration(j.Accepted)*time.Millisecond + j.objective
	}
	late := time.Duration(v.now.Wall-j.Due(u.id.Occurrence)) * time.Millisecond
	return v.now.Store - late + j.objective
}

// latestStart returns when the unit has to start at the latest for its
// occurrence to end in time, by the expected durations, on the store's clock.
func (v *View) latestStart(u *unit) time.Duration {
	return v.deadline(u) - u.job.criticalPaths[u.id.Step]
}

// minDurationShare is the least share of its expected duration that work is
// assumed to take when its lateness is judged: declared durations are off by
// half.
const minDurationShare = 0.6

// isCertainlyLate reports whether the unit's occurrence ends late even if the
// unit starts now and its critical path takes only minDurationShare of the
// expected time.
func (v *View) isCertainlyLate(u *unit) bool {
	least := time.Duration(minDurationShare * float64(u.job.criticalPaths[u.id.Step]))
	return v.now.Store+least > v.deadline(u)
}
