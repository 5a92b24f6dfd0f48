package sesamedispatch

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// maxQuarantineWait is how long a unit that has no other target waits for the end of
// a quarantine. The platform asks for a start within 3 s of when a task could run. A
// task that fails at once is not started there more often than this.
const maxQuarantineWait = 2 * time.Second

// areOfSeveralJobs reports whether units of more than one job are in the set.
func areOfSeveralJobs(units map[sesamework.UnitID]bool) bool {
	job := ""
	for id := range units {
		if job != "" && id.Job != job {
			return true
		}
		job = id.Job
	}
	return false
}

// chooseQuarantined returns what choose does for a unit that found no room on targets
// that accept work and for which a quarantine gives way after maxQuarantineWait:
// one that lasts, since it has no attempts to use up, or one that no other target
// could hold, on targets where only units of one job have failed. Nothing is reserved
// or preempted on targets in quarantine.
func (p *pass) chooseQuarantined(u *unit) []*target {
	quarantined := p.quarantined[u.job.Terms.Service]
	if len(quarantined) == 0 || p.view.now.Steady-u.readySince < maxQuarantineWait {
		return nil
	}
	usable, _ := p.eligibleTargets(u)
	if !u.step.LongRunning && p.couldHold(u, usable) {
		return nil
	}
	all := usable[:len(usable):len(usable)]
	for _, t := range quarantined {
		if t.hasLabel(u.step) && (u.step.LongRunning || !t.isSuspect) {
			all = append(all, t)
		}
	}
	if len(all) == len(usable) {
		return nil
	}
	return p.chooseAmong(u, all, groupByRack(all))
}

// isQuarantined reports whether nothing but a quarantine keeps runs of that service
// from the target.
func (v *View) isQuarantined(t *target, service string) bool {
	if v.now.Steady >= t.quarantinedUntil {
		return false
	}
	released := *t
	released.quarantinedUntil = 0
	return v.takesWork(&released, service)
}
