// Package sesameplanner decides which job runs where and when.
//
// The package is pure: it does no input or output, reads no clock and starts
// no goroutine. A Planner keeps an index of cells and open jobs; each decision
// names the job, its victims and the touched cells as they become, for the
// caller to commit in one transaction.
//
// Work that fits the unused guarantees of its team is placed first, by urgency
// and then by lateness, and stops borrowers where it must. What is left is
// lent to the team with the smallest weighted share.
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
