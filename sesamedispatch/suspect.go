package sesamedispatch

import (
	"maps"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// blameWindow is how recently before a crash of its target a run must have
	// been ordered to be blamed for it.
	blameWindow = time.Second
	// isolationTime is how long a suspect's run has its targets to itself.
	isolationTime = 3 * time.Second
	// maxIsolationWait is how long a suspect waits for targets of its own. Then it
	// runs beside other jobs: these may last, and maxCrashes bounds the harm.
	maxIsolationWait = 5 * time.Second
	// minCrashes is how many targets must crash under a task before its job
	// fails, if the last crash was blamed on it and only its job was there. With
	// maxCrashes the job fails in any case: the platform allows few starts after
	// that many, and runs that end otherwise count too.
	minCrashes = 2
	maxCrashes = 3
	// targetsPerIsolated bounds the targets that suspects have to themselves: one
	// for each targetsPerIsolated of the service, and at least one.
	targetsPerIsolated = 4
)

// suspicion is what is known of crashes of targets under a unit's runs.
type suspicion struct {
	// crashes counts the targets that crashed under each task, by its index in
	// the step. The map is shared with the run's row and never changed.
	crashes map[int]int
	// suspect says that the unit may have caused a crash, so that its next run
	// shares no target with other jobs.
	suspect bool
	// givenUp says that with the newest run so many targets have crashed that the
	// unit must not be started again.
	givenUp bool
}

// evidence is what a crash of a member's target tells about the member.
type evidence struct {
	// blamed says that its run was ordered just before the crash, and alone that
	// only its job was on the target.
	blamed bool
	alone  bool
}

// isGivenUp reports whether too many targets have crashed under the unit.
func (u *unit) isGivenUp() bool {
	return !u.done && u.suspicion.givenUp
}

// endOfLost returns the end of a member whose target t is gone or has begun
// another life. If the target crashed with the member on it, it keeps the
// evidence in the unit. t is nil for an unknown target.
func (v *View) endOfLost(t *target, u *unit, m member) sesamework.End {
	e := sesamework.End{
		Outcome:    sesamework.EndLost,
		Checkpoint: v.lastCheckpoint(t, u, m.Index),
		Reason:     lossReason(t, m),
	}
	if t == nil || t.Crash == nil || t.Crash.Life != m.Life {
		return e
	}
	task := u.id.Task(m.Index).String()
	found := evidence{
		alone: t.Crash.Omitted == 0,
	}
	for _, r := range t.Crash.Runs {
		other, err := sesamework.ParseTask(r.Task)
		found.alone = found.alone && err == nil && other.Job == u.id.Job
		if r.Task == task && r.Run == u.run.Number {
			e.Outcome = sesamework.EndCrashed
			found.blamed = r.Ran >= 0 && r.Ran < blameWindow.Milliseconds()
		}
	}
	if lost := u.memberOf(m.Index); lost != nil {
		lost.crash = found
	}
	return e
}

// updateSuspicion takes the end of the unit's newest run into account. A unit
// that has run for isolationTime without a crash is no suspect. A recorded end
// that replaces a crash takes it back.
func (v *View) updateSuspicion(u *unit) {
	s := suspicion{
		suspect: u.run.Suspect,
	}
	crashes := maps.Clone(u.run.Crashes)
	crashed := false
	for _, m := range u.members {
		if m.outcome != sesamework.EndCrashed {
			continue
		}
		if crashes == nil {
			crashes = map[int]int{}
		}
		crashed = true
		crashes[m.Index]++
		n := crashes[m.Index]
		s.suspect = s.suspect || m.crash.blamed || n >= minCrashes
		s.givenUp = s.givenUp || m.crash.isProof(n)
	}
	s.suspect = s.suspect && (crashed || v.now.Steady-u.orderedAt < isolationTime)
	s.crashes = crashes
	u.suspicion = s
	if !crashed || u.job.isOver() {
		return
	}
	v.log.Emit(eventCrashes, sesamelog.Fields{
		"job":     u.id.Job,
		"unit":    u.id.String(),
		"run":     u.run.Number,
		"crashes": crashes,
		"suspect": s.suspect,
		"givenup": s.givenUp,
	})
}

// isProof reports whether the evidence of a crash under a task, the nth one,
// suffices to give the task up.
func (e evidence) isProof(n int) bool {
	return n >= maxCrashes || n >= minCrashes && e.alone && e.blamed
}

// isIsolated reports whether the unit's run, or its next one if it has none, must
// not share targets with other jobs.
func (v *View) isIsolated(u *unit) bool {
	return u.suspicion.suspect && (!u.isActive() || v.now.Steady-u.orderedAt < isolationTime)
}

// needsIsolation reports whether the unit, which has no run, waits for targets that
// it shares with no other job.
func (p *pass) needsIsolation(u *unit) bool {
	return u.suspicion.suspect && p.view.now.Steady-u.readySince < maxIsolationWait
}

// occupancy tells whose tasks are on a target.
type occupancy struct {
	// tasks counts them. job is that of the first one, and several says that
	// there are others.
	tasks   int
	job     string
	several bool
	// isolated says that the target must not be shared with other jobs.
	isolated bool
}

// addOccupant notes that a task of the unit is on the target.
func (p *pass) addOccupant(u *unit, target string) {
	o := p.occupants[target]
	if o.tasks == 0 {
		o.job = u.id.Job
	}
	o.tasks++
	o.several = o.several || o.job != u.id.Job
	if p.view.isIsolated(u) && !o.isolated {
		o.isolated = true
		p.isolated = append(p.isolated, target)
	}
	p.occupants[target] = o
}

// removeOccupant notes that one of the tasks has left the target.
func (p *pass) removeOccupant(target string) {
	o := p.occupants[target]
	o.tasks--
	if o.tasks <= 0 {
		delete(p.occupants, target)
		return
	}
	p.occupants[target] = o
}

// mayShare reports whether a task of the unit may be placed on the target beside
// what is there.
func (p *pass) mayShare(u *unit, t *target) bool {
	o := p.occupants[t.name]
	suspect := p.needsIsolation(u)
	if suspect && len(p.reservations[t.name]) > 0 {
		return false
	}
	if o.tasks == 0 {
		return !suspect || p.mayIsolateMore(u)
	}
	if o.job == u.id.Job && !o.several {
		return true
	}
	return !suspect && !o.isolated
}

// mayIsolateMore reports whether another target may be kept for suspects of the
// unit's service.
func (p *pass) mayIsolateMore(u *unit) bool {
	service := u.job.Terms.Service
	kept := 0
	for _, name := range p.isolated {
		if t, ok := p.view.targets[name]; ok && t.Service == service {
			kept++
		}
	}
	return kept < max(1, len(p.targetsByService[service])/targetsPerIsolated)
}

// hasIsolatedTarget reports whether a target is kept for the unit's job.
func (p *pass) hasIsolatedTarget(u *unit) bool {
	for _, name := range p.isolated {
		if p.occupants[name].job == u.id.Job {
			return true
		}
	}
	return false
}

// placeSuspect starts the unit where it shares no target with other jobs, or
// else reserves targets for it. Nothing is preempted for a suspect.
func (p *pass) placeSuspect(u *unit) {
	if targets := p.choose(u); targets != nil {
		p.start(u, targets)
		return
	}
	if !p.mayIsolateMore(u) || p.reservedUnits >= p.maxReservations() {
		return
	}
	if targets, wait := p.earliestFit(u); targets != nil {
		p.reservedUnits++
		p.reserve(u, targets, wait)
	}
}
