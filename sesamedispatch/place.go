package sesamedispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// minRackWait is the least time that a unit waits for the rack in which it
	// is fast before it takes another.
	minRackWait = 2 * time.Second
	// claimTimeout is how long targets stay claimed for a unit while the runs
	// there are being stopped; stops take less than a second each.
	claimTimeout = 4 * time.Second
	// minAvoidWait is the least time that a unit waits for targets on which it has
	// not failed. The platform asks for a start within 3 s of when a task could run,
	// of which orders take a part.
	minAvoidWait = 2 * time.Second
)

// pass is one round of placing all ready units. It tracks the room that is left
// on each target.
type pass struct {
	view *View
	// d is the decision to which starts and stops are added.
	d *Decision
	// room is what active runs and the starts of this pass leave free, by
	// target.
	room map[string]sesamework.Resources
	// reservations hold, by target, the room that is set aside for blocked units
	// and for units that have a claim; reserved is its sum.
	reservations map[string][]reservation
	reserved     map[string]sesamework.Resources
	// reservedFrom is, by target, in how long the first of those units is
	// expected to fit; 0 for claims. Units that are expected to end before that
	// may use the reserved room (backfill).
	reservedFrom map[string]time.Duration
	// tasksOnTarget counts the tasks of one step and occurrence on one target:
	// the active ones, those that this pass starts, and those with a claim on it.
	tasksOnTarget map[spreadKey]int
	// owed is the unit that is being placed if it is owed its room; see isOwed.
	owed *unit
	// reservedUnits counts the blocked units for which room is reserved.
	reservedUnits int
	// urgentAccelerators counts, by team, the accelerators that urgent jobs
	// (those of priority 0) use or have claimed.
	urgentAccelerators map[string]int64
	// active holds the units of which a member may still use its target (see
	// isActive), and activeByTarget holds them by the targets of such members.
	active         []*unit
	activeByTarget map[string][]*unit
	// running holds, by job, the weight of the active units and of those that this
	// pass starts; held is the weight of all created units and maxCreated the most
	// that it should be. jobTasks caches jobTasksOn; see hasMemoryFor.
	running    map[*job]int
	held       int
	maxCreated int
	jobTasks   map[jobOnTarget]int
	// lacksSlots says that the unit for which targets are chosen was kept from some by
	// freeSlots; others may take these.
	lacksSlots bool
	// present is the pass of which this one simulates the future; nil otherwise.
	present *pass
	// halfUsed caches isHalfUsed by service.
	halfUsed map[string]bool
	// targetsByService holds the targets that accept work, by service, and
	// racksByService the same targets by rack.
	targetsByService map[string][]*target
	racksByService   map[string]rackGroups
	// quarantined holds the targets that accept no work because of a quarantine
	// alone, by service.
	quarantined map[string][]*target
	// tooLarge are units that found no room in this pass; see isTooLarge.
	tooLarge []*unit
	// victimsOf caches the runs that may be preempted, by target and by whether
	// the unit that needs the room is owed it (within its team's guarantee).
	victimsOf map[victimKey][]*unit
	// sortedReleases caches the result of releases, nil before its first call.
	sortedReleases []release
	// blocked holds the steps of which a unit found no room in this pass, with
	// an empty target. Their other units need the same room, so no place is
	// sought for them.
	blocked map[spreadKey]bool
	// occupants tells, by target, whose tasks are there, and isolated names the
	// targets that must not be shared with other jobs.
	occupants map[string]occupancy
	isolated  []string
	// borrowed holds the units whose runs are borrowed; see borrowedRuns.
	borrowed map[*unit]bool
	// jobs caches the amounts of work of jobs, and stops what is known of runs that
	// may be stopped; only used when the view orders by value.
	jobs  map[*job]jobWork
	stops map[*unit]sesamecontention.Running
	// speeds are the levels of speed of the targets; nil while these don't clearly
	// differ.
	speeds *speedLevels
}

// spreadKey identifies the tasks of one step and occurrence on one target, of
// which Step.MaxPerTarget bounds the number.
type spreadKey struct {
	job        string
	occurrence int
	step       int
	target     string
}

