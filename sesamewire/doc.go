// Package sesamewire defines the RPC messages and services that sesamestack's
// processes use to call each other, and holds their dialer and server. The
// messages and services are generated from sesamewire.proto by `make generate`
// and committed.
//
// # Usage
//
//	client := sesamewire.NewDRPCAgentClient(conn)
//	reply, err := client.Prepare(ctx, &sesamewire.PrepareRequest{
//		Id: id,
//	})
package sesamewire
