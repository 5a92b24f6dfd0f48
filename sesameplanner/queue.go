package sesameplanner

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// jobEntry is an open job with the values that planning derives from it.
type jobEntry struct {
	job sesamemodel.Job
	// task is what one task needs, after correction by observed usage.
	task sesamemodel.Resources
	// cachedFit is shared by all queued jobs with the same signature; nil when
	// the job is not queued.
	cachedFit *cachedFit
	// urgencyRank orders jobs by urgency, 0 first.
	urgencyRank int
	// due orders the jobs of one urgency; see newJobEntry.
	due time.Time
	// dequeued is true once the job has left its queue. The entry stays in the
	// slice until compact removes it.
	dequeued bool
	// waitReason says what was missing when a round last tried to place the
	// job; empty if no round has.
	waitReason string
}

// signature holds every property of a job that decides where it fits. Jobs with
// equal signatures are interchangeable in a search.
type signature struct {
	team           sesamemodel.TeamID
	kind           sesamemodel.Kind
	tasks          int
	task           sesamemodel.Resources
	span           sesamemodel.Span
	nonPreemptible bool
	// runTimeLog2 is the bit length of the expected minutes. Run times decide
	// about backfill, and rounding them lets similar jobs share a signature.
	runTimeLog2 int
	// avoid is the job's own name if it must avoid targets, so that it shares
	// its signature with no other job.
	avoid sesamemodel.JobID
}

// cachedFit caches what searches found for all queued jobs of one signature.
type cachedFit struct {
	signature signature
	// jobs counts the queued jobs of the signature.
	jobs int
	// checkedGeneration is the generation in which fits was computed; 0 means
	// never.
	checkedGeneration uint64
	// fits is true if each of the jobs would fit by itself if all targets were
	// idle.
	fits bool
	// avoid lists the targets that the job must avoid; nil if it would fit on no
	// other targets, so that none are avoided.
	avoid []sesamemodel.TargetID
	// owedFailedRound and borrowFailedRound are the last rounds in which no
	// place was found within the guarantee and on borrowed capacity.
	owedFailedRound, borrowFailedRound uint64
}

// team holds a team's contract, queued jobs and usage.
type team struct {
	id sesamemodel.TeamID
	// contract is nil when no contract is in force.
	contract *sesamemodel.Contract
	// queue is sorted by compareEntries and may contain dequeued entries.
	queue []*jobEntry
	// dequeuedCount counts the dequeued entries in queue.
	dequeuedCount int
	// usedAccelerators counts owed and borrowed accelerators.
	usedAccelerators int
	// borrowed is what the team's work holds outside its guarantees.
	borrowed sesamemodel.Resources
	// guaranteesByCell counts the team's guarantees in each cell.
	guaranteesByCell map[sesamemodel.CellID]int
}

// ensureTeam returns the state of a team. If the planner has none, it adds one
// without a contract or jobs.
func (p *Planner) ensureTeam(id sesamemodel.TeamID) *team {
	t, ok := p.teams[id]
	if !ok {
		t = &team{
			id:               id,
			guaranteesByCell: map[sesamemodel.CellID]int{},
		}
		p.teams[id] = t
	}
	return t
}

// nonPreemptible reports whether a running job must never be stopped to reclaim
// its targets: it must run at most once and has no checkpoint to resume from.
func nonPreemptible(s sesamemodel.Spec) bool {
	return s.AtMostOnce && !s.Checkpoints
}

// maxAging bounds the expected run time that counts for a job's due time, and
// so how long after its submission a job becomes due.
const maxAging = 24 * time.Hour

