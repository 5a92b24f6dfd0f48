package sesamedispatch

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// maxChangeEntries is the most conditions, writes and removals that are batched
// into one transaction. It leaves room for the fence's own entries and those of
// one more run.
const maxChangeEntries = sesamerows.MaxEntries - 8

// decideAndWrite takes a decision and writes it: starts and stops first, which
// are urgent, then which targets are gone. When there is nothing to decide, it
// sweeps rows that have expired. In any case it renews the leader's row, since
// transactions that conflict don't. Errors are those of commit and of encoding
// the rows.
func (r *term) decideAndWrite(ctx context.Context) error {
	d := r.view.Decide(r.now())
	if d.IsEmpty() {
		if err := r.sweep(ctx); err != nil {
			return err
		}
		return r.renewLeaderRow(ctx)
	}
	batch, restarts := &changeBatch{}, &changeBatch{}
	if err := r.collect(d, batch, restarts); err != nil {
		return err
	}
	for _, c := range slices.Concat(batch.transactions, restarts.transactions) {
		if _, err := r.commit(ctx, c); err != nil {
			return err
		}
	}
	for lost := range slices.Chunk(d.Lost, maxGoneTargets) {
		if err := r.markGone(ctx, lost); err != nil {
			return err
		}
	}
	return r.renewLeaderRow(ctx)
}

// renewLeaderRow writes the leader's row when no transaction has written it for
// leaderRenewInterval.
func (r *term) renewLeaderRow(ctx context.Context) error {
	if r.o.Clock.Steady()-r.leaderWrittenAt < leaderRenewInterval {
		return nil
	}
	_, err := r.commit(ctx, &change{})
	return err
}

// change is one transaction, or a part of one, with the callbacks that update
// the view once it is committed.
type change struct {
	sesamerows.Change
	onCommit []func()
}

// changeBatch packs changes into as few transactions as possible.
type changeBatch struct {
	transactions []*change
}

// add appends the change to the newest transaction, or begins another one when
// that would exceed maxChangeEntries.
func (c *changeBatch) add(added change) {
	size := len(added.Expects) + len(added.Writes) + len(added.Removes)
	var last *change
	if len(c.transactions) > 0 {
		last = c.transactions[len(c.transactions)-1]
	}
	if last == nil || len(last.Expects)+len(last.Writes)+len(last.Removes)+size > maxChangeEntries {
		last = &change{}
		c.transactions = append(c.transactions, last)
	}
	for _, e := range added.Expects {
		last.addCondition(e)
	}
	last.Writes = append(last.Writes, added.Writes...)
	last.Removes = append(last.Removes, added.Removes...)
	last.onCommit = append(last.onCommit, added.onCommit...)
}

// runRows returns the writes of the unit's run r to the run tables of its
// members' zones, and the removals from the tables of zones that only the
// previous run used. The error is that of the encoding.
func runRows(u *unit, r sesamework.Run) (sesamerows.Change, error) {
	var c sesamerows.Change
	value, err := json.Marshal(r)
	if err != nil {
		return c, err
	}
	zones := r.Zones()
	for _, zone := range zones {
		c.Writes = append(c.Writes, sesamerows.Write{
			Key:   sesamework.RunKey(u.id, zone),
			Value: value,
		})
	}
	for _, zone := range u.run.Zones() {
		if !slices.Contains(zones, zone) {
			c.Removes = append(c.Removes, sesamework.RunKey(u.id, zone))
		}
	}
	return c, nil
}

// addCondition adds a condition unless the transaction has it already.
func (c *change) addCondition(e sesamerows.Expect) {
	for _, other := range c.Expects {
		if other == e {
			return
		}
	}
	c.Expects = append(c.Expects, e)
}

// collect adds the writes of the stops, starts and states of a decision to the
// batch. Starts after a loss, and states that rest on one, go to restarts: their
// conditions are in other parts of the store, and a refusal must not hold up the
// rest. Errors are those of encoding the rows.
func (r *term) collect(d Decision, batch, restarts *changeBatch) error {
	for _, s := range d.Stops {
		if err := r.collectStop(s, batch); err != nil {
			return err
		}
	}
	for _, s := range d.Starts {
		into := batch
		if len(s.unit.lossConditions(r.view.ends)) > 0 {
			into = restarts
		}
		if err := r.collectStart(s, into); err != nil {
			return err
		}
	}
	for _, s := range d.States {
		into := batch
		if len(r.stateConditions(s)) > 0 {
			into = restarts
		}
		if err := r.collectState(s, into); err != nil {
			return err
		}
	}
	return nil
}

// collectStop adds the write that sets a run's stop reason.
func (r *term) collectStop(s Stop, batch *changeBatch) error {
	run := s.unit.run
	run.StopReason = s.reason
	rows, err := runRows(s.unit, run)
	if err != nil {
		return err
	}
	written := func() {
		s.unit.run = run
		r.o.Log.Emit(eventStopping, sesamelog.Fields{
			"job":    s.unit.id.Job,
			"unit":   s.unit.id.String(),
			"run":    run.Number,
			"reason": s.reason,
		})
		r.o.Scope.Tagged(map[string]string{
			"reason": s.reason,
		}).Counter("stops").Inc(1)
	}
	batch.add(change{
		Change:   rows,
		onCommit: []func(){written},
	})
	return nil
}

