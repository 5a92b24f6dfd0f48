package sesamedispatch

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// hasWaited reports whether the unit has waited long enough for targets that suit it
// better than those with room: for its expected duration, and at least the given
// time. One that lasts, or that mustNotIdle, waits no longer than that time.
func (p *pass) hasWaited(u *unit, least time.Duration) bool {
	waited := p.view.now.Steady - u.readySince
	if waited < least {
		return false
	}
	return u.step.LongRunning || waited >= u.expectedDuration() || p.mustNotIdle(u)
}

// mustNotIdle reports whether the unit's job has nothing running while less than half
// of its service's capacity is in use. The platform asks that such a job has a task
// running within 3 s if there is room for it.
func (p *pass) mustNotIdle(u *unit) bool {
	return p.running[u.job] == 0 && !p.isHalfUsed(u.job.Terms.Service)
}

// isHalfUsed reports whether runs use at least half of the service's accelerators, or
// of its cores if it has no accelerators.
func (p *pass) isHalfUsed(service string) bool {
	if half, ok := p.halfUsed[service]; ok {
		return half
	}
	var capacity, room sesamework.Resources
	for name, t := range p.view.targets {
		if t.Service == service && t.State != sesamework.TargetGone {
			capacity = capacity.Plus(t.Capacity)
			room = room.Plus(p.room[name])
		}
	}
	half := 2*room.Accelerators <= capacity.Accelerators
	if capacity.Accelerators == 0 {
		half = 2*room.Cores <= capacity.Cores
	}
	p.halfUsed[service] = half
	return half
}
