// Package sesamekeeper grants leases to targets in answer to their heartbeats,
// and marks targets lost that stop sending them. Each cell, a group of
// neighbouring targets, has one keeper: the entry that is named in the cell's row
// together with an epoch. Another entry takes over the cell by a conditional write
// of the row with the next epoch, so that at most one of them succeeds.
//
// Registry is the part without I/O: it takes heartbeats and times, and decides
// which leases to grant and which changes of a cell's row to write. Service
// answers the agents from the registry and writes the changes.
//
//	agent -- Heartbeat --> Service -> Registry     (no I/O while answering)
//	                       Run: Registry -> cell rows, about every flushInterval
//
// # Usage
//
//	service := sesamekeeper.NewService(options)
//	err := service.Run(ctx)
package sesamekeeper
