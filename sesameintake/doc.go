// Package sesameintake takes callers' jobs: it accepts them into the store,
// cancels them and says in which state they are. It serves only under the
// newest policy that operators have put into force.
//
// # Usage
//
//	intake := sesameintake.New(sesameintake.Options{
//		Store: store,
//		Clock: clock,
//	})
//	admission, err := intake.Admit(host, path, key)
//	err = intake.Submit(ctx, admission, job, specification)
package sesameintake
