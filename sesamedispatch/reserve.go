package sesamedispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// minReservations and targetsPerReservation bound the blocked units (those
	// that found no room) for which room is reserved in one pass: minReservations
	// and one more for each targetsPerReservation targets.
	minReservations       = 2
	targetsPerReservation = 30
)

// maxReservations returns for how many blocked units room may be reserved.
func (p *pass) maxReservations() int {
	return minReservations + len(p.view.targets)/targetsPerReservation
}

// reservation is room for one task of a unit that is set aside on a target. The
// unit is expected to fit from then on, as a time from now.
type reservation struct {
	unit *unit
	from time.Duration
	// firm says that the room is kept from work that is owed as well: the unit is
	// owed it, or has claimed it.
	firm bool
	// bindsIdle says that it is kept from jobs with nothing running too; see
	// passesReservations.
	bindsIdle bool
}

// reserve sets room aside for one task per entry of targets, which may repeat,
// against units later in order. The unit is expected to fit in wait; units that
// are expected to end before that may still use the room (backfill).
func (p *pass) reserve(u *unit, targets []string, wait time.Duration) {
	for _, name := range targets {
		p.reservations[name] = append(p.reservations[name], reservation{
			unit: u,
			from: wait,
			firm: p.owed == u || len(u.claim.targets) > 0,

			bindsIdle: p.bindsIdle(u, wait),
		})
		p.sumReservations(name)
	}
}

// reservedAgainst returns the room on the target that is set aside against the
// unit. If the unit is owed its room, only firm reservations count, and if it
// passesReservations, only those that bind it.
func (p *pass) reservedAgainst(u *unit, name string) sesamework.Resources {
	switch {
	case p.owed == u:
		return p.bindingOn(name, func(r reservation) bool { return r.firm })
	case p.passesReservations(u):
		return p.bindingOn(name, func(r reservation) bool { return r.firm || r.bindsIdle })
	}
	return p.reserved[name]
}

// unreserve undoes the unit's reservations on the targets.
func (p *pass) unreserve(u *unit, targets []string) {
	for _, name := range targets {
		p.reservations[name] = slices.DeleteFunc(p.reservations[name], func(r reservation) bool {
			return r.unit == u
		})
		p.sumReservations(name)
	}
}

// sumReservations computes reserved and reservedFrom of the target from its
// reservations.
func (p *pass) sumReservations(name string) {
	delete(p.reserved, name)
	delete(p.reservedFrom, name)
	for i, r := range p.reservations[name] {
		p.reserved[name] = p.reserved[name].Plus(r.unit.step.Reservation())
		if i == 0 || r.from < p.reservedFrom[name] {
			p.reservedFrom[name] = r.from
		}
	}
}

// earliestFit returns the targets on which a blocked unit is expected to end
// first, one for each task, and how long that takes from now. It returns nil
// and 0 if the unit would not fit after the ends of all active runs either.
func (p *pass) earliestFit(u *unit) ([]string, time.Duration) {
	usable, racks := p.eligibleTargets(u)
	groups := [][]*target{usable}
	if u.step.Gang && u.step.SameRack {
		groups = racks.inOrder()
	}
	if !p.acceptsRack(u, "") {
		// The unit would not use room that is reserved in other racks.
		groups = [][]*target{racks.targets[u.step.DataRack]}
	}
	var best []string
	var shortest, earliestEnd time.Duration
	for _, targets := range p.uniformGroups(u, groups) {
		names, wait := p.earliestFitAmong(u, targets)
		if names == nil {
			continue
		}
		if end := wait + p.durationOn(u, names); best == nil || end < earliestEnd {
			best = names
			shortest = wait
			earliestEnd = end
		}
	}
	return best, shortest
}

// release is room on a target that is expected to become free when a run ends.
// after is the time from now to that end.
type release struct {
	target string
	room   sesamework.Resources
	after  time.Duration
}

// earliestFitAmong returns what earliestFit does, but for these targets only: it
// simulates the ends of the active runs in their expected order until the unit
// fits on the targets.
func (p *pass) earliestFitAmong(u *unit, targets []*target) ([]string, time.Duration) {
	future := &pass{
		view:          p.view,
		present:       p,
		room:          map[string]sesamework.Resources{},
		tasksOnTarget: p.tasksOnTarget,
		occupants:     make(map[string]occupancy, len(targets)),

		targetsByService: p.targetsByService,
	}
	byName := make(map[string]*target, len(targets))
	slots := 0
	for _, t := range targets {
		byName[t.name] = t
		if o, ok := p.occupants[t.name]; ok {
			future.occupants[t.name] = o
		}
		future.room[t.name] = p.room[t.name].Minus(p.reservedAgainst(u, t.name))
		slots += future.tasksThatFit(u, t)
	}
	if slots >= u.taskCount() {
		return targetNames(future.pack(u, targets)), 0
	}
	for _, r := range p.releases() {
		t, ok := byName[r.target]
		if !ok {
			continue
		}
		slots -= future.tasksThatFit(u, t)
		future.removeOccupant(t.name)
		future.room[t.name] = future.room[t.name].Plus(r.room)
		slots += future.tasksThatFit(u, t)
		if slots >= u.taskCount() {
			return targetNames(future.pack(u, targets)), r.after
		}
	}
	return nil, 0
}

// targetNames returns the names of the targets in their order.
func targetNames(targets []*target) []string {
	list := make([]string, 0, len(targets))
	for _, t := range targets {
		list = append(list, t.name)
	}
	return list
}

// releases returns the room that each active member is expected to release at
// the end of its run, the earliest first. Runs that last have no end to wait for.
func (p *pass) releases() []release {
	if p.sortedReleases != nil {
		return p.sortedReleases
	}
	p.sortedReleases = []release{}
	for _, u := range p.active {
		if u.step.LongRunning && u.run.StopReason == "" && !p.d.stopping[u] {
			continue
		}
		after := p.view.expectedEnd(u) - p.view.now.Steady
		for _, m := range u.members {
			if m.outcome != "" {
				continue
			}
			p.sortedReleases = append(p.sortedReleases, release{
				target: m.Target,
				room:   u.step.Reservation(),
				after:  after,
			})
		}
	}
	slices.SortFunc(p.sortedReleases, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.target, b.target))
	})
	return p.sortedReleases
}
