package sesamestandin

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamework"
)

// LeasedTarget is one life of a target on a fleet. It takes orders from the
// agent beside it.
type LeasedTarget struct {
	fleet    *Fleet
	id       string
	life     int64
	capacity sesamework.Resources
	// startsForbidden targets must not be given anything.
	startsForbidden bool
	// crashed targets run nothing, and silent ones give no answer.
	crashed     bool
	unreachable bool
	startedAt   time.Time
	leaseEnd    time.Time
	agentEpoch  int64
	running     []*fleetRun
	ended       []sesamerunner.EndedRun
	lastNumber  int64
	// highestRun is the highest run of each task that ended or was stopped.
	highestRun map[string]int
	// lastLapse is when runs were last killed by the end of the lease.
	lastLapse time.Time
	endTimes  map[int64]time.Time
	// losesOrder decides which orders get no answer and how much later they
	// are carried out; nil answers all.
	losesOrder func() (late time.Duration, lost bool)
}

// SetLostOrders decides which orders get no answer from now on, and how much
// later they are carried out; nil answers all.
func (t *LeasedTarget) SetLostOrders(decide func() (late time.Duration, lost bool)) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.losesOrder = decide
}

// nextOrderLost decides about one order.
func (t *LeasedTarget) nextOrderLost() (time.Duration, bool) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.losesOrder == nil {
		return 0, false
	}
	return t.losesOrder()
}

var _ sesamerunner.Executor = (*LeasedTarget)(nil)

// Add puts a target on the fleet.
func (f *Fleet) Add(id string, life int64, room sesamework.Resources) *LeasedTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &LeasedTarget{
		fleet:      f,
		id:         id,
		life:       life,
		capacity:   room,
		startedAt:  f.o.Clock.Now(),
		highestRun: map[string]int{},
		endTimes:   map[int64]time.Time{},
	}
	f.targets = append(f.targets, t)
	return t
}

// Target returns the target with that ID, or nil.
func (f *Fleet) Target(id string) *LeasedTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// ForbidStarts notes every start from now on, as after a drain's bound.
func (t *LeasedTarget) ForbidStarts() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.startsForbidden = true
}

// Crash ends the target's life and all that it runs. Other members of its
// gangs end broken.
func (t *LeasedTarget) Crash() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.fleet.advance()
	for _, r := range t.running {
		if !r.definition.Step.Gang || r.workingSince.IsZero() {
			continue
		}
		for _, m := range t.fleet.members(r) {
			if m.target != t {
				m.target.endRun(m, sesamework.EndGangBroken, t.fleet.o.Clock.Now())
			}
		}
	}
	t.crashed = true
	t.running = nil
	t.ended = nil
}

// SetUnreachable makes calls not reach the target, or lets them reach it again.
func (t *LeasedTarget) SetUnreachable(silent bool) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.unreachable = silent
}

// awaitReachable blocks a call to a silent target until its caller gives up.
func (t *LeasedTarget) awaitReachable(ctx context.Context) error {
	t.fleet.mu.Lock()
	silent := t.unreachable
	t.fleet.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return &NoAnswerError{}
}

// localClock returns the target's own clock. It is 2 percent slow, the most that
// the platform allows.
func (t *LeasedTarget) localClock(at time.Time) time.Duration {
	return at.Sub(t.startedAt) * 98 / 100
}

// lapseTime returns when the lease ends.
func (t *LeasedTarget) lapseTime() time.Time {
	return t.leaseEnd
}

// extendLease takes a lease until a time of the target's clock.
func (t *LeasedTarget) extendLease(until time.Duration, now time.Time) {
	left := min(until-t.localClock(now), t.fleet.o.MaxLease) * 100 / 98
	if end := now.Add(left); until > 0 && end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}

// endRun lists the end of a run.
func (t *LeasedTarget) endRun(r *fleetRun, outcome sesamework.Outcome, at time.Time) {
	t.running = slices.DeleteFunc(t.running, func(other *fleetRun) bool {
		return other == r
	})
	t.lastNumber++
	name := r.task.String()
	t.highestRun[name] = max(t.highestRun[name], r.run)
	t.endTimes[t.lastNumber] = at
	saved := ""
	if outcome != sesamework.EndLapsed {
		saved = r.checkpoint(at)
	}
	if outcome == sesamework.EndLapsed {
		t.lastLapse = at
	}
	if outcome == sesamework.EndDone {
		t.fleet.completed[name] = true
	}
	t.ended = append(t.ended, sesamerunner.EndedRun{
		Number:     t.lastNumber,
		Task:       name,
		Run:        r.run,
		Outcome:    outcome,
		Checkpoint: saved,
	})
}

// NoAnswerError says that a stand-in gave no answer.
type NoAnswerError struct{}

// Error says so.
func (e *NoAnswerError) Error() string {
	return "no answer"
}

// Start orders a run; see sesamerunner.Executor.
func (t *LeasedTarget) Start(ctx context.Context, o sesamerunner.Order) (time.Duration, error) {
	return t.deliver(ctx, func() error {
		return t.start(o)
	})
}

// Stop ends a run; see sesamerunner.Executor.
func (t *LeasedTarget) Stop(ctx context.Context, o sesamerunner.Order) (time.Duration, error) {
	return t.deliver(ctx, func() error {
		return t.stop(o)
	})
}

