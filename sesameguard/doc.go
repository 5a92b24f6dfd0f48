// Package sesameguard bounds what callers of a server can take of a process:
// connections, the bytes of their heads, with what their fields need, of their
// bodies and messages, and the decoding of bodies. It keeps a process within its
// memory and its descriptors whatever its callers send. Its listeners go on after
// errors of accepting connections.
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
// A handler drops the fields that it doesn't need with KeepFields and reads a body
// with ReadBody. With Options.Stream, the listener serves another protocol than HTTP
// and returns connections of type *Stream.
package sesameguard
