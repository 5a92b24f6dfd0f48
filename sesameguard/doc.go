// Package sesameguard bounds what callers of an HTTP server can take of a
// process: connections, the bytes of their heads and bodies, and the decoding of
// these. It keeps a process within its memory and its descriptors whatever its
// callers send.
//
// Bounds that are reached are freed by those callers that have gone longest
// without progress, so that others are still served. A caller is refused with a
// status and a typed error, or its connection is closed; a request that was
// refused has not been handled.
//
// # Usage
//
//	guard := sesameguard.New(sesameguard.Options{
//		Name:        "callers",
//		Connections: 1000,
//		Bytes:       16 << 20,
//		Clock:       clockwork.NewRealClock(),
//		Log:         log,
//		Scope:       scope,
//	})
//	server := guard.NewServer(handler)
//	listener, err := guard.Listen(ctx, "10.0.0.5:8080")
//	// ...
//	err = server.Serve(listener)
//
// A handler reads a body with ReadBody.
package sesameguard
