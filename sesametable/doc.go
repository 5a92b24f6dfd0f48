// Package sesametable is the client of the platform's table and object store.
//
// Every write is a conditional transaction (optimistic concurrency on row
// versions) that carries a token of its own. When the answer is lost, the
// client repeats the transaction. If that meets a conflict, it reads the row
// back and looks for its token, so the caller learns whether the write took
// effect instead of having to guess.
//
// A Client is made of three layers: single HTTP calls, a Guard with a circuit
// breaker and rate limits, and a RetryingTable.
//
// # Usage
//
//	err := table.Commit(ctx, sesametable.Transaction{
//		Puts: []sesametable.Put{
//			{Key: "open/j1", Version: 0, Value: value},
//		},
//	})
//	var conflict *sesametable.ConflictError
//	if errors.As(err, &conflict) {
//		// read the rows again and build a new transaction
//	}
package sesametable
