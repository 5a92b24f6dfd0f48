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

const (
	// maxChangeEntries is the most conditions, writes and removals that are batched
	// into one transaction. It leaves room for the fence's own entries and those of
	// one more run.
	maxChangeEntries = sesamerows.MaxEntries - 8
	// maxChangeBytes bounds the body of such a transaction. It leaves room for the
	// fence's own entries.
	maxChangeBytes = sesamerows.MaxTransactionBytes * 9 / 10
)

// decideAndWrite takes a decision and writes it. Then it does the upkeep of the store, and
// renews the leader's row, since transactions that conflict don't. Errors are those of
// upkeep and of encoding the rows.
func (r *term) decideAndWrite(ctx context.Context) error {
	d := r.view.Decide(r.now())
	r.countSpeeds(d)
	written, err := r.write(ctx, d)
	if err == nil {
		err = r.upkeep(ctx, d.IsEmpty(), written)
	}
	if err != nil {
		return err
	}
	return r.renewLeaderRow(ctx)
}

// write writes a decision: starts and stops first, which are urgent, then which targets
// are gone. It returns how many transactions it took for the former. Errors are those of
// commit and of encoding the rows.
func (r *term) write(ctx context.Context, d Decision) (int, error) {
	batch, restarts := &changeBatch{}, &changeBatch{}
	if err := r.collect(d, batch, restarts); err != nil {
		return 0, err
	}
	if len(batch.transactions) > 0 {
		if c, due := r.summaryChange(); due {
			batch.add(c)
		}
	}
	transactions := slices.Concat(batch.transactions, restarts.transactions)
	for _, parts := range transactions {
		if _, err := r.commitParts(ctx, parts...); err != nil {
			return 0, err
		}
	}
	for lost := range slices.Chunk(d.Lost, maxGoneTargets) {
		if err := r.markGone(ctx, lost); err != nil {
			return 0, err
		}
	}
	return len(transactions), nil
}

// renewLeaderRow writes the leader's row when no transaction has written it for
// leaderRenewInterval, and with it the summary if that is due.
func (r *term) renewLeaderRow(ctx context.Context) error {
	if r.o.Clock.Steady()-r.leaderWrittenAt < leaderRenewInterval {
		return nil
	}
	var err error
	if c, due := r.summaryChange(); due {
		_, err = r.commitParts(ctx, c)
	} else {
		_, err = r.commit(ctx, change{})
	}
	return err
}

// change is one transaction, or a part of one that is useful by itself, with the
// callbacks that update the view once it is committed or the store has refused it
// as such.
type change struct {
	sesamerows.Change
	onCommit []func()
	onReject []func(error)
}

// with returns the change together with another one.
func (c change) with(other change) change {
	merged := c
	merged.Expects = slices.Clone(c.Expects)
	for _, e := range other.Expects {
		if !slices.Contains(merged.Expects, e) {
			merged.Expects = append(merged.Expects, e)
		}
	}
	merged.Writes = slices.Concat(c.Writes, other.Writes)
	merged.Removes = slices.Concat(c.Removes, other.Removes)
	merged.onCommit = slices.Concat(c.onCommit, other.onCommit)
	merged.onReject = slices.Concat(c.onReject, other.onReject)
	return merged
}

// entries returns the number of conditions, writes and removals.
func (c change) entries() int {
	return len(c.Expects) + len(c.Writes) + len(c.Removes)
}

// bytes returns the most that the change takes in the body of a transaction.
func (c change) bytes() int {
	return sesamerows.Transaction(c.Change).Bytes()
}

// changeBatch packs changes into as few transactions as possible, each of which is
// a list of changes.
type changeBatch struct {
	transactions [][]change
	// entries and bytes are those of the newest transaction.
	entries int
	bytes   int
}

// add appends the change to the newest transaction, or begins another one when
// that would exceed maxChangeEntries or maxChangeBytes.
func (c *changeBatch) add(added change) {
	entries, bytes := added.entries(), added.bytes()
	if len(c.transactions) == 0 || c.entries+entries > maxChangeEntries || c.bytes+bytes > maxChangeBytes {
		c.transactions = append(c.transactions, nil)
		c.entries, c.bytes = 0, 0
	}
	last := len(c.transactions) - 1
	c.transactions[last] = append(c.transactions[last], added)
	c.entries += entries
	c.bytes += bytes
}

// runRows returns the writes of the unit's run r to the run tables of its
// members' zones, with the names of the rows, and the removals of rows that only
// the previous run used. The error is that of the encoding.
func runRows(u *unit, r sesamework.Run) (sesamerows.Change, []sesamework.RunRow, error) {
	var c sesamerows.Change
	var rows []sesamework.RunRow
	for _, part := range r.Split() {
		value, err := json.Marshal(part.Run)
		if err != nil {
			return c, nil, err
		}
		c.Writes = append(c.Writes, sesamerows.Write{
			Key:   part.Row.Key(u.id),
			Value: value,
		})
		rows = append(rows, part.Row)
	}
	for _, row := range u.rows {
		if !slices.Contains(rows, row) {
			c.Removes = append(c.Removes, row.Key(u.id))
		}
	}
	return c, rows, nil
}