// spreadKey returns the key of the unit's step on the target; "" stands for no
// target, and so for the step itself.
func (u *unit) spreadKey(target string) spreadKey {
	return spreadKey{
		job:        u.id.Job,
		occurrence: u.id.Occurrence,
		step:       u.id.Step,
		target:     target,
	}
}

// place starts the ready units that fit, in their order, and makes room for
// others by reservations and preemption. Then it moves runs out of evacuated zones.
func (v *View) place(d *Decision) {
	candidates := v.sortedCandidates()
	moves := v.evacuatedRuns()
	if len(candidates)+len(moves) == 0 || !v.evacuation.mayStart() {
		return
	}
	p := v.newPass(d)
	if v.byValue {
		candidates = p.orderByValue(candidates)
	}
	p.speeds = v.newSpeedLevels(candidates)
	for _, c := range candidates {
		for u := range p.inOrder(c) {
			switch {
			case !p.hasMemoryFor(u):
				p.blocked[u.spreadKey("")] = true
			case p.needsIsolation(u):
				p.placeSuspect(u)
			default:
				p.placeUnit(u)
			}
		}
	}
	for _, u := range moves {
		p.move(u)
	}
}

// newPass returns a pass with the room that active runs and claims leave.
func (v *View) newPass(d *Decision) *pass {
	p := &pass{
		view:               v,
		d:                  d,
		room:               map[string]sesamework.Resources{},
		reservations:       map[string][]reservation{},
		reserved:           map[string]sesamework.Resources{},
		reservedFrom:       map[string]time.Duration{},
		tasksOnTarget:      map[spreadKey]int{},
		urgentAccelerators: map[string]int64{},

		activeByTarget:   map[string][]*unit{},
		running:          map[*job]int{},
		maxCreated:       v.maxCreated(),
		jobTasks:         map[jobOnTarget]int{},
		halfUsed:         map[string]bool{},
		targetsByService: map[string][]*target{},
		victimsOf:        map[victimKey][]*unit{},
		quarantined:      map[string][]*target{},
		blocked:          map[spreadKey]bool{},
		occupants:        map[string]occupancy{},
		jobs:             map[*job]jobWork{},
		stops:            map[*unit]sesamecontention.Running{},
	}
	for _, name := range slices.Sorted(maps.Keys(v.targets)) {
		t := v.targets[name]
		p.room[name] = t.Capacity
		if v.takesWork(t, t.Service) {
			p.targetsByService[t.Service] = append(p.targetsByService[t.Service], t)
		} else if v.isQuarantined(t, t.Service) {
			p.quarantined[t.Service] = append(p.quarantined[t.Service], t)
		}
	}
	p.racksByService = map[string]rackGroups{}
	for service, targets := range p.targetsByService {
		p.racksByService[service] = groupByRack(targets)
	}
	for _, u := range v.units {
		p.countUsage(u)
	}
	p.borrowed = borrowedRuns(p.active, v.policy)
	return p
}

// countUsage counts what the unit's active run uses, or what its claim
// reserves.
func (p *pass) countUsage(u *unit) {
	p.held += weightOf(len(u.members))
	if u.isActive() {
		p.active = append(p.active, u)
		p.running[u.job] += weightOf(len(u.members))
		if u.job.Terms.Priority == 0 {
			p.urgentAccelerators[u.job.Team] += u.accelerators()
		}
	}
	for _, m := range u.members {
		if m.outcome != "" {
			continue
		}
		p.occupy(u, m.Target)
		if list := p.activeByTarget[m.Target]; len(list) == 0 || list[len(list)-1] != u {
			p.activeByTarget[m.Target] = append(list, u)
		}
	}
	if u.isWaiting() && p.view.now.Steady < u.claim.until {
		p.holdClaim(u)
	}
	p.holdMove(u)
}

// occupy takes the room of one task on the target.
func (p *pass) occupy(u *unit, target string) {
	p.room[target] = p.room[target].Minus(u.step.Reservation())
	p.addOccupant(u, target)
	key := jobOnTarget{
		job:    u.job,
		target: target,
	}
	if _, known := p.jobTasks[key]; known {
		p.jobTasks[key]++
	}
	if u.step.MaxPerTarget > 0 {
		p.tasksOnTarget[u.spreadKey(target)]++
	}
}

