package sesamerunner

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Bounds of one report.
const (
	// reportTimeout bounds the attempts to write one report.
	reportTimeout = 3 * time.Second
	// maxEndsPerReport bounds the ends recorded in one transaction: each may
	// take a condition and a write; 4 entries stay free, of which the fence
	// (the target's own row) takes 2.
	maxEndsPerReport = (sesamerows.MaxEntries - 4) / 2
	// maxProgressBytes bounds the progress in one report, as JSON. The row also
	// holds up to sesamework.MaxCrashedRuns runs.
	maxProgressBytes = 16 << 10
	// progressOverhead is the most JSON of one task's progress beside its name and
	// its checkpoint.
	progressOverhead = 60
)

// encodeRow returns the target's row for the next report, as JSON, and counts
// the heartbeat up. The caller holds the lock.
func (s *session) encodeRow() ([]byte, error) {
	s.heartbeat++
	state := sesamework.TargetReady
	leaves := time.Duration(0)
	if s.report.Draining {
		state = sesamework.TargetDraining
		leaves = max(0, s.report.MinRemaining-(s.o.Clock.Steady()-s.reportedAt))
	}
	if s.endReason != "" {
		// The planner takes runs without an end for lost once the target is gone.
		state = sesamework.TargetDraining
		if len(s.pendingEnds) <= s.maxEnds() {
			state = sesamework.TargetGone
		}
	}
	t := sesamework.Target{
		ID:           s.id,
		Node:         s.o.Node,
		Service:      s.report.Service,
		Zone:         s.o.Zone,
		Address:      s.report.Address,
		Rack:         s.report.Rack,
		Labels:       s.report.Labels,
		Capacity:     s.report.Capacity,
		State:        state,
		Life:         s.report.Life,
		MinRemaining: leaves.Milliseconds(),
		ColdFor:      max(0, s.report.ColdRemaining-(s.o.Clock.Steady()-s.reportedAt)).Milliseconds(),
		AgentEpoch:   s.agentEpoch,
		Heartbeat:    s.heartbeat,
		Refusing:     s.o.Clock.Steady() < s.refusingUntil || s.missedReports(1),
		SilentFor:    s.silentFor().Milliseconds(),
		Crash:        s.reportedCrash(),
	}
	if s.reportsLeast {
		t.Partial = true
		t.Crash = nil
		return json.Marshal(t)
	}
	t.Running, t.Partial = s.nextProgress()
	return json.Marshal(t)
}

// nextProgress returns the progress of running tasks for the next report, and
// whether there is more than fits into it: then each report goes on where the one
// before ended. The caller holds the lock.
func (s *session) nextProgress() ([]sesamework.Progress, bool) {
	all := slices.Collect(maps.Values(s.running))
	slices.SortFunc(all, func(a, b sesamework.Progress) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	first, _ := slices.BinarySearchFunc(all, s.nextReported, func(p sesamework.Progress, task string) int {
		return cmp.Compare(p.Task, task)
	})
	var listed []sesamework.Progress
	bytes := 0
	for _, p := range slices.Concat(all[first:], all[:first]) {
		bytes += progressOverhead + len(p.Task) + len(p.Checkpoint)
		if bytes > maxProgressBytes {
			s.nextReported = p.Task
			return listed, true
		}
		listed = append(listed, p)
	}
	s.nextReported = ""
	return listed, false
}

// reportLoop writes the target's row and the ends of its runs to the store. It
// returns once the session is over and all ends are recorded, or when another
// process has taken over the target.
func (s *session) reportLoop(ctx context.Context) {
	backoff := sesamerows.NewBackoff()
	for ctx.Err() == nil {
		over := s.isOver()
		err := s.writeReport(ctx)
		switch {
		case err == nil && over && !s.hasPendingEnds():
			return
		case err == nil:
			backoff.Reset()
			s.storeAnswered()
		case ctx.Err() != nil:
			return
		case s.isSuperseded(err):
			s.finish(superseded)
			return
		case errors.HasType(err, (*sesamerows.FenceLostError)(nil)):
			s.storeFailed(err)
			if s.isSilent() {
				s.finish("planner gave up the silent target")
				return
			}
			s.awaitLapse(ctx)
			if !s.acquire(ctx) {
				return
			}
		case errors.HasType(err, (*sesamerows.RejectedError)(nil)):
			s.reportRejected(err)
			backoff.Wait(ctx)
			continue
		default:
			s.storeFailed(err)
			backoff.Wait(ctx)
			continue
		}
		if !s.hasPendingEnds() {
			s.awaitReport(ctx)
		}
	}
}

// hasPendingEnds reports whether ends of runs are not yet in the store.
func (s *session) hasPendingEnds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pendingEnds) > 0
}

// awaitReport waits for sesamework.ReportInterval, or until wakeReport asks for a
// report at once or ctx ends.
func (s *session) awaitReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sesamework.ReportInterval)
	defer cancel()
	select {
	case <-s.wakeReport:
	case <-ctx.Done():
	}
}

