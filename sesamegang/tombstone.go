package sesamegang

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// maxTombstones bounds the jobs that one incarnation remembers.
	maxTombstones = 1 << 16
	// renewalTombstones is when an idle agent takes a new incarnation.
	renewalTombstones = maxTombstones / 2
	// maxTombstoneResults bounds the tombstones that still hold results.
	maxTombstoneResults = 256
	// tombstoneShards bounds what one change copies.
	tombstoneShards = 256
)

// tombstone promises that no attempt of a job up to a number starts here. It
// keeps how the last one ended.
type tombstone struct {
	attempt  uint32
	report   *sesamewire.MemberReport
	recorded bool
}

// tombstones are never dropped one by one, since a late Prepare can come after
// any delay. They are bounded by the incarnation: every call names the one it
// is meant for, so an agent that holds no attempt takes a new incarnation and
// forgets them all.
type tombstones struct {
	shards      [tombstoneShards]map[string]tombstone
	count       int
	withResults []AttemptKey
}

func shardOf(job string) int {
	return int(xxhash.Sum64String(job) % tombstoneShards)
}

// find returns the tombstone that covers the attempt.
func (t *tombstones) find(k AttemptKey) (tombstone, bool) {
	s, ok := t.shards[shardOf(k.Job)][k.Job]
	if !ok || s.attempt < k.Attempt {
		return tombstone{}, false
	}
	return s, true
}

func (t *tombstones) full() bool {
	return t.count >= maxTombstones
}

// with returns the tombstones with one more; a later attempt's covers it.
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

func (t *tombstones) set(job string, s tombstone) {
	i := shardOf(job)
	shard := maps.Clone(t.shards[i])
	if shard == nil {
		shard = map[string]tombstone{}
	}
	shard[job] = s
	t.shards[i] = shard
}

// dropResults drops the results of an attempt and keeps the promise.
func (t *tombstones) dropResults(k AttemptKey) {
	s, ok := t.find(k)
	if !ok || s.attempt != k.Attempt {
		return
	}
	s.report = &sesamewire.MemberReport{
		Member:   s.report.GetMember(),
		Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
		Detail:   "the outcome was recorded and is no longer kept here",
	}
	t.set(k.Job, s)
}
