// Package sesamecontract holds the contracts of teams (their guarantees,
// limits and access tokens) that are in force on one process. Accepted changes
// are numbered without gaps, and a set of contracts has the number of its
// newest change. The number held never decreases, in whatever order reads and
// hints arrive.
//
// Set and Holder do no I/O. Watch polls the store, and reads it early on a
// hint that a change was accepted.
//
// # Usage
//
//	holder := sesamecontract.NewHolder()
//	watch := sesamecontract.NewWatch(store, holder, sesamecontract.WatchOptions{
//		Clock: clock,
//	})
//	group.Go(func() error {
//		return watch.Run(ctx)
//	})
//	set, err := watch.Fresh(ctx)
//	contract, ok := set.ByTokenDigest(sesamecontract.Digest(token))
package sesamecontract
