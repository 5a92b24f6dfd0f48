// Package sesameintake takes callers' jobs: it accepts them into the store,
// cancels them and answers which state they are in. It serves only under the
// newest policy that operators have put into force. A policy holds the queues,
// the teams and their access keys.
//
// # Usage
//
//	intake := sesameintake.New(sesameintake.Options{
//		Store:  store,
//		Source: source,
//		Clock:  clock,
//	})
//	admission, err := intake.Admit(host, path, key)
//	err = intake.Submit(ctx, admission, job, specification)
package sesameintake
