// Package sesameplanner decides which job runs on which targets, and when.
//
// The package is pure: it does no input or output, reads no clock and starts
// no goroutine. A Planner keeps an index of cells (groups of neighbouring
// targets) and open jobs. Each decision holds the job, the jobs preempted for
// it (its victims) and the changed cells as they are after it, for the caller
// to commit in one transaction.
//
// Jobs that fit into unused guarantees of their team are owed work. They are
// placed first, by urgency and then by due time, and preempt borrowers where
// necessary. Remaining capacity is lent to the team with the smallest weighted
// share (weighted dominant resource fairness).
//
// # Usage
//
//	planner := sesameplanner.New(sesameplanner.Options{
//		Region:  "north",
//		Packing: 0.5,
//	})
//	planner.SetContracts(contracts)
//	for _, cell := range cells {
//		planner.SetCell(cell)
//	}
//	for _, job := range jobs {
//		planner.SetJob(job)
//	}
//	for _, decision := range planner.Plan(clock.Now(), limit) {
//		commit(decision)
//	}
package sesameplanner
