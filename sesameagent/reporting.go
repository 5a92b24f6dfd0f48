package sesameagent

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// reportLoop reports the outcomes of attempts to entries until ctx ends. It
// checks after each change of the attempts, and at least once a heartbeat
// interval, since some outcomes become due with time.
func (a *Agent) reportLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s, now, changed := a.state.read()
		for _, outcome := range s.Outcomes(now) {
			a.reportOutcome(ctx, sesamegang.KeyOf(outcome.GetId()))
		}
		timer := a.deps.Clock.NewTimer(a.settings.Leases.Heartbeat)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.Chan():
		}
		timer.Stop()
	}
	return nil
}

// reportOutcome sends the outcome of one attempt with back-off until it is
// recorded, in a goroutine of its own. It does nothing while an earlier call for
// the attempt is in progress.
func (a *Agent) reportOutcome(ctx context.Context, k sesamegang.AttemptKey) {
	work := "finish:" + string(taskID(k, 0))
	if !a.tasks.claim(work) {
		return
	}
	a.group.Go(func() error {
		defer a.tasks.release(work)
		wait := newRetryBackOff()
		for try := 0; ; try++ {
			done, err := a.sendOutcome(ctx, k, try)
			if done {
				return nil
			}
			if err != nil {
				a.deps.Log.Emit(eventOutcomeNotRecorded, sesamelog.Fields{
					"job":     k.Job,
					"attempt": k.Attempt,
					"error":   err,
				})
			}
			if a.sleep(ctx, wait.NextBackOff()) != nil {
				return nil
			}
		}
	})
}

// sendOutcome sends an outcome once: to the keeper in the first try (0), then
// to the configured entries in turn. It returns true when nothing is left to
// report.
func (a *Agent) sendOutcome(ctx context.Context, k sesamegang.AttemptKey, try int) (bool, error) {
	s, now, _ := a.state.read()
	var outcome *sesamewire.FinishRequest
	for _, o := range s.Outcomes(now) {
		if sesamegang.KeyOf(o.GetId()) == k {
			outcome = o
		}
	}
	if outcome == nil {
		return true, nil
	}
	outcome.Target = a.settings.ID
	address, _ := a.keeper.current()
	if try > 0 && len(a.settings.Entries) > 0 {
		address = a.settings.Entries[try%len(a.settings.Entries)]
	}
	reply, err := a.deps.Dialer.Keeper(address).Finish(ctx, outcome)
	if err != nil || !reply.GetRecorded() {
		return false, err
	}
	a.state.apply(func(_ time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		return s.OutcomeRecorded(k), sesamegang.Effects{}
	})
	a.deps.Log.Emit(eventOutcomeRecorded, sesamelog.Fields{
		"job":     k.Job,
		"attempt": k.Attempt,
	})
	return true, nil
}
