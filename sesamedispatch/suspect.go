package sesamedispatch

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// blameWindow is how recently a run must have been ordered for a crash of its
	// target to be blamed on it. If no run there is that recent, all are blamed.
	blameWindow = 2 * time.Second
	// isolationTime is how long a suspect's run has its targets to itself.
	isolationTime = 3 * time.Second
	// crashesToGiveUp is how many targets must crash under a unit, the last one
	// while only the unit's job was there, before the job fails. With maxCrashes
	// it fails in any case.
	crashesToGiveUp = 2
	maxCrashes      = 4
	// targetsPerIsolated bounds the targets that suspects have to themselves: one
	// for each targetsPerIsolated of the service, and at least one.
	targetsPerIsolated = 4
)

// suspicion is what is known of crashes of targets under a unit's runs.
type suspicion struct {
	// crashes counts the runs in which a target crashed.
	crashes int
	// suspect says that the unit may have caused one of them, so that its next
	// run shares no target with other jobs.
	suspect bool
	// blamed and alone are about the newest run: it is blamed for a crash, and
	// only its job was on a target that crashed.
	blamed bool
	alone  bool
}

// isGivenUp reports whether enough targets have crashed under the unit that it
// must not be started again.
func (u *unit) isGivenUp() bool {
	s := u.suspicion
	return !u.done && (s.crashes >= maxCrashes || s.crashes >= crashesToGiveUp && s.alone)
}

// endOfLost returns the end of a member whose target t is gone or has begun
// another life, and takes the target's crash, if it ended so, as evidence about
// the unit. t is nil for an unknown target.
func (v *View) endOfLost(t *target, u *unit, m member) sesamework.End {
	e := sesamework.End{
		Outcome:    sesamework.EndLost,
		Checkpoint: v.lastCheckpoint(t, u, m.Index),
	}
	if t == nil || t.Crash == nil || t.Crash.Life != m.Life {
		return e
	}
	task := u.id.Task(m.Index).String()
	exposed, recent, anyRecent, alone := false, false, false, true
	for _, r := range t.Crash.Runs {
		isRecent := r.Ran >= 0 && r.Ran < blameWindow.Milliseconds()
		anyRecent = anyRecent || isRecent
		other, err := sesamework.ParseTask(r.Task)
		alone = alone && err == nil && other.Job == u.id.Job
		if r.Task == task && r.Run == u.run.Number {
			exposed = true
			recent = isRecent
		}
	}
	if exposed {
		e.Outcome = sesamework.EndCrashed
		u.suspicion.blamed = u.suspicion.blamed || recent || !anyRecent
		u.suspicion.alone = u.suspicion.alone || alone
	}
	return e
}

// updateSuspicion takes the end of the unit's newest run into account. A unit
// that has run for isolationTime without a crash is no suspect.
func (v *View) updateSuspicion(u *unit) {
	crashed := false
	for _, m := range u.members {
		crashed = crashed || m.outcome == sesamework.EndCrashed
	}
	s := &u.suspicion
	if !crashed {
		s.suspect = s.suspect && v.now.Steady-u.orderedAt < isolationTime
		return
	}
	s.crashes++
	s.suspect = s.suspect || s.blamed || s.crashes >= crashesToGiveUp
	if u.job.isOver() {
		return
	}
	v.log.Emit(eventCrashes, sesamelog.Fields{
		"job":     u.id.Job,
		"unit":    u.id.String(),
		"run":     u.run.Number,
		"crashes": s.crashes,
		"suspect": s.suspect,
		"alone":   s.alone,
		"givenup": u.isGivenUp(),
	})
}

// isIsolated reports whether the unit's run, or its next one if it has none, must
// not share targets with other jobs.
func (v *View) isIsolated(u *unit) bool {
	return u.suspicion.suspect && (!u.isActive() || v.now.Steady-u.orderedAt < isolationTime)
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
	suspect := u.suspicion.suspect
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
	targets := p.targetsByService[u.job.Terms.Service]
	return len(p.isolated) < max(1, len(targets)/targetsPerIsolated)
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

// reservedRoom returns the room that the reservation sets aside on the target: a
// suspect needs all of it.
func (p *pass) reservedRoom(r reservation, target string) sesamework.Resources {
	if t, ok := p.view.targets[target]; ok && r.unit.suspicion.suspect {
		return t.Capacity
	}
	return r.unit.step.Reservation()
}
