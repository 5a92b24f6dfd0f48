// Package sesameagent is the process beside each target. It announces the
// target, holds its lease, starts and stops tasks on behalf of entries, takes
// part in the heartbeats of gangs, and hands over results.
//
// What an attempt may do is decided by the pure package sesamegang; this
// package moves its events and effects. Each duty runs by itself and is joined
// to the others by bounded rings:
//
//	entry -- Prepare, Open, Stop --> wire -> state -> start, halt -> target
//	agent -- Gang ----------------> wire -> state -> renewing -> parent agent
//	keeper <- heartbeat -> state -> lease -> target
//	target -> watching -> saving -> objects, state -> finishing -> keeper
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