// newJobEntry prepares a job for planning. Jobs of one team and urgency are due
// at their submission time plus their expected run time (aging): a short job
// overtakes a longer one, but not one that was submitted more than the
// difference of their run times before it.
func (p *Planner) newJobEntry(job sesamemodel.Job) *jobEntry {
	e := &jobEntry{
		job:         job,
		task:        job.Spec.Task,
		urgencyRank: job.Urgency.Rank(),
		due:         job.Submitted,
	}
	if job.State != sesamemodel.Queued {
		return e
	}
	e.task = p.correctedTask(job.Spec)
	expected := p.expectedRunTime(job.Spec, typicalQuantile)
	if !p.options.Disabled.Aging {
		e.due = e.due.Add(min(expected, maxAging))
	}
	e.cachedFit = p.shareCachedFit(job, e.task, expected)
	return e
}

// shareCachedFit returns the cachedFit for a queued job's signature and counts
// the job; releaseCachedFit counts it off again.
func (p *Planner) shareCachedFit(job sesamemodel.Job, task sesamemodel.Resources, expected time.Duration) *cachedFit {
	s := signature{
		team:           job.Spec.Team,
		kind:           job.Spec.Kind,
		tasks:          job.Spec.Tasks,
		task:           task,
		span:           job.Spec.Span,
		nonPreemptible: nonPreemptible(job.Spec),
		runTimeLog2:    bits.Len(uint(expected.Minutes())),
	}
	if len(job.Avoid) > 0 {
		s.avoid = job.ID
	}
	q, ok := p.cachedFits[s]
	if !ok {
		q = &cachedFit{
			signature: s,
		}
		p.cachedFits[s] = q
	}
	q.jobs++
	return q
}

// avoided returns the targets that the job must not run on.
func (e *jobEntry) avoided() []sesamemodel.TargetID {
	if e.cachedFit == nil {
		return e.job.Avoid
	}
	return e.cachedFit.avoid
}

// releaseCachedFit counts a job off and drops the cachedFit with its last job.
func (p *Planner) releaseCachedFit(q *cachedFit) {
	q.jobs--
	if q.jobs == 0 {
		delete(p.cachedFits, q.signature)
	}
}

// compareEntries orders jobs by urgency, due time and name.
func compareEntries(a, b *jobEntry) int {
	return cmp.Or(
		cmp.Compare(a.urgencyRank, b.urgencyRank),
		a.due.Compare(b.due),
		cmp.Compare(a.job.ID, b.job.ID),
	)
}

// enqueue inserts an entry at its place in the sorted queue.
func (t *team) enqueue(e *jobEntry) {
	at, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
	t.queue = slices.Insert(t.queue, at, e)
}

// dequeue marks an entry as dequeued in constant time, as a tombstone that
// compact removes later.
func (t *team) dequeue(e *jobEntry) {
	e.dequeued = true
	t.dequeuedCount++
}

// compact removes dequeued entries once they are more than half of the queue.
// Removing them all at once keeps the cost of a wave of cancellations
// proportional to its size.
func (t *team) compact() {
	if t.dequeuedCount*2 <= len(t.queue) {
		return
	}
	t.queue = slices.DeleteFunc(t.queue, func(e *jobEntry) bool {
		return e.dequeued
	})
	t.dequeuedCount = 0
}

// waitingJobs returns the number of queued jobs.
func (t *team) waitingJobs() int {
	return len(t.queue) - t.dequeuedCount
}

// mayBorrow reports whether the contract allows the team need more
// accelerators: its usage may reach the guarantees plus the borrowing limit.
// Work without accelerators is always allowed.
func (t *team) mayBorrow(need int) bool {
	if need == 0 {
		return true
	}
	return t.usedAccelerators+need <= t.contract.GuaranteedAccelerators()+t.contract.Limits.Borrow
}

// describeQueuePosition says how many jobs of the team come before the job.
func (p *Planner) describeQueuePosition(e *jobEntry) string {
	t := p.ensureTeam(e.job.Spec.Team)
	before := 0
	for _, other := range t.queue {
		if other == e {
			break
		}
		if !other.dequeued {
			before++
		}
	}
	return fmt.Sprintf("waits for its turn: %d jobs of team %q come first", before, t.id)
}
