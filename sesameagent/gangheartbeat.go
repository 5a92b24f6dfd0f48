package sesameagent

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
)

// gangHeartbeatLoop sends the heartbeats of gangs until ctx ends.
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

// sendGangHeartbeats begins the renewals that are due.
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

// sendGangHeartbeat calls the parent once and applies its reply.
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
