// Package sesamedemo shows the whole path in one process: a stand-in for the
// platform, entries, agents and stand-in targets on loopback, contracts, jobs,
// a preemption with its reason, and the completion times of each team.
//
// # Usage
//
//	err := sesamedemo.Run(ctx, os.Stdout, sesamelog.Discard())
//
// The error is an *UnexpectedError for the first job that ended other than it
// should.
package sesamedemo
