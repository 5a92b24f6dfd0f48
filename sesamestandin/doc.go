// Package sesamestandin takes the platform's and the targets' place in tests
// and in the demo. Nothing in it lasts beyond its process.
//
// # Usage
//
// A store inside one process, with an outage:
//
//	store := sesamestandin.NewStore(clock)
//	store.SetFaults(sesamestandin.Faults{
//		Down: true,
//	})
//
// The same store as a process of its own, whose faults are set by
// POST /v1/faults:
//
//	err := http.ListenAndServe(address, sesamestandin.NewPlatform(store, log))
//
// A fleet of targets that grant leases, which notes what the promises forbid,
// and a store of rows with faults as one process sees it:
//
//	fleet := sesamestandin.NewFleet(options)
//	target := fleet.Add(id, life, room)
//	rows := sesamestandin.NewFaultyRows(sesamerows.NewMemory(clock), wall)
//
// A worker whose tasks do what their payload says:
//
//	err := http.ListenAndServe(address, sesamestandin.NewTarget(clock, description))
package sesamestandin
