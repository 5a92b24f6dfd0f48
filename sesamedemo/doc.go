// Package sesamedemo runs the whole system in one process and prints what
// happens: an in-memory store in place of the platform, two entries, and
// agents with simulated targets, all on loopback addresses. It applies
// contracts, submits jobs, shows a preemption with its reason, and prints the
// completion times of each team.
//
// # Usage
//
//	err := sesamedemo.Run(ctx, os.Stdout, sesamelog.Discard())
//
// The error is an *UnexpectedStateError for the first job that ended in
// another state than expected.
package sesamedemo
