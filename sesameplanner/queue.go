package sesameplanner

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// entry is a job as the planner keeps it.
type entry struct {
	job sesamemodel.Job
	// task is what one task needs, corrected.
	task sesamemodel.Resources
	// request is shared by the jobs that ask for the same.
	request *request
	rank    int
	// due orders jobs of one team and urgency.
	due time.Time
	// gone is true once the job has left the queue.
	gone bool
	// why says what the last plan found missing.
	why string
}

// signature is all of a job that decides where it fits.
type signature struct {
	team  sesamemodel.TeamID
	kind  sesamemodel.Kind
	tasks int
	task  sesamemodel.Resources
	span  sesamemodel.Span
	fixed bool
	// doublings is the logarithm of the expected minutes, which decide about
	// backfill.
	doublings int
	// avoid is the job's name when it must avoid targets.
	avoid sesamemodel.JobID
}

// request remembers what the planner found for all jobs of one signature.
type request struct {
	signature signature
	// jobs counts the queued jobs.
	jobs int
	// checked is the generation that fits belongs to; 0 means never.
	checked uint64
	fits    bool
	// avoid are the targets to avoid, as long as others could take the job.
	avoid []sesamemodel.TargetID
	// owedFailed and borrowFailed are the last rounds without room.
	owedFailed, borrowFailed uint64
}

// team is a team's contract, queue and use.
type team struct {
	id       sesamemodel.TeamID
	contract *sesamemodel.Contract
	queue    []*entry
	// gone counts the entries of the queue that have left it.
	gone int
	// used counts accelerators, owed and borrowed.
	used     int
	borrowed sesamemodel.Resources
	// cells counts the team's guarantees in each cell.
	cells map[sesamemodel.CellID]int
}

func (p *Planner) team(id sesamemodel.TeamID) *team {
	t, ok := p.teams[id]
	if !ok {
		t = &team{
			id:    id,
			cells: map[sesamemodel.CellID]int{},
		}
		p.teams[id] = t
	}
	return t
}

// fixed reports whether a running job must never be stopped to reclaim.
func fixed(s sesamemodel.Spec) bool {
	return s.AtMostOnce && !s.Checkpoints
}

// maxAging bounds how much later than its submission a job is due.
const maxAging = 24 * time.Hour

// newEntry prepares a job for planning. Within a team and an urgency jobs are
// due at their submission plus their expected run time: short jobs overtake
// long ones, but none that was submitted a run time earlier.
func (p *Planner) newEntry(job sesamemodel.Job) *entry {
	e := &entry{
		job:  job,
		task: job.Spec.Task,
		rank: job.Urgency.Rank(),
		due:  job.Submitted,
	}
	if job.State != sesamemodel.Queued {
		return e
	}
	e.task = p.corrected(job.Spec)
	expected := p.expected(job.Spec, typical)
	if !p.options.Without.Aging {
		e.due = e.due.Add(min(expected, maxAging))
	}
	e.request = p.request(job, e.task, expected)
	return e
}

// request returns what the queued jobs that ask for the same share.
func (p *Planner) request(job sesamemodel.Job, task sesamemodel.Resources, expected time.Duration) *request {
	s := signature{
		team:      job.Spec.Team,
		kind:      job.Spec.Kind,
		tasks:     job.Spec.Tasks,
		task:      task,
		span:      job.Spec.Span,
		fixed:     fixed(job.Spec),
		doublings: bits.Len(uint(expected.Minutes())),
	}
	if len(job.Avoid) > 0 {
		s.avoid = job.ID
	}
	q, ok := p.requests[s]
	if !ok {
		q = &request{
			signature: s,
		}
		p.requests[s] = q
	}
	q.jobs++
	return q
}

// avoided returns the targets that the job must not run on.
func (e *entry) avoided() []sesamemodel.TargetID {
	if e.request == nil {
		return e.job.Avoid
	}
	return e.request.avoid
}

// release forgets a request with its last queued job.
func (p *Planner) release(q *request) {
	q.jobs--
	if q.jobs == 0 {
		delete(p.requests, q.signature)
	}
}

func compareEntries(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		a.due.Compare(b.due),
		cmp.Compare(a.job.ID, b.job.ID),
	)
}

func (t *team) enqueue(e *entry) {
	at, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
	t.queue = slices.Insert(t.queue, at, e)
}

// dequeue marks an entry as gone, in constant time.
func (t *team) dequeue(e *entry) {
	e.gone = true
	t.gone++
}

// compact drops the entries that are gone once they are the larger part, so
// that a wave of cancellations costs as much as it cancels.
func (t *team) compact() {
	if t.gone*2 <= len(t.queue) {
		return
	}
	t.queue = slices.DeleteFunc(t.queue, func(e *entry) bool {
		return e.gone
	})
	t.gone = 0
}

// waiting returns the number of jobs in the queue.
func (t *team) waiting() int {
	return len(t.queue) - t.gone
}

// mayBorrow reports whether the contract lets the job borrow now.
func (t *team) mayBorrow(need int) bool {
	if need == 0 {
		return true
	}
	return t.used+need <= t.contract.GuaranteedAccelerators()+t.contract.Limits.Borrow
}

func (p *Planner) waitsForTurn(e *entry) string {
	t := p.team(e.job.Spec.Team)
	before := 0
	for _, other := range t.queue {
		if other == e {
			break
		}
		if !other.gone {
			before++
		}
	}
	return fmt.Sprintf("waits for its turn: %d jobs of team %q come first", before, t.id)
}
