package sesamekeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// TestSuperseded checks that a keeper takes a cell back, under a new epoch, which
// another entry kept for a while. That happens when both could not renew their
// membership during an outage. The first keeper must grant no lease until then.
func TestSuperseded(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, observe := range map[string]func(r *Registry, epoch uint64){
		"from a heartbeat": func(r *Registry, epoch uint64) {
			beat := announcement("w1", "i1")
			beat.Epoch = epoch
			r.Heartbeat(start, beat)
		},
		"from the row": func(r *Registry, epoch uint64) {
			row := emptyCell()
			row.Epoch = epoch
			r.TakeOver(row)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := NewRegistry("e1", testLease, testMargin)
			first.Heartbeat(start, announcement("w1", "i1"))
			row := writePending(first, start, emptyCell())
			second := NewRegistry("e2", testLease, testMargin)
			second.TakeOver(row)
			row = writePending(second, start, row)
			is.Equal(row.Keeper, "e2")

			observe(first, row.Epoch)
			is.Equal(first.Heartbeat(start, announcement("w1", "i1")).Lease, time.Duration(0))
			row = writePending(first, start, row)
			is.Equal(row.Keeper, "e1")
			grant := first.Heartbeat(start, announcement("w1", "i1"))
			is.Equal(grant.Epoch, row.Epoch)
			is.Equal(grant.Lease, testLease)
		})
	}
}

// emptyCell returns the row of a cell without a keeper and without targets.
func emptyCell() sesamemodel.Cell {
	return sesamemodel.Cell{
		ID: testCell,
	}
}
