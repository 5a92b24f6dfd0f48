package sesamedispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

// isOwed reports whether the unit is owed its accelerators: its job is urgent,
// and the team's guarantee covers them in addition to those that the team's
// urgent jobs use or have claimed already.
func (p *pass) isOwed(u *unit) bool {
	guaranteed := p.view.policy.GuaranteedAccelerators(u.job.Team)
	return u.job.Terms.Priority == 0 && guaranteed > 0 &&
		p.urgentAccelerators[u.job.Team]+u.accelerators() <= guaranteed
}

// admitOwed reports whether the unit is owed its room, and if so lets it use the room
// that is reserved for units that are not; see reservedAgainst.
func (p *pass) admitOwed(u *unit) bool {
	if !p.isOwed(u) {
		return false
	}
	p.owed = u
	return true
}

// borrowedRuns returns the set of those units in active that belong to urgent
// jobs and whose runs their teams' guarantees don't cover. Runs count against
// the guarantee in the order of their start orders, and one that would exceed it
// is borrowed.
func borrowedRuns(active []*unit, policy *sesamework.Policy) map[*unit]bool {
	var urgent []*unit
	for _, u := range active {
		if u.job.Terms.Priority == 0 {
			urgent = append(urgent, u)
		}
	}
	slices.SortFunc(urgent, func(a, c *unit) int {
		return cmp.Or(cmp.Compare(a.run.OrderedAt, c.run.OrderedAt), cmp.Compare(a.id.String(), c.id.String()))
	})
	used := map[string]int64{}
	borrowed := map[*unit]bool{}
	for _, u := range urgent {
		if used[u.job.Team]+u.accelerators() > policy.GuaranteedAccelerators(u.job.Team) {
			borrowed[u] = true
			continue
		}
		used[u.job.Team] += u.accelerators()
	}
	return borrowed
}

// needsPreemption reports whether an urgent unit ends in time only if it starts
// now: it can still be in time, but not after waiting until it is expected to
// fit; wait is from earliestFit.
func (p *pass) needsPreemption(u *unit, wait time.Duration) bool {
	v := p.view
	if v.byValue {
		return u.job.Terms.Priority == 0 && p.waiting(u).Gain(wait) > 0
	}
	return u.job.Terms.Priority == 0 && !v.isCertainlyLate(u) && v.now.Store+wait > v.latestStart(u)
}

// maxLossRatio is the highest cost (see stopCost) of a preemption for a unit
// that is not owed, as a multiple of the work of the unit itself; see
// docs/design/platform.md for the trials.
const maxLossRatio = 1

// eviction is a plan to make room for a unit: the target of each task, the runs
// to stop on those targets (victims), and the cost of stopping them in
// core-seconds.
type eviction struct {
	targets []string
	victims []*unit
	cost    float64
}

// preempt orders the runs to stop that cheapestEviction chooses to make room for
// the unit, and claims the eviction's targets for the unit. It returns false, and
// stops nothing, if no choice makes room, or if the unit is not owed (see isOwed)
// and doesn't pay off; wait is in how long it is expected to fit without.
func (p *pass) preempt(u *unit, owed bool, wait time.Duration) bool {
	best, ok := p.cheapestEviction(u, owed)
	if !ok || !owed && !p.paysOff(u, best, wait) {
		return false
	}
	for _, v := range best.victims {
		p.d.stop(v, stopPreempted)
	}
	u.claim = claim{
		targets: best.targets,
		until:   p.view.now.Steady + claimTimeout,
	}
	p.holdClaim(u)
	p.view.log.Emit(eventClaimed, sesamelog.Fields{
		"job":     u.id.Job,
		"unit":    u.id.String(),
		"team":    u.job.Team,
		"owed":    owed,
		"used":    p.urgentAccelerators[u.job.Team],
		"targets": best.targets,
		"victims": len(best.victims),
		"cost":    best.cost,
	})
	return true
}

// paysOff reports whether the eviction costs less than the unit gains that would
// otherwise fit after that wait: by value, or else at most maxLossRatio times the
// unit's work.
func (p *pass) paysOff(u *unit, e eviction, wait time.Duration) bool {
	if p.view.byValue {
		return p.loss(e.victims, wait) < p.waiting(u).Gain(wait)
	}
	return e.cost <= maxLossRatio*u.work()
}

