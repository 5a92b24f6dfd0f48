// Package sesametable reaches the platform's table and object service.
//
// Every write is a conditional transaction that carries a token of its own.
// When an answer is lost the client repeats the transaction and, on a conflict,
// reads the row back and looks for its token, so a caller learns what happened
// instead of guessing.
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
//		// read again and decide anew
//	}
package sesametable
