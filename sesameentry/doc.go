// Package sesameentry is the process on an entry VM: it serves callers,
// operators and agents, and plans which job runs where. It keeps no state of
// its own: every decision is one conditional transaction on the platform's
// table, so any entry can do any of the work at any time.
//
//	callers, operators -- HTTP --> sesameapi --hint--+
//	agents -- Heartbeat --> sesamekeeper ------hint--+--> forwarder -> planning
//	agents -- Finish -----> finisher ----------hint--+     (ring)       (ring)
//	                                                                      |
//	agents <-- Prepare, Open, Stop ---------- driver <--------------------+
//
// The duties of an entry are its background tasks, such as planning. A hint
// names rows that changed; the ring is the entry's bounded message queue.
//
// Leader election is by rendezvous hashing: the entry with the highest hash for
// a region plans for it. The others forward hints to it; when it does not
// answer, the one with the next lower hash plans. Two entries that plan at once
// only cost transaction conflicts, never a wrong allocation.
//
// # Usage
//
//	entry, err := sesameentry.New(settings, deps)
//	err = entry.Run(ctx)
package sesameentry
