package sesamerunner

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// acquire makes this process the one that serves the target, by writing the
// target's row with a new agent epoch. It tries until it succeeds, and returns
// false when the session or ctx ends before.
func (s *session) acquire(ctx context.Context) bool {
	backoff := sesamerows.NewBackoff()
	for ctx.Err() == nil && !s.isOver() {
		err := s.acquireOnce(ctx)
		if err == nil {
			s.o.Log.Emit(eventSessionBegin, sesamelog.Fields{
				"target":  s.id,
				"life":    s.life(),
				"holder":  s.agentEpoch,
				"version": s.fence.Version(),
			})
			return true
		}
		if errors.HasType(err, (*OtherLifeError)(nil)) {
			s.finish("another life of the target answers")
			return false
		}
		s.storeFailed(err)
		backoff.Wait(ctx)
	}
	return false
}

// acquireOnce reads the target's row, writes that row with the next agent epoch
// and reads which runs have a recorded end.
func (s *session) acquireOnce(ctx context.Context) error {
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
	if err := s.confirmLife(ctx, earlier); err != nil {
		return err
	}
	s.mu.Lock()
	s.agentEpoch = earlier.AgentEpoch + 1
	s.noteGivenUp(earlier, row.Version)
	value, err := s.encodeRow()
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
	s.confirmedAt = sent
	s.isGivenUp = false
	for _, key := range recorded {
		s.stateOf(key).phase = phaseEnded
	}
	return nil
}

// recordedEnds returns the runs of this life whose end an earlier process has
// recorded, so that they are not ordered again. earlier is the target's row as
// that process wrote it last. If that row is of another life, there are none.
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

// confirmLife asks the target for its life if its row, as found, is of another
// one that may still run: the report that began this session may have been held
// up since an earlier life. The call has no effect. It returns an *OtherLifeError
// unless the target is in the session's life; other errors are those of
// Executor.RenewLease.
func (s *session) confirmLife(ctx context.Context, found sesamework.Target) error {
	life := s.life()
	if found.Life == 0 || found.Life == life || found.State == sesamework.TargetGone {
		return nil
	}
	listing, err := s.executor.RenewLease(ctx, LeaseRenewal{
		AgentEpoch: found.AgentEpoch,
	})
	if err != nil {
		return err
	}
	if listing.Life == 0 || listing.Life != life {
		return &OtherLifeError{}
	}
	return nil
}