// writeReport writes one report with the ends that wait, in one fenced
// transaction. When some of these ends turn out to be recorded already, it drops
// them and writes the report without them.
func (s *session) writeReport(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	s.mu.Lock()
	value, err := s.encodeRow()
	ends := s.nextEnds()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	change, err := changeOf(ends)
	if err != nil {
		return err
	}
	sent := s.o.Clock.Steady()
	err = s.fence.Commit(ctx, value, change)
	var conflict *sesamerows.ConflictError
	if errors.As(err, &conflict) {
		s.dropRecorded(conflict)
		return s.writeReport(ctx)
	}
	if err != nil {
		return err
	}
	s.o.Scope.Histogram("report", callBuckets).RecordDuration(s.o.Clock.Steady() - sent)
	s.confirm(sent, ends)
	return nil
}

// nextEnds returns the ends to record next. Those that the target listed are in
// the order of their numbers: LeaseRenewal.LastRecorded acknowledges all ends up
// to a number, so none below it may be left out. The caller holds the lock.
func (s *session) nextEnds() []pendingEnd {
	all := make([]pendingEnd, 0, len(s.pendingEnds))
	for _, e := range s.pendingEnds {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b pendingEnd) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.key.task, b.key.task))
	})
	return all[:min(len(all), s.maxEnds())]
}

// maxEnds returns how many ends the next report may record. The caller holds the
// lock.
func (s *session) maxEnds() int {
	if s.reportsLeast {
		return 1
	}
	return maxEndsPerReport
}

// changeOf returns the writes that record the ends. The end of a run that never
// started is written only if its row does not exist yet, so that it can't
// replace one that an earlier process recorded.
func changeOf(ends []pendingEnd) (sesamerows.Change, error) {
	var c sesamerows.Change
	for _, e := range ends {
		value, err := json.Marshal(e.value)
		if err != nil {
			return c, err
		}
		if e.number == 0 {
			c.Expects = append(c.Expects, sesamerows.Expect{
				Key: e.row,
			})
		}
		c.Writes = append(c.Writes, sesamerows.Write{
			Key:   e.row,
			Value: value,
		})
	}
	return c, nil
}

// dropRecorded drops the pending ends of runs that never started here and whose
// end is in the store already.
func (s *session) dropRecorded(conflict *sesamerows.ConflictError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range conflict.Rows {
		if e, ok := s.pendingEnds[row.Key]; ok && e.number == 0 {
			delete(s.pendingEnds, row.Key)
		}
	}
}

// confirm notes that the store confirmed the report sent at the time sent, on
// the steady clock. ends are the ended runs in that report; they are recorded
// now and need not be reported again, unless another end has replaced them.
func (s *session) confirm(sent time.Duration, ends []pendingEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = sent
	s.reportsLeast = false
	for _, e := range ends {
		if s.pendingEnds[e.row].number == e.number {
			delete(s.pendingEnds, e.row)
		}
		s.lastRecorded = max(s.lastRecorded, e.number)
	}
}

// isSuperseded reports whether the error of a report means that another process
// has taken over the target, or that the target was started again since
// (Target.Life is the time of its start). It returns false if the planner has
// given the target up instead, since the row can then be acquired again.
func (s *session) isSuperseded(err error) bool {
	var lost *sesamerows.FenceLostError
	if !errors.As(err, &lost) {
		return false
	}
	var t sesamework.Target
	if lost.Found.Version != 0 {
		if err := json.Unmarshal(sesamerows.DecodeFenceValue(lost.Found.Value), &t); err != nil {
			s.o.Log.Emit(eventBadRow, sesamelog.Fields{
				"row":   lost.Key.String(),
				"error": err,
			})
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.AgentEpoch > s.agentEpoch || t.Life > s.report.Life
}

// reportRejected notes that the store refuses the report as such, and logs that if
// it is the first time in a row. The lease goes on only with a confirmed report, so
// that the next ones hold no more than is needed for that; see encodeRow and
// nextEnds.
func (s *session) reportRejected(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportsLeast {
		return
	}
	s.reportsLeast = true
	s.o.Log.Emit(eventRejected, sesamelog.Fields{
		"target":  s.id,
		"running": len(s.running),
		"ends":    len(s.pendingEnds),
		"error":   err,
	})
}

// isSilent reports whether the target has not answered for longer than
// silenceToReport.
func (s *session) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentFor() > 0
}

// storeFailed notes that the store did not confirm a report, and logs the error
// if it is the first in a row.
func (s *session) storeFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeLost {
		return
	}
	s.storeLost = true
	s.o.Log.Emit(eventStoreLost, sesamelog.Fields{
		"target":    s.id,
		"error":     err,
		"confirmed": (s.o.Clock.Steady() - s.confirmedAt).Milliseconds(),
	})
}

// storeAnswered notes that the store confirmed a report, and logs that if the
// one before was not confirmed.
func (s *session) storeAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeLost {
		return
	}
	s.storeLost = false
	s.o.Log.Emit(eventStoreBack, sesamelog.Fields{
		"target": s.id,
	})
}
