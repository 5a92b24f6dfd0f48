package sesamedispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sesamestack/sesamestack/sesamework"
)

// chooseGang returns a target for each member, on as few targets as possible,
// or nil when the gang has to wait. A gang that is fast only in one rack waits
// for room in one, as long as a rack could hold it and it has not waited too
// long.
func (p *pass) chooseGang(u *unit, usable []*target) []*target {
	if best := p.chooseRack(u, usable); best != nil {
		return best
	}
	if u.step.SameRack && p.anyRackCouldHold(u, usable) && !p.hasWaitedForRack(u) {
		return nil
	}
	if u.step.DataRack != "" && !p.acceptsRack(u, "") {
		return nil
	}
	return p.pack(u, usable)
}

// chooseRack returns targets in the acceptable rack that holds the gang and has
// the fewest free accelerators (best fit), or nil when no rack holds it now.
func (p *pass) chooseRack(u *unit, usable []*target) []*target {
	var best []*target
	left := int64(0)
	byRack := groupByRack(usable)
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		if !p.acceptsRack(u, rack) {
			continue
		}
		found := p.pack(u, byRack[rack])
		if found == nil {
			continue
		}
		room := p.freeAccelerators(byRack[rack])
		if best == nil || room < left {
			best = found
			left = room
		}
	}
	return best
}

// groupByRack returns the targets by the name of their rack.
func groupByRack(targets []*target) map[string][]*target {
	groups := map[string][]*target{}
	for _, t := range targets {
		groups[t.Rack] = append(groups[t.Rack], t)
	}
	return groups
}

// freeAccelerators returns how many accelerators of the targets are free.
func (p *pass) freeAccelerators(targets []*target) int64 {
	var sum int64
	for _, t := range targets {
		sum += p.room[t.name].Accelerators
	}
	return sum
}

// pack returns a target for each task of the unit, or nil when the targets
// don't hold all. It uses few targets: while none holds all remaining tasks, it
// fills the one that holds most, and ends with the one that just holds the
// rest.
func (p *pass) pack(u *unit, targets []*target) []*target {
	slots := map[*target]int{}
	total := 0
	for _, t := range targets {
		slots[t] = p.tasksThatFit(u, t)
		total += slots[t]
	}
	left := u.taskCount()
	if total < left {
		return nil
	}
	var chosen []*target
	for left > 0 {
		t := tightest(targets, slots, left, p)
		n := min(left, slots[t])
		for range n {
			chosen = append(chosen, t)
		}
		left -= n
		slots[t] = 0
	}
	return chosen
}

// tightest returns the target with the fewest slots (tasks that still fit) of
// those that hold need tasks, or else the one with the most slots.
func tightest(targets []*target, slots map[*target]int, need int, p *pass) *target {
	return slices.MinFunc(targets, func(a, b *target) int {
		enoughA, enoughB := slots[a] >= need, slots[b] >= need
		if enoughA != enoughB {
			return trueFirst(enoughA, enoughB)
		}
		if !enoughA {
			return cmp.Compare(slots[b], slots[a])
		}
		return cmp.Or(
			cmp.Compare(len(a.failedUnits), len(b.failedUnits)),
			cmp.Compare(slots[a], slots[b]),
			cmp.Compare(p.room[a.name].Accelerators, p.room[b.name].Accelerators),
		)
	})
}

// trueFirst compares two conditions for sorting: true comes before false.
func trueFirst(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return -1
	}
	return 1
}

// anyRackCouldHold reports whether some rack would hold the gang if it were
// empty.
func (p *pass) anyRackCouldHold(u *unit, usable []*target) bool {
	for _, targets := range groupByRack(usable) {
		if p.couldHold(u, targets) {
			return true
		}
	}
	return false
}

// couldHold reports whether the targets would hold the unit if they were empty.
func (p *pass) couldHold(u *unit, targets []*target) bool {
	empty := &pass{
		view:          p.view,
		room:          map[string]sesamework.Resources{},
		tasksOnTarget: map[spreadKey]int{},
	}
	for _, t := range targets {
		empty.room[t.name] = t.Capacity
	}
	return empty.pack(u, targets) != nil
}
