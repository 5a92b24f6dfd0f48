// Package sesamestandin simulates the platform and the targets in tests and in
// the demo. It keeps everything in memory.
//
// # Usage
//
// A store in the process of its user, with an outage:
//
//	store := sesamestandin.NewStore(clock)
//	store.SetFaults(sesamestandin.Faults{
//		Down: true,
//	})
//
// The same store as a process of its own, whose faults are set by POST
// /v1/faults:
//
//	handler := sesamestandin.NewPlatformHandler(store, log)
//	err := http.ListenAndServe(address, handler)
//
// A fleet of targets that run tasks under leases and record violations of the
// promises to callers, and a row store that injects faults into the calls of
// one process:
//
//	fleet := sesamestandin.NewFleet(options)
//	target := fleet.Add(id, life, capacity)
//	rows := sesamestandin.NewFaultyRows(sesamerows.NewMemory(sesameclock.Wrap(clock)), clock)
//
// A target whose tasks do what their payload, a Script, says:
//
//	handler := sesamestandin.NewTargetHandler(clock, description)
//	err := http.ListenAndServe(address, handler)
package sesamestandin
