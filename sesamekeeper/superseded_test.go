package sesamekeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// TestSuperseded takes a cell back that another entry kept for a while, as when
// both could not renew their membership during an outage.
func TestSuperseded(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, learn := range map[string]func(b *Book, epoch uint64){
		"from a heartbeat": func(b *Book, epoch uint64) {
			beat := announced("w1", "i1")
			beat.Epoch = epoch
			b.Heartbeat(start, beat)
		},
		"from the row": func(b *Book, epoch uint64) {
			row := emptyCell()
			row.Epoch = epoch
			b.Want(row)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := NewBook("e1", testLease, testMargin)
			first.Heartbeat(start, announced("w1", "i1"))
			row := flush(first, start, emptyCell())
			second := NewBook("e2", testLease, testMargin)
			second.Want(row)
			row = flush(second, start, row)
			is.Equal(row.Keeper, "e2")

			learn(first, row.Epoch)
			is.Equal(first.Heartbeat(start, announced("w1", "i1")).Lease, time.Duration(0))
			row = flush(first, start, row)
			is.Equal(row.Keeper, "e1")
			grant := first.Heartbeat(start, announced("w1", "i1"))
			is.Equal(grant.Epoch, row.Epoch)
			is.Equal(grant.Lease, testLease)
		})
	}
}

func emptyCell() sesamemodel.Cell {
	return sesamemodel.Cell{
		ID: testCell,
	}
}
