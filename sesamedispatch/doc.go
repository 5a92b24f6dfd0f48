// Package sesamedispatch decides which task runs where and when, and which one
// has to stop. Book holds what the store's rows say and takes decisions
// without input or output; Planner reads the rows, writes the decisions and
// hands over to the planner of another process when it can't.
//
// # Usage
//
//	planner := sesamedispatch.NewPlanner(sesamedispatch.Options{
//		Store: store,
//		Clock: clock,
//	})
//	group.Go(func() error {
//		return planner.Run(ctx)
//	})
package sesamedispatch
