// Package sesamesoak plays random faults on the real programs: entries and
// agents as separate processes on one machine, behind proxies that delay, cut
// and reset their connections to the store, while signals stop, pause, kill
// and restart them. The emulated platform runs in the test's own process and
// notes what the promises forbid. It has test files only; docs/SOAK.md says how
// to run it.
//
// # Usage
//
//	go test ./sesamesoak -run Soak -soak-first 100 -soak-seeds 5 -v
package sesamesoak
