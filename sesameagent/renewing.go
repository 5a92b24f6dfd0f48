package sesameagent

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
)

// renewing sends the heartbeats of gangs until ctx ends.
func (a *Agent) renewing(ctx context.Context) error {
	for ctx.Err() == nil {
		s, now, changed := a.state.read()
		next, due := s.NextHeartbeat()
		if due && next <= now {
			a.sendBeats(ctx)
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

// sendBeats begins the renewals that are due.
func (a *Agent) sendBeats(ctx context.Context) {
	var beats []sesamegang.GangHeartbeat
	a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		s, beats = s.DueHeartbeats(now)
		return s, sesamegang.Effects{}
	})
	a.ringLease()
	for _, b := range beats {
		a.group.Go(func() error {
			a.sendBeat(ctx, b)
			return nil
		})
	}
}

// sendBeat calls the parent once and applies its reply.
func (a *Agent) sendBeat(ctx context.Context, b sesamegang.GangHeartbeat) {
	reply, err := a.deps.Dialer.Agent(b.Address).Gang(ctx, b.Request)
	if err != nil {
		a.deps.Log.Emit(eventBeatFailed, sesamelog.Fields{
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
	a.ringLease()
}
