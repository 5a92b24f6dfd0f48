package sesamedispatch

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// maxIdleWait is how long a job with nothing running waits for room that is
	// reserved for a blocked unit, while its service has much room; the platform
	// asks for a start within 3 s.
	maxIdleWait = 2 * time.Second
	// agedRuns is after how many times its expected duration, and minAgedWait after
	// how long at least, a blocked unit has waited so long that its reservation binds
	// such jobs too. Otherwise a stream of small jobs could keep a gang waiting for
	// ever.
	agedRuns    = 4
	minAgedWait = 10 * time.Second
)

// hold reserves the targets, on which a blocked unit is expected to fit in wait, if that
// isWorthHolding and not too many units hold some; nil targets mean that it won't fit.
func (p *pass) hold(u *unit, targets []string, wait time.Duration) {
	if targets == nil || p.reservedUnits >= p.maxReservations() || !p.isWorthHolding(u, targets, wait) {
		return
	}
	p.reservedUnits++
	p.reserve(u, targets, wait)
}

// isWorthHolding reports whether room should be set aside on the targets, one for each
// task, for a blocked unit that is expected to fit in wait: what would stand idle is
// then not more than the work of the unit. Work that is owed is always worth it.
func (p *pass) isWorthHolding(u *unit, targets []string, wait time.Duration) bool {
	if p.owed == u {
		return true
	}
	idle := 0.0
	tasks := map[string]int64{}
	for _, name := range targets {
		tasks[name]++
	}
	for name, n := range tasks {
		free := p.room[name].Minus(p.reserved[name])
		need := u.step.Need.Times(n)
		idle += sesamework.Resources{
			Cores:        max(0, min(free.Cores, need.Cores)),
			Accelerators: max(0, min(free.Accelerators, need.Accelerators)),
		}.CoreEquivalent()
	}
	return idle*wait.Seconds() <= u.work()
}

// bindsIdle reports whether room that is set aside for the unit until it fits in wait
// is also kept from jobs that passReservations lets through.
func (p *pass) bindsIdle(u *unit, wait time.Duration) bool {
	waited := p.view.now.Steady - u.readySince
	return wait <= maxIdleWait || waited >= max(minAgedWait, agedRuns*u.expectedDuration())
}

// passesReservations reports whether the unit may use room that is reserved for units
// that are not expected to fit soon: it has waited for maxIdleWait, and it mustNotIdle or
// lasts and has to be restarted, for which the platform asks at any load.
func (p *pass) passesReservations(u *unit) bool {
	if len(p.reservations) == 0 || p.view.now.Steady-u.readySince < maxIdleWait {
		return false
	}
	return u.step.LongRunning && u.run.Number > 0 || p.mustNotIdle(u)
}

// bindingOn returns the room on the target that is reserved by binding reservations.
func (p *pass) bindingOn(name string, binding func(reservation) bool) sesamework.Resources {
	var sum sesamework.Resources
	for _, r := range p.reservations[name] {
		if binding(r) {
			sum = sum.Plus(r.unit.step.Reservation())
		}
	}
	return sum
}
