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
	fleet *Fleet
	id    string
	life  int64
	room  sesamework.Resources
	// forbidden targets must not be given anything.
	forbidden bool
	// gone targets run nothing, and silent ones give no answer.
	gone    bool
	silent  bool
	began   time.Time
	until   time.Time
	holder  int64
	running []*fleetRun
	ended   []sesamerunner.EndedRun
	numbers int64
	// highest is the highest run of each task that ended or was stopped.
	highest map[string]int
	// lapsed is when runs were last killed by the end of the lease.
	lapsed time.Time
	endsAt map[int64]time.Time
	// unanswered decides which orders get no answer and how much later they
	// are carried out; nil answers all.
	unanswered func() (late time.Duration, lost bool)
}

// SetUnanswered decides which orders get no answer from now on, and how much
// later they are carried out; nil answers all.
func (t *LeasedTarget) SetUnanswered(decide func() (late time.Duration, lost bool)) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.unanswered = decide
}

// isUnanswered decides about one order.
func (t *LeasedTarget) isUnanswered() (time.Duration, bool) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.unanswered == nil {
		return 0, false
	}
	return t.unanswered()
}

var _ sesamerunner.Executor = (*LeasedTarget)(nil)

// Add puts a target on the fleet.
func (f *Fleet) Add(id string, life int64, room sesamework.Resources) *LeasedTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &LeasedTarget{
		fleet:   f,
		id:      id,
		life:    life,
		room:    room,
		began:   f.o.Clock.Now(),
		highest: map[string]int{},
		endsAt:  map[int64]time.Time{},
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

// Forbid notes every start from now on, as after a drain's bound.
func (t *LeasedTarget) Forbid() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.forbidden = true
}

// Crash ends the target's life and all that it runs. Other members of its
// gangs end broken.
func (t *LeasedTarget) Crash() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.fleet.advance()
	for _, r := range t.running {
		if !r.what.Step.Gang || r.begun.IsZero() {
			continue
		}
		for _, m := range t.fleet.members(r) {
			if m.target != t {
				m.target.finish(m, sesamework.EndGangBroken, t.fleet.o.Clock.Now())
			}
		}
	}
	t.gone = true
	t.running = nil
	t.ended = nil
}

// SetSilent makes calls not reach the target, or lets them reach it again.
func (t *LeasedTarget) SetSilent(silent bool) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.silent = silent
}

// await blocks a call to a silent target until its caller gives up.
func (t *LeasedTarget) await(ctx context.Context) error {
	t.fleet.mu.Lock()
	silent := t.silent
	t.fleet.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return &NoAnswerError{}
}

// clock returns the target's own clock. It is 2 percent slow, the most that
// the platform allows.
func (t *LeasedTarget) clock(at time.Time) time.Duration {
	return at.Sub(t.began) * 98 / 100
}

// lapses returns when the lease ends.
func (t *LeasedTarget) lapses() time.Time {
	return t.until
}

// extend takes a lease until a time of the target's clock.
func (t *LeasedTarget) extend(until time.Duration, now time.Time) {
	left := min(until-t.clock(now), t.fleet.o.MaxLease) * 100 / 98
	if end := now.Add(left); until > 0 && end.After(t.until) {
		t.until = end
	}
}