// collect adds the writes of the stops, starts and states of a decision to the
// batch. That a job runs is published with a start of it: if the store refuses the
// start, nothing of the job may run. Starts after a loss, and states that rest on
// one, go to restarts: their conditions are in other parts of the store, and a
// refusal must not hold up the rest. Errors are those of encoding the rows.
func (r *term) collect(d Decision, batch, restarts *changeBatch) error {
	for _, s := range d.Stops {
		if err := r.collectStop(s, batch); err != nil {
			return err
		}
	}
	running := map[*job]State{}
	for _, s := range d.States {
		if s.state == sesamework.JobRunning {
			running[s.job] = s
		}
	}
	for _, s := range d.Starts {
		c, err := r.startChange(s)
		if err != nil {
			return err
		}
		if state, ok := running[s.unit.job]; ok {
			published, err := r.stateChange(state)
			if err != nil {
				return err
			}
			c = c.with(published)
			delete(running, s.unit.job)
		}
		into := batch
		if len(s.unit.lossConditions(r.view.ends)) > 0 {
			into = restarts
		}
		into.add(c)
	}
	for _, s := range d.States {
		if _, open := running[s.job]; s.state == sesamework.JobRunning && !open {
			continue
		}
		c, err := r.stateChange(s)
		if err != nil {
			return err
		}
		into := batch
		if len(r.stateConditions(s)) > 0 {
			into = restarts
		}
		into.add(c)
	}
	return nil
}

// collectStop adds the write that sets a run's stop reason.
func (r *term) collectStop(s Stop, batch *changeBatch) error {
	run := s.unit.run
	run.StopReason = s.reason
	changed, rows, err := runRows(s.unit, run)
	if err != nil {
		return err
	}
	written := func() {
		s.unit.run = run
		s.unit.rows = rows
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
		Change:   changed,
		onCommit: []func(){written},
		onReject: []func(error){func(err error) {
			s.unit.rejections.add(r.o.Clock.Steady())
			r.logRejected("stop", s.unit.id.String(), changed, err)
		}},
	})
	return nil
}

// startChange returns the write that orders a run, under the conditions that the
// job has no cancel row, and that the view knows all recorded ends of those
// members of the run before that count as lost.
func (r *term) startChange(s Start) (change, error) {
	changed, rows, err := runRows(s.unit, s.run)
	if err != nil {
		return change{}, err
	}
	changed.Expects = append(s.unit.lossConditions(r.view.ends), sesamerows.Expect{
		Key: sesamework.CancelKey(s.unit.id.Job),
	})
	written := func() {
		waited := r.o.Clock.Steady() - s.unit.readySince
		s.unit.setRun(s.run, r.o.Clock.Steady())
		s.unit.rows = rows
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
	return change{
		Change:   changed,
		onCommit: []func(){written},
		onReject: []func(error){func(err error) {
			s.unit.claim = claim{}
			s.unit.rejections.add(r.o.Clock.Steady())
			r.logRejected("start", s.unit.id.String(), changed, err)
		}},
	}, nil
}

// stateChange returns the write that publishes a job's state, under the conditions
// of stateConditions.
func (r *term) stateChange(s State) (change, error) {
	value, err := json.Marshal(sesamework.JobStatus{
		State:     s.state,
		Queue:     s.job.Queue,
		Team:      s.job.Team,
		Recurring: s.job.Recurs(),
	})
	if err != nil {
		return change{}, err
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
	changed := sesamerows.Change{
		Expects: r.stateConditions(s),
		Writes: []sesamerows.Write{{
			Key:   sesamework.StateKey(sesamework.PlanPart, s.job.ID),
			Value: value,
		}},
	}
	return change{
		Change:   changed,
		onCommit: []func(){written},
		onReject: []func(error){func(err error) {
			s.job.rejections.add(r.o.Clock.Steady())
			r.logRejected("state", s.job.ID, changed, err)
		}},
	}, nil
}

// commit writes one transaction under the fence, so only while this process is
// the leader, and then updates the view and returns true. When another condition
// doesn't hold, for instance because the job has just been cancelled, nothing is
// written and commit returns false; applyConflict updates the view, so that the
// next decision considers the change. All other errors end the term.
func (r *term) commit(ctx context.Context, c change) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := r.o.Clock.Steady()
	err := r.fence.Commit(ctx, r.leaderValue, c.Change)
	var conflict *sesamerows.ConflictError
	if errors.As(err, &conflict) {
		r.observeCommit(began, nil)
		r.o.Log.Emit(eventConflict, sesamelog.Fields{
			"error": err,
			"rows":  r.differingRows(c.Expects, conflict),
			"view":  r.viewVersion,
		})
		r.applyConflict(ctx, conflict.Rows)
		return false, nil
	}
	r.observeCommit(began, err)
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
		parts, err := r.goneChanges(lost)
		if err != nil || len(parts) == 0 {
			return err
		}
		written, err := r.commitParts(ctx, parts...)
		if err != nil {
			return err
		}
		if written {
			r.view.endLostMembers()
			return nil
		}
	}
	return nil
}

// goneChanges returns the writes that mark those of the targets as gone that are
// lost by the present view, each under the condition that its row is the newest
// known.
func (r *term) goneChanges(lost []*target) ([]change, error) {
	var parts []change
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
		changed := sesamerows.Change{
			Expects: []sesamerows.Expect{{
				Key:     t.key(),
				Version: t.version,
			}},
			Writes: []sesamerows.Write{{
				Key:   t.key(),
				Value: sesamerows.EncodeUnfencedValue(value),
			}},
		}
		parts = append(parts, change{
			Change:   changed,
			onCommit: []func(){func() { r.recordGone(t) }},
			onReject: []func(error){func(err error) {
				t.rejections.add(r.o.Clock.Steady())
				r.logRejected("gone", t.name, changed, err)
			}},
		})
	}
	return parts, nil
}

// recordGone updates the view after the target was marked as gone.
func (r *term) recordGone(t *target) {
	t.State = sesamework.TargetGone
	r.o.Log.Emit(eventLost, sesamelog.Fields{
		"target":  t.name,
		"life":    t.Life,
		"removed": t.removed,
		"silent":  (r.o.Clock.Steady() - t.reportedAt).Milliseconds(),
	})
}
