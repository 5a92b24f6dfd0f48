package sesameplanner

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// jobEntry is a job as the planner keeps it.
type jobEntry struct {
	job sesamemodel.Job
	// task is what one task needs, corrected.
	task sesamemodel.Resources
	// cachedFit is shared by the jobs that ask for the same.
	cachedFit   *cachedFit
	urgencyRank int
	// due orders jobs of one team and urgency.
	due time.Time
	// dequeued is true once the job has left the queue.
	dequeued bool
	// waitReason says what the last plan found missing.
	waitReason string
}

// signature is all of a job that decides where it fits.
type signature struct {
	team           sesamemodel.TeamID
	kind           sesamemodel.Kind
	tasks          int
	task           sesamemodel.Resources
	span           sesamemodel.Span
	nonPreemptible bool
	// runTimeLog2 is the logarithm of the expected minutes, which decide about
	// backfill.
	runTimeLog2 int
	// avoid is the job's name when it must avoid targets.
	avoid sesamemodel.JobID
}

// cachedFit remembers what the planner found for all jobs of one signature.
type cachedFit struct {
	signature signature
	// jobs counts the queued jobs.
	jobs int
	// checkedGeneration is the generation that fits belongs to; 0 means never.
	checkedGeneration uint64
	fits              bool
	// avoid are the targets to avoid, as long as others could take the job.
	avoid []sesamemodel.TargetID
	// owedFailedRound and borrowFailedRound are the last rounds without room.
	owedFailedRound, borrowFailedRound uint64
}

// team is a team's contract, queue and use.
type team struct {
	id       sesamemodel.TeamID
	contract *sesamemodel.Contract
	queue    []*jobEntry
	// dequeuedCount counts the entries of the queue that have left it.
	dequeuedCount int
	// usedAccelerators counts accelerators, owed and borrowed.
	usedAccelerators int
	borrowed         sesamemodel.Resources
	// guaranteesByCell counts the team's guarantees in each cell.
	guaranteesByCell map[sesamemodel.CellID]int
}

func (p *Planner) team(id sesamemodel.TeamID) *team {
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

// nonPreemptible reports whether a running job must never be stopped to reclaim.
func nonPreemptible(s sesamemodel.Spec) bool {
	return s.AtMostOnce && !s.Checkpoints
}

// maxAging bounds how much later than its submission a job is due.
const maxAging = 24 * time.Hour

// newJobEntry prepares a job for planning. Within a team and an urgency jobs are
// due at their submission plus their expected run time: short jobs overtake
// long ones, but none that was submitted a run time earlier.
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

// shareCachedFit returns what the queued jobs that ask for the same share.
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

// releaseCachedFit forgets a request with its last queued job.
func (p *Planner) releaseCachedFit(q *cachedFit) {
	q.jobs--
	if q.jobs == 0 {
		delete(p.cachedFits, q.signature)
	}
}

func compareEntries(a, b *jobEntry) int {
	return cmp.Or(
		cmp.Compare(a.urgencyRank, b.urgencyRank),
		a.due.Compare(b.due),
		cmp.Compare(a.job.ID, b.job.ID),
	)
}

func (t *team) enqueue(e *jobEntry) {
	at, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
	t.queue = slices.Insert(t.queue, at, e)
}

// dequeue marks an entry as gone, in constant time.
func (t *team) dequeue(e *jobEntry) {
	e.dequeued = true
	t.dequeuedCount++
}

// compact drops the entries that are gone once they are the larger part, so
// that a wave of cancellations costs as much as it cancels.
func (t *team) compact() {
	if t.dequeuedCount*2 <= len(t.queue) {
		return
	}
	t.queue = slices.DeleteFunc(t.queue, func(e *jobEntry) bool {
		return e.dequeued
	})
	t.dequeuedCount = 0
}

// waitingJobs returns the number of jobs in the queue.
func (t *team) waitingJobs() int {
	return len(t.queue) - t.dequeuedCount
}

// mayBorrow reports whether the contract lets the job borrow now.
func (t *team) mayBorrow(need int) bool {
	if need == 0 {
		return true
	}
	return t.usedAccelerators+need <= t.contract.GuaranteedAccelerators()+t.contract.Limits.Borrow
}

func (p *Planner) describeQueuePosition(e *jobEntry) string {
	t := p.team(e.job.Spec.Team)
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