// finish lists the end of a run.
func (t *LeasedTarget) finish(r *fleetRun, how sesamework.Outcome, at time.Time) {
	t.running = slices.DeleteFunc(t.running, func(other *fleetRun) bool {
		return other == r
	})
	t.numbers++
	name := r.task.String()
	t.highest[name] = max(t.highest[name], r.run)
	t.endsAt[t.numbers] = at
	saved := ""
	if how != sesamework.EndLapsed {
		saved = r.checkpoint(at)
	}
	if how == sesamework.EndLapsed {
		t.lapsed = at
	}
	if how == sesamework.EndDone {
		t.fleet.finished[name] = true
	}
	t.ended = append(t.ended, sesamerunner.EndedRun{
		Number:     t.numbers,
		Task:       name,
		Run:        r.run,
		Outcome:    how,
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
	return t.order(ctx, func() error {
		return t.start(o)
	})
}

// Stop ends a run; see sesamerunner.Executor.
func (t *LeasedTarget) Stop(ctx context.Context, o sesamerunner.Order) (time.Duration, error) {
	return t.order(ctx, func() error {
		return t.stop(o)
	})
}

// order carries an order out, now or later.
func (t *LeasedTarget) order(ctx context.Context, carryOut func() error) (time.Duration, error) {
	f := t.fleet
	if err := t.await(ctx); err != nil {
		return 0, err
	}
	if late, lost := t.isUnanswered(); lost {
		f.o.Clock.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.advance()
			if err := carryOut(); err != nil {
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
	err := carryOut()
	return t.clock(f.o.Clock.Now()), err
}

func (t *LeasedTarget) start(o sesamerunner.Order) error {
	now := t.fleet.o.Clock.Now()
	if t.gone {
		return &sesamerunner.OtherLifeError{}
	}
	if o.AgentEpoch < t.holder {
		return t.refuse(sesamerunner.RefusedSuperseded)
	}
	t.holder = o.AgentEpoch
	t.extend(o.LeaseEnd, now)
	name := o.Task.String()
	if o.Run <= t.highest[name] {
		return t.refuse(sesamerunner.RefusedStaleRun)
	}
	for _, r := range t.running {
		if r.task == o.Task && r.run == o.Run {
			return nil
		}
	}
	if o.LeaseEnd <= t.clock(now) {
		return t.refuse(sesamerunner.RefusedLeaseOver)
	}
	t.begin(o, now)
	return nil
}

func (t *LeasedTarget) begin(o sesamerunner.Order, now time.Time) {
	what, asked := t.fleet.o.Lookup(o.Task)
	t.fleet.checkStart(t, o, what, asked)
	if t.forbidden {
		t.fleet.note("drain: %s was started on %s", o.Task, t.id)
	}
	t.fleet.starts++
	r := &fleetRun{
		target:  t,
		task:    o.Task,
		run:     o.Run,
		what:    what,
		arrived: now,
	}
	if n, err := strconv.ParseInt(o.Checkpoint, 10, 64); err == nil {
		r.saved = time.Duration(n) * time.Millisecond
	}
	if !what.Step.Gang {
		r.begun = now
	}
	t.running = append(t.running, r)
	t.fleet.beginGangs(now)
}

func (t *LeasedTarget) refuse(reason sesamerunner.Refusal) error {
	return &sesamerunner.RefusedError{
		Reason: reason,
		Clock:  t.clock(t.fleet.o.Clock.Now()),
	}
}

func (t *LeasedTarget) stop(o sesamerunner.Order) error {
	if t.gone {
		return &sesamerunner.OtherLifeError{}
	}
	if o.AgentEpoch < t.holder {
		return t.refuse(sesamerunner.RefusedSuperseded)
	}
	t.holder = o.AgentEpoch
	name := o.Task.String()
	t.highest[name] = max(t.highest[name], o.Run)
	for _, r := range t.running {
		if r.task == o.Task && r.run <= o.Run && r.stopping.IsZero() {
			r.stopping = t.fleet.o.Clock.Now().Add(t.fleet.o.StopTime)
		}
	}
	return nil
}

// holdPoll is how often a waiting hold looks for an end.
const holdPoll = 20 * time.Millisecond

// RenewLease extends the lease and lists runs; see sesamerunner.Executor.
func (t *LeasedTarget) RenewLease(ctx context.Context, h sesamerunner.LeaseRenewal) (sesamerunner.Listing, error) {
	f := t.fleet
	deadline := f.o.Clock.Now().Add(h.MaxWait)
	for {
		if err := t.await(ctx); err != nil {
			return sesamerunner.Listing{}, err
		}
		l, err := t.hold(h)
		if err != nil || len(l.Ended) > 0 || !f.o.Clock.Now().Before(deadline) {
			return l, err
		}
		select {
		case <-f.o.Clock.After(holdPoll):
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

func (t *LeasedTarget) hold(h sesamerunner.LeaseRenewal) (sesamerunner.Listing, error) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	now := f.o.Clock.Now()
	if t.gone {
		return sesamerunner.Listing{}, &sesamerunner.OtherLifeError{}
	}
	if h.AgentEpoch < t.holder {
		return sesamerunner.Listing{}, t.refuse(sesamerunner.RefusedSuperseded)
	}
	t.holder = h.AgentEpoch
	t.extend(h.LeaseEnd, now)
	t.acknowledge(h.LastRecorded)
	l := sesamerunner.Listing{
		Clock: t.clock(now),
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
		if !t.lapsed.After(t.endsAt[e.Number]) {
			t.fleet.stand(e)
		}
		delete(t.endsAt, e.Number)
		return true
	})
}

// stand notes an end that stands for good.
func (f *Fleet) stand(e sesamerunner.EndedRun) {
	switch e.Outcome {
	case sesamework.EndDone:
		f.done[e.Task] = true
	case sesamework.EndFailed:
		f.failed[e.Task]++
	}
}

// Close does nothing: a stand-in has no connections.
func (t *LeasedTarget) Close() {}
