// Package sesamewire holds the messages and services that the processes of
// sesamestack use among themselves. The code is generated from
// sesamewire.proto by `make generate` and committed.
//
// # Usage
//
//	client := sesamewire.NewDRPCAgentClient(conn)
//	reply, err := client.Prepare(ctx, &sesamewire.PrepareRequest{
//		Id: id,
//	})
package sesamewire
