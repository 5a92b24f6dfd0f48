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

// states holds the jobs' statuses as last read from their rows, which answers
// callers' questions about the state of jobs. It follows the store's feed of
// changes.
type states struct {
	log *sesamelog.Logger

	mu sync.Mutex
	// jobs holds the newest status rows, by job ID.
	jobs map[string]jobRow
	// queued counts queued jobs that don't recur, by queue.
	queued map[string]int
	// summary is the planner's, of the row with summaryVersion; nil if there is no
	// such row.
	summary        *sesamework.Summary
	summaryVersion sesamerows.Version
}

// jobRow is a job's status and the version of the row it came from.
type jobRow struct {
	sesamework.JobStatus
	version sesamerows.Version
}

// newStates returns states without any job; run adds them from the store.
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

// run follows the table of status rows until ctx ends, and then returns nil. It
// adds the times in the store's answers to storeClock.
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

// apply updates the jobs from the changed rows in b, or from all rows of the
// table if b is a snapshot.
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

// dropMissing drops the jobs without a row in b, a snapshot of the table, except
// those whose row is newer than the snapshot. The caller holds the lock.
func (s *states) dropMissing(b sesamerows.Batch) {
	present := make(map[string]bool, len(b.Rows))
	hasSummary := false
	for _, row := range b.Rows {
		if row.Key == sesamework.SummaryKey() {
			hasSummary = true
			continue
		}
		present[row.Key.Name] = true
	}
	if !hasSummary && s.summaryVersion <= b.Version {
		s.summary = nil
	}
	for id, old := range s.jobs {
		if !present[id] && old.version <= b.Version {
			s.remove(id)
		}
	}
}

// set updates a job from its status row, unless the row is older than the one
// held for that job. A row that was removed or can't be decoded removes the job.
// The caller holds the lock.
func (s *states) set(row sesamerows.Row) {
	if row.Key == sesamework.SummaryKey() {
		s.setSummary(row)
		return
	}
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

// setSummary updates the planner's summary from its row. Without a row, or with one
// that can't be decoded, there is none. The caller holds the lock.
func (s *states) setSummary(row sesamerows.Row) {
	if row.Version < s.summaryVersion {
		return
	}
	s.summaryVersion = row.Version
	s.summary = nil
	if row.Removed {
		return
	}
	var summary sesamework.Summary
	if err := json.Unmarshal(row.Value, &summary); err != nil {
		s.log.Emit(eventBadSummary, sesamelog.Fields{
			"error": err,
		})
		return
	}
	s.summary = &summary
}

// currentSummary returns the planner's summary as last read, or nil if there is none.
func (s *states) currentSummary() *sesamework.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.summary
}

// remove drops a job, if it is held, and no longer counts it in s.queued. The
// caller holds the lock.
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

// countsAsQueued reports whether the job counts in states.queued.
func countsAsQueued(s sesamework.JobStatus) bool {
	return s.State == sesamework.JobQueued && !s.Recurring
}

// get returns the newest status read of a job. It returns false if none was read
// yet, or if the job's row was removed or can't be decoded.
func (s *states) get(id string) (sesamework.JobStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.jobs[id]
	return found.JobStatus, ok
}

// queuedJobs returns how many jobs of the queue have no task started, without
// those that recur.
func (s *states) queuedJobs(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued[queue]
}
