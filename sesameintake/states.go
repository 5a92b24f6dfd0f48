package sesameintake

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// states is a view of the rows that callers' questions are answered from.
type states struct {
	log *sesamelog.Logger

	mu   sync.Mutex
	jobs map[string]jobRow
	// queued counts queued jobs by queue.
	queued map[string]int
}

type jobRow struct {
	sesamework.JobStatus
	version sesamerows.Version
}

func newStates(log *sesamelog.Logger) *states {
	return &states{
		log:    log,
		jobs:   map[string]jobRow{},
		queued: map[string]int{},
	}
}

// feedWait is how long one call for changes waits, which is also how long a
// silent connection goes unnoticed beyond the call's own timeout.
const feedWait = time.Second

// run follows the table until ctx ends.
func (s *states) run(ctx context.Context, store sesamerows.Store, storeClock sesamerows.StoreClock) error {
	follower := sesamerows.NewFollower(store, sesamerows.FollowOptions{
		Table: sesamework.StateTable,
		Wait:  feedWait,
	})
	backoff := sesamerows.NewBackoff()
	for ctx.Err() == nil {
		batch, err := follower.Next(ctx)
		if err != nil {
			// The loss itself is logged by Policies, which ask the same store.
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		storeClock.AddSample(batch.Now)
		s.apply(batch)
	}
	return nil
}

func (s *states) apply(b sesamerows.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Snapshot {
		s.dropMissing(b)
	}
	for _, row := range b.Rows {
		s.set(row)
	}
}

// dropMissing drops what a whole reading no longer has.
func (s *states) dropMissing(b sesamerows.Batch) {
	present := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		present[row.Key.Name] = true
	}
	for id, old := range s.jobs {
		if !present[id] && old.version <= b.Version {
			s.remove(id)
		}
	}
}

func (s *states) set(row sesamerows.Row) {
	id := row.Key.Name
	if row.Version < s.jobs[id].version {
		return
	}
	s.remove(id)
	if row.Removed {
		return
	}
	value := jobRow{
		version: row.Version,
	}
	if err := json.Unmarshal(row.Value, &value.JobStatus); err != nil {
		s.log.Emit(eventBadState, sesamelog.Fields{
			"job":   id,
			"error": err,
		})
		return
	}
	s.jobs[id] = value
	if countsAsQueued(value.JobStatus) {
		s.queued[value.Queue]++
	}
}

func (s *states) remove(id string) {
	old, ok := s.jobs[id]
	if !ok {
		return
	}
	delete(s.jobs, id)
	if countsAsQueued(old.JobStatus) {
		s.queued[old.Queue]--
	}
}

func countsAsQueued(s sesamework.JobStatus) bool {
	return s.State == sesamework.JobQueued && !s.Recurring
}

func (s *states) get(id string) (sesamework.JobStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.jobs[id]
	return found.JobStatus, ok
}

func (s *states) queuedJobs(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued[queue]
}
