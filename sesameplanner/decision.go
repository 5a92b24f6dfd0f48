package sesameplanner

import "github.com/sesamestack/sesamestack/sesamemodel"

// Action says what a decision does.
type Action string

// The actions of a decision.
const (
	// Place starts a new attempt (one placement) of the job and stops the
	// victims.
	Place Action = "place"
	// Refuse ends a job that can never run.
	Refuse Action = "refuse"
	// Move assigns guaranteed shapes to other cells; such a decision has no
	// job.
	Move Action = "move"
)

// Decision is one change that the caller must commit in one transaction.
type Decision struct {
	Action Action
	// Job is the job after the decision; zero when the action is Move.
	Job sesamemodel.Job
	// Victims are the preempted jobs after the decision: stopping, then queued
	// again. On targets where the job replaces them, their allocations are
	// already gone from Cells; elsewhere they remain until the victim has
	// stopped.
	Victims []sesamemodel.Job
	// Cells are the changed cells after the decision.
	Cells []sesamemodel.Cell
}