// cheapestEviction returns the eviction of the least cost; false means that
// there is none. For a gang that is fast only in one rack it looks within each
// rack first, and over all racks only when none can hold the gang. Where targets
// differ in speed, it looks among those that are fast enough; only a unit that is
// owed its room takes others.
func (p *pass) cheapestEviction(u *unit, owed bool) (eviction, bool) {
	usable, racks := p.eligibleTargets(u)
	if fast := p.evictionTargets(u, usable); len(fast) < len(usable) {
		best, ok := p.cheapestEvictionAmong(u, fast, groupByRack(fast), owed)
		if ok || !owed {
			return best, ok
		}
	}
	return p.cheapestEvictionAmong(u, usable, racks, owed)
}

// cheapestEvictionAmong returns what cheapestEviction does, but for these targets
// only, which racks holds by rack.
func (p *pass) cheapestEvictionAmong(u *unit, usable []*target, racks rackGroups, owed bool) (eviction, bool) {
	groups := [][]*target{usable}
	if u.step.Gang && u.step.SameRack {
		groups = racks.inOrder()
	}
	best, ok := p.cheapestEvictionIn(u, groups, owed)
	if !ok && len(groups) > 1 {
		best, ok = p.cheapestEvictionIn(u, [][]*target{usable}, owed)
	}
	return best, ok
}

// cheapestEvictionIn returns the eviction of the least cost within any one of
// the groups of targets; false means that no group can hold the unit.
func (p *pass) cheapestEvictionIn(u *unit, groups [][]*target, owed bool) (eviction, bool) {
	var best eviction
	found := false
	for _, targets := range groups {
		e, ok := p.planEviction(u, targets, owed)
		if ok && (!found || e.cost < best.cost) {
			best = e
			found = true
		}
	}
	return best, found
}

// planEviction finds room for the unit's tasks among the targets, for one task
// after the other, each at the least additional cost. It returns false when a
// task finds none.
func (p *pass) planEviction(u *unit, targets []*target, owed bool) (eviction, bool) {
	var e eviction
	room := maps.Clone(p.room)
	for name := range p.reserved {
		room[name] = room[name].Minus(p.reservedAgainst(u, name))
	}
	p.addStoppingRoom(room)
	for range u.taskCount() {
		var best eviction
		var name string
		found := false
		for _, t := range targets {
			step, ok := p.planEvictionOn(u, t, room, e, owed)
			if ok && (!found || step.cost < best.cost) {
				best = step
				name = t.name
				found = true
			}
		}
		if !found {
			return eviction{}, false
		}
		for _, v := range best.victims {
			addRoom(room, v)
		}
		room[name] = room[name].Minus(u.step.Reservation())
		e.targets = append(e.targets, name)
		e.victims = append(e.victims, best.victims...)
		e.cost += best.cost
	}
	return e, true
}

// addStoppingRoom adds to room, by target, what the runs use that have been
// ordered to stop.
func (p *pass) addStoppingRoom(room map[string]sesamework.Resources) {
	for _, u := range p.active {
		if u.run.StopReason != "" || p.d.stopping[u] {
			addRoom(room, u)
		}
	}
}

// addRoom adds to room, by target, what the unit's active members use.
func addRoom(room map[string]sesamework.Resources, u *unit) {
	for _, m := range u.members {
		if m.outcome == "" {
			room[m.Target] = room[m.Target].Plus(u.step.Reservation())
		}
	}
}

// planEvictionOn returns the runs to stop on one target so that one more task
// of the unit fits on it, and whether that is possible. chosen is the eviction
// for the unit's earlier tasks; room is what will be free on each target, by
// name, once the victims of chosen and all stopping runs have ended.
func (p *pass) planEvictionOn(
	u *unit, t *target, room map[string]sesamework.Resources, chosen eviction, owed bool,
) (eviction, bool) {
	var e eviction
	if p.occupants[t.name].isolated && p.occupants[t.name].job != u.id.Job {
		return e, false
	}
	if u.step.MaxPerTarget > 0 && p.tasksOnTarget[u.spreadKey(t.name)]+countName(chosen.targets, t.name) >= u.step.MaxPerTarget {
		return e, false
	}
	need := u.step.Reservation()
	left := room[t.name]
	for _, v := range p.victims(t, owed) {
		if need.Fits(left) {
			break
		}
		if slices.Contains(chosen.victims, v) {
			continue
		}
		left = left.Plus(v.step.Reservation().Times(int64(v.tasksOn(t.name))))
		e.victims = append(e.victims, v)
		e.cost += p.stopCost(v)
	}
	if p.view.byValue {
		e = p.withoutNeedless(e, need, left, t.name)
	}
	return e, need.Fits(left)
}

