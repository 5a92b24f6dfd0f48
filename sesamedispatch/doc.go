// Package sesamedispatch is the scheduler of the hosted deployment: it decides
// which unit (a task, or a whole gang of tasks that start together) runs on
// which target and when, and which runs have to stop. View holds the state of
// the store's rows in memory and takes decisions without input or output.
// Planner takes part in a leader election: as the leader it reads the rows and
// writes the decisions, and when it can't go on, the planner of another process
// takes over.
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