// placeUnit starts the unit, or else preempts other runs or reserves room for
// it.
func (p *pass) placeUnit(u *unit) {
	v := p.view
	if len(u.claim.targets) > 0 && p.startClaimed(u) {
		return
	}
	step := u.spreadKey("")
	if p.blocked[step] {
		return
	}
	owed := p.admitOwed(u)
	if targets := p.choose(u); targets != nil {
		p.startOrTakeFaster(u, targets)
		return
	}
	p.blocked[step] = true
	if owed && p.makeOwedRoom(u) {
		// Another unit of the step may be owed room too.
		p.blocked[step] = false
		return
	}
	p.reportUnfit(u)
	urgent := u.job.Terms.Priority == 0 && !v.isCertainlyLate(u)
	if !urgent && p.reservedUnits >= p.maxReservations() {
		return
	}
	targets, wait := p.expectedFit(u)
	if urgent && p.needsPreemption(u, wait) && p.preempt(u, false, wait) {
		p.blocked[step] = false
		return
	}
	p.hold(u, targets, wait)
	v.log.Emit(eventWaiting, sesamelog.Fields{
		"job":  u.id.Job,
		"unit": u.id.String(),
	})
}

// start orders a run of the unit on the targets, one for each task.
func (p *pass) start(u *unit, targets []*target) {
	p.running[u.job] += weightOf(len(targets))
	p.held += weightOf(len(targets))
	for _, t := range targets {
		p.occupy(u, t.name)
	}
	if u.job.Terms.Priority == 0 {
		p.urgentAccelerators[u.job.Team] += u.accelerators()
	}
	p.d.Starts = append(p.d.Starts, Start{
		unit: u,
		run:  p.view.evacuation.limitStart(p.nextRun(u, targets)),
	})
}

// choose returns a target for each task of the unit, with room for it now, or
// nil when the unit has to wait.
func (p *pass) choose(u *unit) []*target {
	if !p.isTooLarge(u) {
		p.lacksSlots = false
		usable, racks := p.eligibleTargets(u)
		if chosen := p.chooseAmong(u, usable, racks); chosen != nil {
			return chosen
		}
		if u.mayRunAnywhere() && !p.lacksSlots {
			p.tooLarge = append(p.tooLarge, u)
		}
	}
	return p.chooseQuarantined(u)
}

// chooseAmong returns what choose does, but of the usable targets only.
func (p *pass) chooseAmong(u *unit, usable []*target, racks rackGroups) []*target {
	if u.step.Gang {
		return p.chooseGang(u, usable, racks)
	}
	return p.chooseSingle(u, usable)
}

// isTooLarge reports whether a unit that could run on any target, needs no more
// and ends no later has found no room in this pass: then the unit finds none
// either, since rooms only shrink. Work that is owed, or that passesReservations,
// may use room that is reserved against others.
func (p *pass) isTooLarge(u *unit) bool {
	if p.view.plain || p.owed == u || p.hasIsolatedTarget(u) || p.passesReservations(u) {
		return false
	}
	return slices.ContainsFunc(p.tooLarge, func(other *unit) bool {
		return other.job.Terms.Service == u.job.Terms.Service &&
			other.taskCount() <= u.taskCount() &&
			other.step.Reservation().Fits(u.step.Reservation()) &&
			other.expectedDuration() <= u.expectedDuration()
	})
}

// mayRunAnywhere reports whether nothing but room and service limits on which
// targets the unit may run now.
func (u *unit) mayRunAnywhere() bool {
	s := u.step
	return !u.suspicion.suspect && s.Label == "" && s.DataRack == "" && s.MaxPerTarget == 0 && !s.SameRack && len(u.avoid) == 0
}

// eligibleTargets returns the targets that accept work of the unit's service
// and have the label that its step needs, and the same by rack. While
// the unit avoids targets, it leaves out those on which it has failed, if the others
// could hold it when empty.
func (p *pass) eligibleTargets(u *unit) ([]*target, rackGroups) {
	service := u.job.Terms.Service
	avoids := p.avoidsTargets(u)
	if u.step.Label == "" && !avoids {
		return p.targetsByService[service], p.racksByService[service]
	}
	var fresh, all []*target
	for _, t := range p.targetsByService[u.job.Terms.Service] {
		if !t.hasLabel(u.step) {
			continue
		}
		all = append(all, t)
		if !slices.Contains(u.avoid, t.name) {
			fresh = append(fresh, t)
		}
	}
	if avoids && len(fresh) < len(all) && p.couldHold(u, fresh) {
		all = fresh
	}
	return all, groupByRack(all)
}

