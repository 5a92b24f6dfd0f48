package sesameagent

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// The topics of the queues.
const (
	// topicStart has the keys of attempts whose tasks are to be started.
	topicStart = "start"
	// topicHalt has attempts whose tasks are to be stopped.
	topicHalt = "halt"
	// topicLease has requests to renew the lease at the target.
	topicLease = "lease"
)

// maxRenewalLatency is how long a lease renewal at the target may take before
// it is sent again, with the time that is left of the lease by then.
const maxRenewalLatency = 250 * time.Millisecond

// dispatchEffects queues effects for their handlers. When the queue is full, an
// attempt to be started ends as never started; a halt is dropped, since tick
// repeats halts until they have taken effect.
func (a *Agent) dispatchEffects(effects sesamegang.Effects) {
	for _, k := range effects.Start {
		a.tasks.beginStarts(k)
		if err := sesamering.Send(a.ring, topicStart, k); err != nil {
			a.logRingFull(err)
			a.endUnstarted(k, err.Error())
		}
	}
	for _, h := range effects.Halt {
		if err := sesamering.Send(a.ring, topicHalt, h); err != nil {
			a.logRingFull(err)
		}
	}
}

// logRingFull logs that a queue had no room for an effect.
func (a *Agent) logRingFull(err error) {
	a.deps.Log.Emit(eventRingFull, sesamelog.Fields{
		"error": err,
	})
}

// endUnstarted ends all tasks of an attempt as never started; detail says why.
func (a *Agent) endUnstarted(k sesamegang.AttemptKey, detail string) {
	defer a.tasks.finishStarts(k)
	s, _, _ := a.state.read()
	m, _ := s.Member(k)
	for _, rank := range m.UnfinishedRanks() {
		a.taskEnded(k, sesamegang.TaskEnd{
			Rank:     rank,
			Progress: sesamewire.Progress_PROGRESS_NEVER,
			Detail:   detail,
		})
	}
}

// requestLeaseRenewal queues a renewal of the lease at the target. The error is
// ignored, because a full queue already has a renewal waiting.
func (a *Agent) requestLeaseRenewal() {
	_ = sesamering.Send(a.ring, topicLease, struct{}{})
}

// onStart starts the tasks of an attempt in a goroutine of its own. A message
// that cannot be decoded is dropped.
func (a *Agent) onStart(m *message.Message) error {
	k, err := sesamering.Decode[sesamegang.AttemptKey](m)
	if err != nil {
		return nil
	}
	a.group.Go(func() error {
		a.startAttempt(m.Context(), k)
		return nil
	})
	return nil
}

// onHalt stops the tasks of an attempt in a goroutine of its own. A message
// that cannot be decoded is dropped.
func (a *Agent) onHalt(m *message.Message) error {
	h, err := sesamering.Decode[sesamegang.Halt](m)
	if err != nil {
		return nil
	}
	a.group.Go(func() error {
		a.haltAttempt(m.Context(), h)
		return nil
	})
	return nil
}

// onLease renews the lease at the target, unless a later request is queued.
func (a *Agent) onLease(m *message.Message) error {
	if a.ring.Len(topicLease) == 0 {
		a.renewTargetLease(m.Context())
	}
	return nil
}

// renewTargetLease sends the target the time that is left of the leases. The
// target counts that time from the receipt of the call, so a slow call would
// make its lease too long: after a call that took maxRenewalLatency or more,
// another follows at once.
func (a *Agent) renewTargetLease(ctx context.Context) {
	for ctx.Err() == nil {
		s, now, _ := a.state.read()
		err := a.callTarget(ctx, func(ctx context.Context) error {
			return a.deps.Target.Renew(ctx, a.targetLease(s, now))
		})
		if ctx.Err() == nil {
			a.recordReachable(err)
		}
		if err != nil || a.state.now()-now < maxRenewalLatency {
			return
		}
	}
}

// targetLease returns the lease for the target at the clock reading now. The
// tasks of running gangs have leases of their own, which end with the gang's
// lease.
func (a *Agent) targetLease(s sesamegang.Agent, now time.Duration) sesametarget.Lease {
	lease := sesametarget.Lease{
		Holder:      a.leaseHolder,
		RemainingMs: s.LeaseRemaining(now).Milliseconds(),
	}
	for _, m := range s.Members() {
		if !m.Gang() || m.Phase != sesamegang.Running {
			continue
		}
		if lease.TaskRemainingMs == nil {
			lease.TaskRemainingMs = map[sesametarget.TaskID]int64{}
		}
		for _, rank := range m.UnfinishedRanks() {
			lease.TaskRemainingMs[taskID(m.Key, rank)] = s.TaskRemaining(m, now).Milliseconds()
		}
	}
	return lease
}

// recordReachable records whether the target accepted a lease renewal: err is
// the renewal's result. When the target accepts leases again, a heartbeat is
// sent at once.
func (a *Agent) recordReachable(err error) {
	was := a.targetReachable.Swap(err == nil)
	switch {
	case was && err != nil:
		a.deps.Log.Emit(eventTargetLost, sesamelog.Fields{
			"error": err,
		})
	case !was && err == nil:
		a.deps.Log.Emit(eventTargetBack, nil)
		a.keeper.requestHeartbeat()
	}
}

// callTarget bounds one short call to the target by the heartbeat interval.
func (a *Agent) callTarget(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, a.settings.Leases.Heartbeat)
	defer cancel()
	return call(ctx)
}
