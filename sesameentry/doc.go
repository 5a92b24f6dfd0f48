// Package sesameentry is the process on an entry VM. It keeps nothing: every
// decision is one conditional transaction on the platform's table, so any
// entry may take any part at any time.
//
//	callers, operators -- HTTP --> sesameapi --hint--+
//	agents -- Heartbeat --> sesamekeeper ------hint--+--> noticing --> planning
//	agents -- Finish -----> finishing ---------hint--+     (ring)       (ring)
//	                                                                      |
//	agents <-- Prepare, Open, Stop --------- driving <--------------------+
//
// The entry that rendezvous hashing prefers for the region plans for it. The
// others bring it hints of changed rows; when it does not answer, the next in
// order plans. Two planners at once cost conflicts and nothing else.
//
// # Usage
//
//	entry, err := sesameentry.New(settings, deps)
//	err = entry.Run(ctx)
package sesameentry
