package sesamegang

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// maxTombstones bounds the tombstones of one incarnation, one for each job;
	// an agent that has reached it refuses new attempts.
	maxTombstones = 1 << 16
	// renewalTombstones is the number of tombstones from which on an agent
	// without attempts takes a new incarnation.
	renewalTombstones = maxTombstones / 2
	// maxTombstoneResults bounds the tombstones that keep the results of their
	// attempt.
	maxTombstoneResults = 256
	// tombstoneShards is the number of maps that the tombstones are spread over,
	// so that a change copies only one small map.
	tombstoneShards = 256
)

// tombstone marks an attempt of a job as ended: neither that attempt nor an
// earlier one starts on this agent. It keeps the report of that attempt.
type tombstone struct {
	// attempt is the number of the attempt.
	attempt uint32
	report  *sesamewire.MemberReport
	// recorded is true when the outcome is stored in the job's row.
	recorded bool
}

// tombstones is an immutable set of tombstones, one for each job. Single
// tombstones are never dropped, since a Prepare can arrive after any delay.
// Instead, the whole set is dropped with the incarnation: every call names the
// incarnation that it is meant for, so an agent without attempts can take a new
// one and refuse all earlier calls.
type tombstones struct {
	// shards hold the tombstones by job; shardOf returns the shard of a job.
	shards [tombstoneShards]map[string]tombstone
	// count is the number of tombstones in all shards.
	count int
	// withResults are the attempts whose tombstones keep results, oldest first.
	withResults []AttemptKey
}

// shardOf returns the index of the shard that has the job's tombstone.
func shardOf(job string) int {
	return int(xxhash.Sum64String(job) % tombstoneShards)
}

// find returns the tombstone that covers the attempt, which is one of the same
// attempt or of a later attempt of the job. It returns false if there is none.
func (t *tombstones) find(k AttemptKey) (tombstone, bool) {
	s, ok := t.shards[shardOf(k.Job)][k.Job]
	if !ok || s.attempt < k.Attempt {
		return tombstone{}, false
	}
	return s, true
}

// full reports whether there are as many tombstones as allowed.
func (t *tombstones) full() bool {
	return t.count >= maxTombstones
}

// with returns the tombstones with one added for the attempt, in place of one of
// an earlier attempt. A tombstone of a later attempt stays, as it covers k too.
// Beyond maxTombstoneResults, the oldest results are dropped.
func (t *tombstones) with(k AttemptKey, s tombstone) *tombstones {
	if earlier, ok := t.find(k); ok && earlier.attempt > k.Attempt {
		return t
	}
	s.attempt = k.Attempt
	next := *t
	if _, ok := t.shards[shardOf(k.Job)][k.Job]; !ok {
		next.count++
	}
	next.set(k.Job, s)
	if len(s.report.GetResults()) > 0 {
		next.withResults = append(append([]AttemptKey{}, t.withResults...), k)
	}
	if len(next.withResults) > maxTombstoneResults {
		next.dropResults(next.withResults[0])
		next.withResults = next.withResults[1:]
	}
	return &next
}

// set replaces the job's tombstone in a copy of its shard. It changes the
// receiver, so it is called only on a set that is not shared yet.
func (t *tombstones) set(job string, s tombstone) {
	i := shardOf(job)
	shard := maps.Clone(t.shards[i])
	if shard == nil {
		shard = map[string]tombstone{}
	}
	shard[job] = s
	t.shards[i] = shard
}

// dropResults replaces the report in the attempt's tombstone by one without
// results, whose progress is unknown. It changes the receiver, as set does.
func (t *tombstones) dropResults(k AttemptKey) {
	s, ok := t.find(k)
	if !ok || s.attempt != k.Attempt {
		return
	}
	s.report = &sesamewire.MemberReport{
		Member:   s.report.GetMember(),
		Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
		Detail:   "the outcome was recorded and is no longer kept on this agent",
	}
	t.set(k.Job, s)
}