// collectStart adds the write that orders a run, under the conditions that the
// job has no cancel row, and that the view knows all recorded ends of those
// members of the run before that count as lost.
func (r *term) collectStart(s Start, batch *changeBatch) error {
	rows, err := runRows(s.unit, s.run)
	if err != nil {
		return err
	}
	rows.Expects = append(s.unit.lossConditions(r.view.ends), sesamerows.Expect{
		Key: sesamework.CancelKey(s.unit.id.Job),
	})
	written := func() {
		waited := r.o.Clock.Steady() - s.unit.readySince
		s.unit.setRun(s.run, r.o.Clock.Steady())
		r.o.Log.Emit(eventOrdered, sesamelog.Fields{
			"job":     s.unit.id.Job,
			"unit":    s.unit.id.String(),
			"run":     s.run.Number,
			"members": s.run.Members,
			"fails":   s.run.Failures,
			"waited":  waited.Milliseconds(),
		})
		r.o.Scope.Tagged(map[string]string{
			"queue": s.unit.job.Queue,
		}).Histogram("start_wait", startWaitBuckets).RecordDuration(waited)
	}
	batch.add(change{
		Change:   rows,
		onCommit: []func(){written},
	})
	return nil
}

// collectState adds the write that publishes a job's state, under the conditions of
// stateConditions.
func (r *term) collectState(s State, batch *changeBatch) error {
	value, err := json.Marshal(sesamework.JobStatus{
		State:     s.state,
		Queue:     s.job.Queue,
		Team:      s.job.Team,
		Recurring: s.job.Recurs(),
	})
	if err != nil {
		return err
	}
	written := func() {
		r.o.Log.Emit(eventState, sesamelog.Fields{
			"job":  s.job.ID,
			"from": s.job.published,
			"to":   s.state,
			"at":   r.storeClock.Now().Milliseconds() - s.job.Accepted,
		})
		r.view.setPublished(s.job, s.state)
		r.o.Scope.Tagged(map[string]string{
			"queue": s.job.Queue,
			"state": string(s.state),
		}).Counter("jobs").Inc(1)
	}
	batch.add(change{
		Change: sesamerows.Change{
			Expects: r.stateConditions(s),
			Writes: []sesamerows.Write{{
				Key:   sesamework.StateKey(sesamework.PlanPart, s.job.ID),
				Value: value,
			}},
		},
		onCommit: []func(){written},
	})
	return nil
}

// commit writes one transaction under the fence, so only while this process is
// the leader, and then updates the view and returns true. When another condition
// doesn't hold, for instance because the job has just been cancelled, nothing is
// written and commit returns false; applyConflict updates the view, so that the
// next decision considers the change. All other errors end the term.
func (r *term) commit(ctx context.Context, c *change) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := r.fence.Commit(ctx, r.leaderValue, c.Change)
	var conflict *sesamerows.ConflictError
	if errors.As(err, &conflict) {
		r.o.Log.Emit(eventConflict, sesamelog.Fields{
			"error": err,
			"rows":  r.differingRows(c.Expects, conflict),
			"view":  r.viewVersion,
		})
		r.applyConflict(ctx, conflict.Rows)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.leaderWrittenAt = r.o.Clock.Steady()
	for _, update := range c.onCommit {
		update()
	}
	return true, nil
}

const (
	// maxGoneTargets is how many lost targets one transaction marks as gone.
	maxGoneTargets = 16
	// maxGoneTries bounds the tries of such a transaction. It conflicts when one
	// of the targets is reported meanwhile, which happens each second.
	maxGoneTries = 3
)

// markGone writes that lost targets are gone and ends, as lost, the members that
// ran on them. If a target's row has changed meanwhile, for instance by a report,
// it tries again with those that are still lost by then. Errors are those of
// commit and of encoding the rows.
func (r *term) markGone(ctx context.Context, lost []*target) error {
	for range maxGoneTries {
		c, err := r.goneChange(lost)
		if err != nil || len(c.Writes) == 0 {
			return err
		}
		written, err := r.commit(ctx, c)
		if err != nil || written {
			return err
		}
	}
	return nil
}

// goneChange returns the writes that mark those of the targets as gone that are
// lost by the present view, each under the condition that its row is the newest
// known.
func (r *term) goneChange(lost []*target) (*change, error) {
	c := &change{}
	var gone []*target
	for _, decided := range lost {
		t, ok := r.view.targets[decided.name]
		if !ok || t.Life != decided.Life || !t.isLost(r.o.Clock.Steady()) {
			continue
		}
		row := t.Target
		row.State = sesamework.TargetGone
		row.Running = nil
		value, err := json.Marshal(row)
		if err != nil {
			return nil, err
		}
		c.Expects = append(c.Expects, sesamerows.Expect{
			Key:     t.key(),
			Version: t.version,
		})
		c.Writes = append(c.Writes, sesamerows.Write{
			Key:   t.key(),
			Value: sesamerows.EncodeUnfencedValue(value),
		})
		gone = append(gone, t)
	}
	c.onCommit = append(c.onCommit, func() {
		r.recordGone(gone)
	})
	return c, nil
}

// recordGone updates the view after the targets were marked as gone.
func (r *term) recordGone(gone []*target) {
	for _, t := range gone {
		t.State = sesamework.TargetGone
		r.o.Log.Emit(eventLost, sesamelog.Fields{
			"target":  t.name,
			"life":    t.Life,
			"removed": t.removed,
			"silent":  (r.o.Clock.Steady() - t.reportedAt).Milliseconds(),
		})
	}
	r.view.endLostMembers()
}