// countName returns how many times the name is in the list.
func countName(names []string, name string) int {
	n := 0
	for _, other := range names {
		if other == name {
			n++
		}
	}
	return n
}

// tasksOn returns how many active members the unit has on the target.
func (u *unit) tasksOn(target string) int {
	n := 0
	for _, m := range u.members {
		if m.outcome == "" && m.Target == target {
			n++
		}
	}
	return n
}

// victimKey identifies a list of the runs that may be preempted on a target, by
// whether the unit that needs the room is owed it.
type victimKey struct {
	target string
	owed   bool
}

// victims returns the runs on the target that may be preempted, in the order in
// which they should be: those that are not urgent first, then those of the
// least cost per accelerator. Urgent runs may be stopped only if they are
// borrowed and the unit that needs the room is owed it.
func (p *pass) victims(t *target, owed bool) []*unit {
	key := victimKey{
		target: t.name,
		owed:   owed,
	}
	all, ok := p.victimsOf[key]
	if !ok {
		for _, u := range p.activeByTarget[t.name] {
			if (u.job.Terms.Priority > 0 || owed && p.borrowed[u]) && (owed || !p.isProtected(u)) {
				all = append(all, u)
			}
		}
		slices.SortFunc(all, func(a, b *unit) int {
			return cmp.Or(
				cmp.Compare(b.job.Terms.Priority, a.job.Terms.Priority)*p.differInUrgency(a, b),
				trueFirst(!p.isProtected(a), !p.isProtected(b)),
				cmp.Compare(p.stopCostPerAccelerator(a), p.stopCostPerAccelerator(b)),
				cmp.Compare(a.id.String(), b.id.String()),
			)
		})
		p.victimsOf[key] = all
	}
	return slices.DeleteFunc(slices.Clone(all), func(u *unit) bool {
		return u.run.StopReason != "" || p.d.stopping[u]
	})
}

// differInUrgency returns 1 when exactly one of the runs is urgent, and 0
// otherwise. As a factor, it makes a comparison of priorities count only
// between urgent and other runs.
func (p *pass) differInUrgency(a, b *unit) int {
	if (a.job.Terms.Priority == 0) == (b.job.Terms.Priority == 0) {
		return 0
	}
	return 1
}

// stopCostPerAccelerator returns the stopCost divided by the run's
// accelerators.
func (p *pass) stopCostPerAccelerator(u *unit) float64 {
	return p.stopCost(u) / float64(max(1, u.accelerators()))
}

// stopCost returns what stopping the unit's run costs, in core-seconds: the
// work that is lost, and for an urgent one also that it is likely to end late.
func (p *pass) stopCost(u *unit) float64 {
	if p.view.byValue {
		return p.loss([]*unit{u}, 0)
	}
	cost := p.view.lostWork(u)
	if u.job.Terms.Priority == 0 {
		cost += lateUrgentRatio * u.work()
	}
	return cost
}

// lateUrgentRatio is what stopping an urgent run costs beyond the lost work,
// since it is then likely to end late: a multiple of the unit's expected work
// in core-seconds.
const lateUrgentRatio = 4

// work returns the expected core-seconds of the unit, accelerators included at
// their equivalent in cores.
func (u *unit) work() float64 {
	return u.step.Need.CoreEquivalent() * float64(u.taskCount()) * u.expectedDuration().Seconds()
}

// restartTime is the least run time that a stopped run loses: the time that the
// stop, the next start, and the delivery of both orders take.
const restartTime = time.Second

// lostWork returns the core-seconds that are lost when the unit's run is
// stopped now. Without checkpoints, that includes all its work so far.
func (v *View) lostWork(u *unit) float64 {
	lost := restartTime
	if !u.step.Checkpoints {
		lost += v.now.Steady - u.orderedAt
	}
	return u.step.Need.CoreEquivalent() * float64(u.taskCount()) * lost.Seconds()
}
