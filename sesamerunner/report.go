package sesamerunner

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// reportTimeout bounds the repetition of one report.
	reportTimeout = 3 * time.Second
	// maxEnds bounds the ends recorded in one transaction; each may take a
	// condition and a write.
	maxEnds = (sesamerows.MaxEntries - 4) / 2
)

// take makes this process the one that serves the target. It returns false
// when the session is over before.
func (s *session) take(ctx context.Context) bool {
	retry := sesamerows.NewBackoff()
	for ctx.Err() == nil && !s.isOver() {
		err := s.takeOnce(ctx)
		if err == nil {
			s.o.Log.Emit(eventSessionBegin, sesamelog.Fields{
				"target":  s.id,
				"life":    s.life(),
				"holder":  s.agentEpoch,
				"version": s.fence.Version(),
			})
			return true
		}
		s.storeFailed(err)
		retry.Wait(ctx)
	}
	return false
}

func (s *session) takeOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	row, _, err := sesamerows.ReadRow(ctx, s.o.Store, s.key)
	if err != nil {
		return err
	}
	var earlier sesamework.Target
	if row.Version > 0 {
		if err := json.Unmarshal(sesamerows.DecodeFenceValue(row.Value), &earlier); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.agentEpoch = earlier.AgentEpoch + 1
	value, err := s.row()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	sent := s.o.Clock.Steady()
	if err := s.fence.Take(ctx, row.Version, value); err != nil {
		return err
	}
	recorded, err := s.recordedEnds(ctx, earlier)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = sent
	for _, key := range recorded {
		s.stateOf(key).phase = phaseEnded
	}
	return nil
}

// recordedEnds returns the runs of this life whose end an earlier process has
// recorded, so that they are not ordered again.
func (s *session) recordedEnds(ctx context.Context, earlier sesamework.Target) ([]runKey, error) {
	if earlier.Life != s.life() {
		return nil, nil
	}
	page, err := sesamerows.ReadAll(ctx, s.o.Store, sesamerows.Range{
		Table: s.key.Table,
		Part:  s.key.Part,
		From:  sesamework.EndPrefix,
		To:    sesamework.TargetPrefix,
	})
	if err != nil {
		return nil, err
	}
	var keys []runKey
	for _, row := range page.Rows {
		var e sesamework.End
		task, run, ok := sesamework.ParseEndKey(row.Key)
		if !ok || json.Unmarshal(row.Value, &e) != nil || e.Target != s.key.Name || e.Life != earlier.Life {
			continue
		}
		keys = append(keys, runKey{
			task: task.String(),
			run:  run,
		})
	}
	return keys, nil
}

// row returns the target's row. The caller holds the lock.
func (s *session) row() ([]byte, error) {
	s.beat++
	state := sesamework.TargetReady
	leaves := time.Duration(0)
	if s.report.Draining {
		state = sesamework.TargetDraining
		leaves = max(0, s.report.Leaves-(s.o.Clock.Steady()-s.reported))
	}
	if s.ended != "" {
		state = sesamework.TargetGone
	}
	t := sesamework.Target{
		ID:           s.id,
		Node:         s.o.Node,
		Service:      s.report.Service,
		Zone:         s.o.Zone,
		Address:      s.report.Address,
		Rack:         s.report.Rack,
		Labels:       s.report.Labels,
		Capacity:     s.report.Room,
		State:        state,
		Life:         s.report.Life,
		MinRemaining: leaves.Milliseconds(),
		AgentEpoch:   s.agentEpoch,
		Heartbeat:    s.beat,
		Refusing:     s.o.Clock.Steady() < s.refusing,
		SilentFor:    s.silentFor().Milliseconds(),
	}
	for _, p := range s.running {
		t.Running = append(t.Running, p)
	}
	slices.SortFunc(t.Running, func(a, b sesamework.Progress) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return json.Marshal(t)
}

// reportLoop writes the target's row and the ends of its runs until the
// session is over.
func (s *session) reportLoop(ctx context.Context) {
	retry := sesamerows.NewBackoff()
	for ctx.Err() == nil {
		over := s.isOver()
		err := s.write(ctx)
		switch {
		case err == nil && over && !s.hasEnds():
			return
		case err == nil:
			retry.Reset()
			s.storeAnswered()
		case ctx.Err() != nil:
			return
		case s.isSuperseded(err):
			s.end(superseded)
			return
		case errors.HasType(err, (*sesamerows.FenceLostError)(nil)):
			// The planner gave the target up: nothing runs there any more.
			s.storeFailed(err)
			if s.isSilent() {
				s.end("planner gave the silent target up")
			}
			if !s.take(ctx) {
				return
			}
		default:
			s.storeFailed(err)
			retry.Wait(ctx)
			continue
		}
		if !s.hasEnds() {
			s.awaitReport(ctx)
		}
	}
}

func (s *session) hasEnds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ends) > 0
}

func (s *session) awaitReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sesamework.ReportInterval)
	defer cancel()
	select {
	case <-s.record:
	case <-ctx.Done():
	}
}

// write makes one report with the ends that wait.
func (s *session) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	s.mu.Lock()
	value, err := s.row()
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
		return nil
	}
	if err != nil {
		return err
	}
	s.o.Scope.Histogram("report", callBuckets).RecordDuration(s.o.Clock.Steady() - sent)
	s.confirm(sent, ends)
	return nil
}

// nextEnds returns the ends to record, those that the target lists in their
// order, since the numbers of recorded ends grow. The caller holds the lock.
func (s *session) nextEnds() []end {
	all := make([]end, 0, len(s.ends))
	for _, e := range s.ends {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b end) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.key.task, b.key.task))
	})
	return all[:min(len(all), maxEnds)]
}

// changeOf returns the rows of the ends. The end of a run that was not there
// must not replace one that an earlier process recorded.
func changeOf(ends []end) (sesamerows.Change, error) {
	var c sesamerows.Change
	for _, e := range ends {
		value, err := json.Marshal(e.value)
		if err != nil {
			return c, err
		}
		if e.number == 0 {
			c.Expects = append(c.Expects, sesamerows.Expect{
				Key: e.place,
			})
		}
		c.Writes = append(c.Writes, sesamerows.Write{
			Key:   e.place,
			Value: value,
		})
	}
	return c, nil
}

// dropRecorded forgets the ends of runs that were not there and that have an
// end already.
func (s *session) dropRecorded(conflict *sesamerows.ConflictError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range conflict.Rows {
		if e, ok := s.ends[row.Key]; ok && e.number == 0 {
			delete(s.ends, row.Key)
		}
	}
}

// confirm takes note of a report that the store confirmed.
func (s *session) confirm(sent time.Duration, ends []end) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = sent
	for _, e := range ends {
		delete(s.ends, e.place)
		s.recorded = max(s.recorded, e.number)
	}
}

// isSuperseded reports whether another agent serves the target by now. A row
// that the planner gave up is taken again instead.
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

func (s *session) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentFor() > 0
}

func (s *session) storeFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return
	}
	s.lost = true
	s.o.Log.Emit(eventStoreLost, sesamelog.Fields{
		"target":    s.id,
		"error":     err,
		"confirmed": (s.o.Clock.Steady() - s.confirmed).Milliseconds(),
	})
}

func (s *session) storeAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost {
		return
	}
	s.lost = false
	s.o.Log.Emit(eventStoreBack, sesamelog.Fields{
		"target": s.id,
	})
}
