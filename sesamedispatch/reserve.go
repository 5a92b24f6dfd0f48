package sesamedispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// earliestFit returns the targets on which a blocked unit is expected to fit
// first, one for each task, and how long that takes from now. It returns nil
// and 0 if the unit would not fit after the ends of all active runs either.
func (p *pass) earliestFit(u *unit) ([]string, time.Duration) {
	usable, racks := p.eligibleTargets(u)
	groups := [][]*target{usable}
	if u.step.Gang && u.step.SameRack {
		groups = racks.inOrder()
	}
	var best []string
	var shortest time.Duration
	for _, targets := range groups {
		names, wait := p.earliestFitAmong(u, targets)
		if names != nil && (best == nil || wait < shortest) {
			best = names
			shortest = wait
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
		room:          map[string]sesamework.Resources{},
		tasksOnTarget: p.tasksOnTarget,
	}
	byName := make(map[string]*target, len(targets))
	slots := 0
	for _, t := range targets {
		byName[t.name] = t
		future.room[t.name] = p.room[t.name].Minus(p.reserved[t.name])
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
// the end of its run, the earliest first.
func (p *pass) releases() []release {
	if p.sortedReleases != nil {
		return p.sortedReleases
	}
	p.sortedReleases = []release{}
	for _, u := range p.active {
		after := p.view.remaining(u)
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
