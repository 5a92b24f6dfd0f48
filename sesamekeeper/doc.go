// Package sesamekeeper judges the heartbeats of targets. Each cell has one
// keeper, an entry that is named in the cell's row with an epoch; another
// entry takes over by a conditional write of the row with the next epoch.
//
// Book is the pure part: it takes heartbeats and times and says which leases
// to grant and which changes of a cell's row to write. Service answers the
// agents from the book and writes the changes.
//
//	agent -- Heartbeat --> Service -> Book     (no I/O while answering)
//	                       Run: Book -> cell rows, about every flushInterval
//
// # Usage
//
//	service := sesamekeeper.NewService(options)
//	err := service.Run(ctx)
package sesamekeeper
