package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// index finds cells that can take a job.
type index struct {
	byID map[sesamemodel.CellID]*cellState
	// zones are in the order of their names.
	zones []*zoneState
	// capacity is what all targets offer together.
	capacity sesamemodel.Resources
	// targets counts all targets.
	targets int
	// largestRack is the most accelerators that one rack has had.
	largestRack int
}

// zoneState is the part of the index that one zone holds.
type zoneState struct {
	name string
	// cells are in the order of their names.
	cells []*cellState
}

func newIndex() *index {
	return &index{
		byID: map[sesamemodel.CellID]*cellState{},
	}
}

func (x *index) get(id sesamemodel.CellID) *cellState {
	return x.byID[id]
}

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
	z := x.zone(s.cell.Zone)
	at, found := slices.BinarySearchFunc(z.cells, s, compareCells)
	if found {
		z.cells[at] = s
		return
	}
	z.cells = slices.Insert(z.cells, at, s)
}

func (x *index) remove(s *cellState) {
	z := x.zone(s.cell.Zone)
	at, found := slices.BinarySearchFunc(z.cells, s, compareCells)
	if found {
		z.cells = slices.Delete(z.cells, at, at+1)
	}
	x.capacity = x.capacity.Minus(s.capacity)
	x.targets -= len(s.nodes)
	delete(x.byID, s.cell.ID)
}

func compareCells(a, b *cellState) int {
	return cmp.Compare(a.cell.ID, b.cell.ID)
}

func (x *index) zone(name string) *zoneState {
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
