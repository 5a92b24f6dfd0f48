package sesameentry

import (
	"context"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// backend gives the HTTP handler access to its entry's planning duty.
type backend struct {
	entry *Entry
}

var _ sesameapi.Backend = (*backend)(nil)

// Notify tells the planner that the HTTP handler wrote the job's row, and wakes
// the long polls on that job. It returns a *sesamering.FullError if the queue of
// hints is full.
func (b *backend) Notify(_ sesameapi.JobChange, job sesamemodel.Job) error {
	h := hintForJobs(job)
	h.Stale = true
	b.entry.api.RowsChanged(h.keys())
	return sesamering.Send(b.entry.ring, topicNotice, h)
}

// WaitReason returns the reason why a queued job waits, from this entry's
// planner or else from that of the entry that plans for the region. The reason
// is empty when neither knows it; the error is always nil.
func (b *backend) WaitReason(ctx context.Context, id sesamemodel.JobID) (string, error) {
	if reason := b.entry.planning.waitReason(id); reason != "" {
		return reason, nil
	}
	return b.entry.forwarder.askPlanner(ctx, id), nil
}

// Load returns how full the fuller one of the ring's two hint queues is, from 0
// to 1.
func (b *backend) Load() float64 {
	waiting := max(b.entry.ring.Len(topicPlan), b.entry.ring.Len(topicNotice))
	return float64(waiting) / ringSize
}

// CheckFits returns nil for every job: the planner refuses a job that can never
// run, since only the planner knows all targets.
func (b *backend) CheckFits(sesamemodel.Spec) error {
	return nil
}

// Admit is the admission control of contracts: it assigns their guaranteed
// shapes to cells and returns the cells changed by it, or a
// *sesameplanner.NoRoomError when a new shape does not fit.
func (b *backend) Admit(contracts []sesamemodel.Contract, cells []sesamemodel.Cell) ([]sesamemodel.Cell, error) {
	return sesameplanner.Admit(contracts, cells)
}

// Ready returns nil: an entry is ready for requests as soon as it serves.
func (b *backend) Ready() error {
	return nil
}

// keeperCells gives the keeper (the duty that grants agents their leases)
// access to the rows of cells, and sends the planner a hint of each row written.
type keeperCells struct {
	entry *Entry
}

// Cell returns the cell's row from the row cache, where it may be stale, or else
// from the store.
func (k keeperCells) Cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error) {
	return k.entry.rows.Cell(ctx, id)
}

// CommitCell writes the row if its version is still current, and sends a hint.
func (k keeperCells) CommitCell(ctx context.Context, cell sesamestore.Versioned[sesamemodel.Cell]) error {
	if err := k.entry.rows.CommitCell(ctx, cell); err != nil {
		return err
	}
	k.entry.forwarder.rowsChanged(hint{
		Cells: []sesamemodel.CellID{cell.Value.ID},
	})
	return nil
}
