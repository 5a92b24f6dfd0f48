// Package sesamereview checks the operators' configuration of a hosted deployment
// before it is sent: what an entry would serve wrongly or not at all, entries that
// can never match, limits that contradict each other, and what differs from the
// configuration in force. It does no input or output.
//
// # Usage
//
//	findings := sesamereview.Check(proposed, sesamereview.Options{
//		InForce: inForce,
//	})
//	if sesamereview.HasErrors(findings) {
//		// ...
//	}
//	changes := sesamereview.Compare(*inForce, proposed)
package sesamereview
