// Package sesamecontract holds the contracts in force on one process. What it
// holds only moves forward: a set with a lower number never replaces one with
// a higher number, in whatever order readings and hints arrive.
//
// Set and Holder do no input or output. Watch reads the store on a timer, and
// early on a hint.
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
//	contract, ok := set.Token(sesamecontract.Digest(token))
package sesamecontract
