// Package sesamegang is the state machine of an attempt, which is one placement
// of a job. It covers the attempt's part on one agent, the lease that the
// members of a gang share, and the outcome that is recorded in the job's row
// once the members have reported. The package does no I/O: each method takes an
// event with a reading of the caller's monotonic clock, and returns a new value
// with the effects that the caller has to carry out.
//
// Agent holds the attempts of one agent. An attempt is prepared, opened, runs
// and ends. A stop leaves a tombstone, so that the attempt never starts on this
// agent afterwards.
//
// A gang is an attempt whose tasks run on several targets; the part on one
// target is a member. The members form a tree of constant fan-out with member 0
// at its root. Once per heartbeat interval, each member sends its parent the age
// of the oldest heartbeat in its subtree, and the reply says how long the member
// may go on. The root grants one lease minus the greatest age, and no level
// below it adds to that. When a member falls silent, no grant therefore outlasts
// its last heartbeat by more than one lease.
//
//	leaf -- age 0 --> inner member -- greatest age --> root
//	leaf <- remaining -- inner member <- lease - age -- root
//
// Clocks of different processes are never compared. A reply carries a reading of
// the parent's clock. The child's next request returns that reading and the time
// since it was received. The parent adds the two and gets a time on its own
// clock at which the child was certainly alive, however long the request was
// delayed on the way.
//
// # Usage
//
//	agent := sesamegang.NewAgent(sesamegang.AgentOptions{
//		Incarnation: incarnation,
//		Times:       times,
//	})
//	agent, effects, answer := agent.Prepare(now, request, input)
//	agent, effects, answer = agent.Open(now, key, incarnation)
//
//	after, settled := sesamegang.Conclude(now, job, reports, retryPolicy)
package sesamegang