// deliver carries an order out, now or later.
func (t *LeasedTarget) deliver(ctx context.Context, apply func() error) (time.Duration, error) {
	f := t.fleet
	if err := t.awaitReachable(ctx); err != nil {
		return 0, err
	}
	if late, lost := t.nextOrderLost(); lost {
		f.o.Clock.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.advance()
			if err := apply(); err != nil {
				// The order came too late to have an effect.
				return
			}
		})
		<-ctx.Done()
		return 0, &NoAnswerError{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	err := apply()
	return t.localClock(f.o.Clock.Now()), err
}

func (t *LeasedTarget) start(o sesamerunner.Order) error {
	now := t.fleet.o.Clock.Now()
	if t.crashed {
		return &sesamerunner.OtherLifeError{}
	}
	if o.AgentEpoch < t.agentEpoch {
		return t.refusedError(sesamerunner.RefusedSuperseded)
	}
	t.agentEpoch = o.AgentEpoch
	t.extendLease(o.LeaseEnd, now)
	name := o.Task.String()
	if o.Run <= t.highestRun[name] {
		return t.refusedError(sesamerunner.RefusedStaleRun)
	}
	for _, r := range t.running {
		if r.task == o.Task && r.run == o.Run {
			return nil
		}
	}
	if o.LeaseEnd <= t.localClock(now) {
		return t.refusedError(sesamerunner.RefusedLeaseOver)
	}
	t.startRun(o, now)
	return nil
}

func (t *LeasedTarget) startRun(o sesamerunner.Order, now time.Time) {
	definition, known := t.fleet.o.Lookup(o.Task)
	t.fleet.checkStart(t, o, definition, known)
	if t.startsForbidden {
		t.fleet.addViolation("drain: %s was started on %s", o.Task, t.id)
	}
	t.fleet.starts++
	r := &fleetRun{
		target:     t,
		task:       o.Task,
		run:        o.Run,
		definition: definition,
		startedAt:  now,
	}
	if n, err := strconv.ParseInt(o.Checkpoint, 10, 64); err == nil {
		r.initialProgress = time.Duration(n) * time.Millisecond
	}
	if !definition.Step.Gang {
		r.workingSince = now
	}
	t.running = append(t.running, r)
	t.fleet.beginGangs(now)
}

func (t *LeasedTarget) refusedError(reason sesamerunner.Refusal) error {
	return &sesamerunner.RefusedError{
		Reason: reason,
		Clock:  t.localClock(t.fleet.o.Clock.Now()),
	}
}

func (t *LeasedTarget) stop(o sesamerunner.Order) error {
	if t.crashed {
		return &sesamerunner.OtherLifeError{}
	}
	if o.AgentEpoch < t.agentEpoch {
		return t.refusedError(sesamerunner.RefusedSuperseded)
	}
	t.agentEpoch = o.AgentEpoch
	name := o.Task.String()
	t.highestRun[name] = max(t.highestRun[name], o.Run)
	for _, r := range t.running {
		if r.task == o.Task && r.run <= o.Run && r.stopEnd.IsZero() {
			r.stopEnd = t.fleet.o.Clock.Now().Add(t.fleet.o.StopTime)
		}
	}
	return nil
}

// renewalPoll is how often a waiting hold looks for an end.
const renewalPoll = 20 * time.Millisecond

// RenewLease extends the lease and lists runs; see sesamerunner.Executor.
func (t *LeasedTarget) RenewLease(ctx context.Context, h sesamerunner.LeaseRenewal) (sesamerunner.Listing, error) {
	f := t.fleet
	deadline := f.o.Clock.Now().Add(h.MaxWait)
	for {
		if err := t.awaitReachable(ctx); err != nil {
			return sesamerunner.Listing{}, err
		}
		l, err := t.renew(h)
		if err != nil || len(l.Ended) > 0 || !f.o.Clock.Now().Before(deadline) {
			return l, err
		}
		select {
		case <-f.o.Clock.After(renewalPoll):
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

func (t *LeasedTarget) renew(h sesamerunner.LeaseRenewal) (sesamerunner.Listing, error) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	now := f.o.Clock.Now()
	if t.crashed {
		return sesamerunner.Listing{}, &sesamerunner.OtherLifeError{}
	}
	if h.AgentEpoch < t.agentEpoch {
		return sesamerunner.Listing{}, t.refusedError(sesamerunner.RefusedSuperseded)
	}
	t.agentEpoch = h.AgentEpoch
	t.extendLease(h.LeaseEnd, now)
	t.acknowledge(h.LastRecorded)
	l := sesamerunner.Listing{
		Clock: t.localClock(now),
		Life:  t.life,
		Ended: slices.Clone(t.ended),
	}
	for _, r := range t.running {
		l.Running = append(l.Running, r.report(now))
	}
	return l, nil
}

// acknowledge forgets ends that are recorded. They stand for good, unless the
// lease has lapsed since.
func (t *LeasedTarget) acknowledge(number int64) {
	t.ended = slices.DeleteFunc(t.ended, func(e sesamerunner.EndedRun) bool {
		if e.Number > number {
			return false
		}
		if !t.lastLapse.After(t.endTimes[e.Number]) {
			t.fleet.recordEnd(e)
		}
		delete(t.endTimes, e.Number)
		return true
	})
}

// recordEnd notes an end that stands for good.
func (f *Fleet) recordEnd(e sesamerunner.EndedRun) {
	switch e.Outcome {
	case sesamework.EndDone:
		f.recordedDone[e.Task] = true
	case sesamework.EndFailed:
		f.recordedFailures[e.Task]++
	}
}

// Close does nothing: a stand-in has no connections.
func (t *LeasedTarget) Close() {}
