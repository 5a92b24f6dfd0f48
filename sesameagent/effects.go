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

// The rings between the duties.
const (
	topicStart = "start"
	topicHalt  = "halt"
	topicLease = "lease"
)

// maxRenewalLatency is how late a renewal may reach the target before it is repeated
// with what is left of the lease by then.
const maxRenewalLatency = 250 * time.Millisecond

// dispatchEffects hands effects to their duties. An attempt whose start does not fit is
// ended unstarted; stops are repeated by tick until they have taken effect.
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

func (a *Agent) logRingFull(err error) {
	a.deps.Log.Emit(eventRingFull, sesamelog.Fields{
		"error": err,
	})
}

// endUnstarted ends all tasks of an attempt, none of which was started.
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

// requestLeaseRenewal asks for a renewal at the target. A full ring has one waiting.
func (a *Agent) requestLeaseRenewal() {
	_ = sesamering.Send(a.ring, topicLease, struct{}{})
}

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

// onLease renews the lease at the target, unless a later request waits.
func (a *Agent) onLease(m *message.Message) error {
	if a.ring.Len(topicLease) == 0 {
		a.renewTargetLease(m.Context())
	}
	return nil
}

// renewTargetLease tells the target what is left of the leases. Since the target counts
// from its receipt, a call that was late is followed by another at once.
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

// recordReachable records whether the target takes its lease.
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

// callTarget bounds one short call to the target.
func (a *Agent) callTarget(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, a.settings.Leases.Heartbeat)
	defer cancel()
	return call(ctx)
}
