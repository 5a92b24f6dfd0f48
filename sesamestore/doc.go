// Package sesamestore stores the values of sesamemodel as JSON in rows of the
// platform's table. It defines the row keys, the encoding, and which rows
// change in one transaction.
//
//	open/<region>/<job>       a job that has not ended
//	done/<job>                a job that has ended
//	cell/<region>/<cell>      a cell with its allocations and guarantees
//	contract/head             the number of the newest accepted change
//	contract/team/<team>      the newest change of the team's contract
//	contract/log/<number>     every accepted change, zero-padded
//	member/<entry>            an entry, written again regularly while it runs
//	payload/<job>/<request>   object: the caller's input
//	result/<job>/<attempt>/<rank>  object: the output of one task
//
// # Usage
//
//	store := sesamestore.New(table, objects)
//	job, err := store.Job(ctx, id)
//	err = store.Update(ctx, sesamestore.Batch{
//		Jobs:  []sesamestore.Versioned[sesamemodel.Job]{job.With(changed)},
//		Cells: cells,
//	})
package sesamestore
