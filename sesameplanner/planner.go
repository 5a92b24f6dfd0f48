package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Options are the planner's fixed settings.
type Options struct {
	Region string
	// Packing is the weight of low fragmentation against completion time,
	// from 0 (time only) to 1 (packing only).
	Packing float64
}

// Planner decides which job runs where. It is owned by one goroutine.
type Planner struct {
	options Options
}

// New returns a planner that knows no contracts, cells or jobs.
func New(o Options) *Planner {
	return &Planner{
		options: o,
	}
}

// SetContracts replaces the contracts in force.
func (p *Planner) SetContracts(contracts []sesamemodel.Contract) {}

// SetCell adds or replaces one cell.
func (p *Planner) SetCell(cell sesamemodel.Cell) {}

// SetJob adds or replaces an open job; a job that has ended is removed.
func (p *Planner) SetJob(job sesamemodel.Job) {}

// RemoveJob forgets a job.
func (p *Planner) RemoveJob(id sesamemodel.JobID) {}

// Plan returns at most limit decisions, in the order in which they must take
// effect. The planner goes on as if they had; a caller whose commit failed
// sets the cells and jobs again as they really are.
func (p *Planner) Plan(now time.Time, limit int) []Decision {
	return nil
}

// Why says in a sentence why a queued job waits.
func (p *Planner) Why(id sesamemodel.JobID) string {
	return ""
}

// Admit assigns the guaranteed shapes of all contracts to cells, keeping the
// present assignment where it still holds. It returns the cells that change,
// or a *NoRoomError for the first shape that does not pack.
func Admit(contracts []sesamemodel.Contract, cells []sesamemodel.Cell) ([]sesamemodel.Cell, error) {
	return nil, nil
}
