package sesameagent

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
)

// gangHeartbeatLoop sends the heartbeats inside gangs until ctx ends. The
// members of a gang form a tree, and each member renews its lease at its
// parent.
func (a *Agent) gangHeartbeatLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s, now, changed := a.state.read()
		next, due := s.NextHeartbeat()
		if due && next <= now {
			a.sendGangHeartbeats(ctx)
			continue
		}
		wait := a.settings.Leases.Lease
		if due {
			wait = min(wait, next-now)
		}
		timer := a.deps.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.Chan():
		}
		timer.Stop()
	}
	return nil
}

// sendGangHeartbeats sends each gang heartbeat that is due, in a goroutine of
// its own. A due heartbeat of the root, which has no parent, renews its lease
// without a call.
func (a *Agent) sendGangHeartbeats(ctx context.Context) {
	var heartbeats []sesamegang.GangHeartbeat
	a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		s, heartbeats = s.DueHeartbeats(now)
		return s, sesamegang.Effects{}
	})
	a.requestLeaseRenewal()
	for _, b := range heartbeats {
		a.group.Go(func() error {
			a.sendGangHeartbeat(ctx, b)
			return nil
		})
	}
}

// sendGangHeartbeat calls the parent at b.Address once and applies its reply, or
// the failure of the call, to the state.
func (a *Agent) sendGangHeartbeat(ctx context.Context, b sesamegang.GangHeartbeat) {
	reply, err := a.deps.Dialer.Agent(b.Address).Gang(ctx, b.Request)
	if err != nil {
		a.deps.Log.Emit(eventGangHeartbeatFailed, sesamelog.Fields{
			"job":     b.Key.Job,
			"address": b.Address,
			"error":   err,
		})
	}
	a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		if err != nil {
			return s.HeartbeatFailed(now, b), sesamegang.Effects{}
		}
		return s.HeartbeatAnswered(now, b, reply)
	})
	a.requestLeaseRenewal()
}
