package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// index holds the planner's cells, ordered for searches.
type index struct {
	byID map[sesamemodel.CellID]*cellState
	// zones are sorted by name.
	zones []*zoneState
	// capacity is the sum over all targets, ready or not.
	capacity sesamemodel.Resources
	// targets is the number of all targets.
	targets int
	// largestRack is the most accelerators that any rack has had on its ready
	// targets. It never shrinks, not even when that rack is removed.
	largestRack int
}

// zoneState holds the cells of one zone.
type zoneState struct {
	name string
	// cells are sorted by name.
	cells []*cellState
}

// newIndex returns an index without cells.
func newIndex() *index {
	return &index{
		byID: map[sesamemodel.CellID]*cellState{},
	}
}

// get returns the state of a cell, nil if the cell is unknown.
func (x *index) get(id sesamemodel.CellID) *cellState {
	return x.byID[id]
}

// set adds a cell or replaces its state, also when the cell has changed its zone.
func (x *index) set(s *cellState) {
	if old, ok := x.byID[s.cell.ID]; ok && old.cell.Zone != s.cell.Zone {
		x.remove(old)
	}
	if old, ok := x.byID[s.cell.ID]; ok {
		x.capacity = x.capacity.Minus(old.capacity)
		x.targets -= len(old.nodes)
	}
	x.capacity = x.capacity.Plus(s.capacity)
	x.targets += len(s.nodes)
	for _, r := range s.racks {
		x.largestRack = max(x.largestRack, r.capacity)
	}
	x.byID[s.cell.ID] = s
	z := x.ensureZone(s.cell.Zone)
	at, found := slices.BinarySearchFunc(z.cells, s, compareCells)
	if found {
		z.cells[at] = s
		return
	}
	z.cells = slices.Insert(z.cells, at, s)
}

// remove removes a cell and subtracts its capacity.
func (x *index) remove(s *cellState) {
	z := x.ensureZone(s.cell.Zone)
	at, found := slices.BinarySearchFunc(z.cells, s, compareCells)
	if found {
		z.cells = slices.Delete(z.cells, at, at+1)
	}
	x.capacity = x.capacity.Minus(s.capacity)
	x.targets -= len(s.nodes)
	delete(x.byID, s.cell.ID)
}

// compareCells orders cells by name.
func compareCells(a, b *cellState) int {
	return cmp.Compare(a.cell.ID, b.cell.ID)
}

// ensureZone returns the zone of that name. If the index has none, it adds an
// empty one.
func (x *index) ensureZone(name string) *zoneState {
	at, found := slices.BinarySearchFunc(x.zones, name, func(z *zoneState, name string) int {
		return cmp.Compare(z.name, name)
	})
	if !found {
		x.zones = slices.Insert(x.zones, at, &zoneState{
			name: name,
		})
	}
	return x.zones[at]
}
