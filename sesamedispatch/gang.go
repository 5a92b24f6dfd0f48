package sesamedispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sesamestack/sesamestack/sesamework"
)

// chooseGang returns a usable target for each task of the gang, or nil when it
// has to wait. A gang that is fast only in one rack waits for room in one,
// while some rack could hold it when empty and hasWaitedForRack is false.
func (p *pass) chooseGang(u *unit, usable []*target, racks rackGroups) []*target {
	if best := p.chooseUniformGang(u, usable); best != nil {
		return best
	}
	if best := p.chooseRack(u, racks); best != nil {
		return best
	}
	if u.step.SameRack && p.anyRackCouldHold(u, racks) && !p.hasWaitedForRack(u) {
		return nil
	}
	if u.step.DataRack != "" && !p.acceptsRack(u, "") {
		return nil
	}
	return p.pack(u, usable)
}

// chooseRack returns a target for each task of the gang, all in one rack, or
// nil when no rack that acceptsRack allows has room now. Of several racks, it
// takes the one with the fewest free accelerators (best fit).
func (p *pass) chooseRack(u *unit, racks rackGroups) []*target {
	var best []*target
	left := int64(0)
	for _, rack := range racks.names {
		if !p.acceptsRack(u, rack) {
			continue
		}
		found := p.pack(u, racks.targets[rack])
		if found == nil {
			continue
		}
		room := p.freeAccelerators(racks.targets[rack])
		if best == nil || room < left {
			best = found
			left = room
		}
	}
	return best
}

// rackGroups holds targets by the name of their rack, and these names in order.
type rackGroups struct {
	names   []string
	targets map[string][]*target
}

// groupByRack returns the targets by the name of their rack.
func groupByRack(targets []*target) rackGroups {
	groups := rackGroups{
		targets: map[string][]*target{},
	}
	for _, t := range targets {
		groups.targets[t.Rack] = append(groups.targets[t.Rack], t)
	}
	groups.names = slices.Sorted(maps.Keys(groups.targets))
	return groups
}

// inOrder returns the targets of each rack, in the order of the racks' names.
func (g rackGroups) inOrder() [][]*target {
	groups := make([][]*target, 0, len(g.names))
	for _, rack := range g.names {
		groups = append(groups, g.targets[rack])
	}
	return groups
}

// freeAccelerators returns how many accelerators of the targets are free,
// reserved ones included.
func (p *pass) freeAccelerators(targets []*target) int64 {
	var sum int64
	for _, t := range targets {
		sum += p.room[t.name].Accelerators
	}
	return sum
}

// pack returns a target for each task of the unit, or nil when the targets
// don't have room for all. It uses few targets: while none holds all remaining
// tasks, it fills the one that holds most, and then takes the tightest that
// holds the remaining ones.
func (p *pass) pack(u *unit, targets []*target) []*target {
	left := u.taskCount()
	counts := make([]int, len(targets))
	total := 0
	for i, t := range targets {
		counts[i] = p.tasksThatFit(u, t)
		total += counts[i]
	}
	if total < left {
		return nil
	}
	slots := make(map[*target]int, len(targets))
	for i, t := range targets {
		slots[t] = counts[i]
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

// tightest returns, of the targets that hold need tasks, the one with the
// fewest failed units, then the fewest slots (tasks that still fit), then the
// fewest free accelerators in p; if none holds need, the one with the most
// slots.
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

// anyRackCouldHold reports whether the usable targets of some rack would hold
// the gang if they were empty.
func (p *pass) anyRackCouldHold(u *unit, racks rackGroups) bool {
	for _, rack := range racks.names {
		if p.couldHold(u, racks.targets[rack]) {
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

		targetsByService: p.targetsByService,
	}
	for _, t := range targets {
		empty.room[t.name] = t.Capacity
	}
	return empty.pack(u, targets) != nil
}