// avoidsTargets reports whether the unit waits for targets on which it has not
// failed, since the failure may have been the target's. What runs there may last, so
// the wait is bounded; see hasWaited.
func (p *pass) avoidsTargets(u *unit) bool {
	return len(u.avoid) > 0 && !p.hasWaited(u, minAvoidWait)
}

// tasksThatFit returns how many more tasks of the unit fit on the target now, at
// most taskCount; 0 if they may not share it with what is there. Reserved room
// counts as taken unless the unit is expected to end before reservedFrom
// (backfill).
func (p *pass) tasksThatFit(u *unit, t *target) int {
	if !p.mayShare(u, t) {
		return 0
	}
	room := p.room[t.name]
	if u.expectedDurationOn(t) >= p.reservedFrom[t.name] {
		room = room.Minus(p.reservedAgainst(u, t.name))
	}
	n := u.taskCount()
	need := u.step.Reservation()
	for _, d := range [][2]int64{
		{room.Cores, need.Cores},
		{room.Memory, need.Memory},
		{room.Accelerators, need.Accelerators},
	} {
		if d[0] < d[1] {
			return 0
		}
		if d[1] > 0 {
			n = min(n, int(d[0]/d[1]))
		}
	}
	if u.step.MaxPerTarget > 0 {
		n = min(n, u.step.MaxPerTarget-p.tasksOnTarget[u.spreadKey(t.name)])
	}
	if free := p.freeSlots(u, t); n > free {
		n = free
		p.lacksSlots = true
	}
	return max(0, n)
}

// chooseSingle returns the best of the usable targets, by compareTargets, on
// which a single task fits and whose rack acceptsRack allows, or nil.
func (p *pass) chooseSingle(u *unit, usable []*target) []*target {
	var best *target
	ranks := p.levelRanks(u)
	for _, t := range usable {
		if p.tasksThatFit(u, t) == 0 || !p.acceptsRack(u, t.Rack) {
			continue
		}
		if best == nil || p.compareTargets(u, t, best, ranks) < 0 {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return []*target{best}
}

// compareTargets orders targets by how well they suit the unit, the best first:
// near its data, then with few units that failed on it, then by the ranks of their
// speeds (see levelRanks), then with little room left (best fit).
func (p *pass) compareTargets(u *unit, a, b *target, ranks []int) int {
	return cmp.Or(
		cmp.Compare(rackDistance(u, a), rackDistance(u, b)),
		cmp.Compare(len(a.failedUnits), len(b.failedUnits)),
		p.compareSpeeds(ranks, a, b),
		cmp.Compare(p.room[a.name].Accelerators, p.room[b.name].Accelerators),
		cmp.Compare(p.room[a.name].Cores, p.room[b.name].Cores),
	)
}

// rackDistance returns 0 when the target is in the rack of the unit's data or
// the unit names no such rack, and 1 otherwise.
func rackDistance(u *unit, t *target) int {
	if u.step.DataRack == "" || u.step.DataRack == t.Rack {
		return 0
	}
	return 1
}

// acceptsRack reports whether the unit should run in the rack now rather than
// wait for the rack that holds its data. rack is empty for a target without one
// and for targets in several racks.
func (p *pass) acceptsRack(u *unit, rack string) bool {
	if u.step.DataRack == "" || rack == u.step.DataRack {
		return true
	}
	return p.hasWaitedForRack(u) || !p.rackCouldRun(u, u.step.DataRack)
}

// hasWaitedForRack reports whether the unit has waited long enough for the rack in
// which it is fast; see hasWaited.
func (p *pass) hasWaitedForRack(u *unit) bool {
	return p.hasWaited(u, minRackWait)
}

// rackCouldRun reports whether an eligible target of the rack could run one
// task of the unit if it were empty.
func (p *pass) rackCouldRun(u *unit, rack string) bool {
	usable, _ := p.eligibleTargets(u)
	return slices.ContainsFunc(usable, func(t *target) bool {
		return t.Rack == rack && u.step.Reservation().Fits(t.Capacity)
	})
}
