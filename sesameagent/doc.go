// Package sesameagent is the process beside each target. An agent announces
// its target to the keeper, which is the entry that manages the target's cell,
// and holds a lease from it. It starts and stops tasks for entries, takes part
// in the heartbeats of gangs, and reports the outcomes of attempts.
//
// The pure package sesamegang decides what an attempt may do. This package
// passes it the calls and timeouts, and carries out the effects that it
// returns. Each loop and server runs in a goroutine of its own. They share the
// state, and effects reach their handlers over bounded queues:
//
//	entry: Prepare, Open, Stop -> agentServer -> state -> onStart, onHalt -> target
//	agent: Gang -> agentServer -> state -> gangHeartbeatLoop -> parent agent
//	heartbeatLoop <-> keeper, then state -> onLease -> target
//	target -> pollLoop -> object store, state -> reportLoop -> keeper
//
// # Usage
//
//	agent := sesameagent.New(settings, sesameagent.Deps{
//		Target:  sesametarget.NewClient(settings.Target, httpClient),
//		Objects: objects,
//		Dialer:  sesamewire.NewDialer(sesamewire.DialOptions{}),
//		Clock:   clockwork.NewRealClock(),
//		Log:     log,
//		Scope:   scope,
//		Metrics: reporter.HTTPHandler(),
//	})
//	err := agent.Run(ctx)
package sesameagent
