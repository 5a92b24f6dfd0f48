package sesameentry

import (
	"context"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// backend is what the HTTP handler needs of its entry.
type backend struct {
	entry *Entry
}

var _ sesameapi.Backend = (*backend)(nil)

// Notify tells the planner of a job's row that the handler wrote.
func (b *backend) Notify(_ sesameapi.Change, job sesamemodel.Job) error {
	h := hintForJobs(job)
	h.Stale = true
	b.entry.api.Wake(h.keys())
	return sesamering.Send(b.entry.ring, topicNotice, h)
}

// Why says why a queued job waits.
func (b *backend) Why(ctx context.Context, id sesamemodel.JobID) (string, error) {
	if reason := b.entry.planning.waitReason(id); reason != "" {
		return reason, nil
	}
	return b.entry.forwarder.askPlanner(ctx, id), nil
}

// Load is how full the ring to the planner is, from 0 to 1.
func (b *backend) Load() float64 {
	waiting := max(b.entry.ring.Len(topicPlan), b.entry.ring.Len(topicNotice))
	return float64(waiting) / ringSize
}

// Fits lets every job in: the planner refuses what can never run, since only
// it knows all targets.
func (b *backend) Fits(sesamemodel.Spec) error {
	return nil
}

// Admit assigns the guaranteed shapes to cells.
func (b *backend) Admit(contracts []sesamemodel.Contract, cells []sesamemodel.Cell) ([]sesamemodel.Cell, error) {
	return sesameplanner.Admit(contracts, cells)
}

// Ready lets new requests in.
func (b *backend) Ready() error {
	return nil
}

// keeperCells lets the keeper write cells, and tells the planner of them.
type keeperCells struct {
	entry *Entry
}

// Cell returns the row as last known, or reads it.
func (k keeperCells) Cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error) {
	return k.entry.rows.Cell(ctx, id)
}

// CommitCell writes the row.
func (k keeperCells) CommitCell(ctx context.Context, cell sesamestore.Versioned[sesamemodel.Cell]) error {
	if err := k.entry.rows.CommitCell(ctx, cell); err != nil {
		return err
	}
	k.entry.forwarder.rowsChanged(hint{
		Cells: []sesamemodel.CellID{cell.Value.ID},
	})
	return nil
}
