// Package sesamegang decides the life of an attempt: on an agent, in the gang
// that the agent's member belongs to, and in the job's row once the members
// have reported. It is pure: events come in with a reading of the caller's
// monotonic clock, and a new value comes out with what is to be done.
//
// Agent holds the attempts of one agent. An attempt is prepared, opened, runs
// and ends; a stop leaves a tombstone, so that it never starts here again.
//
// The members of a gang form a tree of constant fan-out with member 0 at its
// root. Once a heartbeat, each member tells its parent the age of the oldest
// heartbeat in its part of the gang, and the reply says how long it may go on.
// The root grants one lease less the greatest age, and no level on the way down
// adds to it. When a member falls silent, no grant outlasts its last sign of
// life by more than one lease.
//
//	leaf -- age 0 --> inner member -- greatest age --> root
//	leaf <- remaining -- inner member <- lease - age -- root
//
// No two processes' clocks are compared. A reply carries its sender's reading;
// the next request returns it with the time that it was held, so the parent
// knows on its own clock a moment at which the child was surely alive, however
// long the request waited on the way.
//
// # Usage
//
//	agent := sesamegang.NewAgent(sesamegang.AgentOptions{
//		Incarnation: incarnation,
//		Times:       times,
//	})
//	agent, verdict := agent.Prepare(now, request)
//	agent, refusal, effects := agent.Open(now, key, incarnation)
//
//	after, settled := sesamegang.Conclude(now, job, reports)
package sesamegang
