// Package sesamesoak runs the real programs under random faults. Entries and
// agents are separate processes on one VM. They reach the store through
// proxies that delay, cut and reset connections, while signals stop, pause,
// kill and restart the processes. The emulated platform runs in the test's own
// process and records every violation of the promises to callers, such as a
// task that runs twice. The package has test files only; docs/SOAK.md says how
// to run it.
//
// # Usage
//
//	go test ./sesamesoak -run Soak -soak-first 100 -soak-seeds 5 -v
package sesamesoak
