package sesameplanner

import "github.com/sesamestack/sesamestack/sesamemodel"

// Action says what a decision does with its job.
type Action string

// The verdicts.
const (
	// Place gives the job a new attempt, stopping the victims.
	Place Action = "place"
	// Refuse ends a job that can never run.
	Refuse Action = "refuse"
	// Move gives guaranteed shapes to other cells; it has no job.
	Move Action = "move"
)

// Decision is one change that must take effect whole.
type Decision struct {
	Action Action
	// Job is the job as it becomes; empty when the verdict has none.
	Job sesamemodel.Job
	// Victims are other jobs as they become: stopping, to be queued again.
	// Their allocations are gone from the cells where the job takes their
	// place, and stay elsewhere until they have stopped.
	Victims []sesamemodel.Job
	// Cells are the touched cells as they become.
	Cells []sesamemodel.Cell
}
