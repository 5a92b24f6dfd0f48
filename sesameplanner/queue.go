package sesameplanner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// entry is a job as the planner keeps it.
type entry struct {
	job sesamemodel.Job
	// signature numbers what the job asks for; jobs that ask for the same
	// have the same.
	signature int
	rank      int
	// due orders jobs of one team and urgency.
	due time.Time
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
	// avoid is the job's name when it must avoid targets.
	avoid sesamemodel.JobID
}

// team is a team's contract, queue and use.
type team struct {
	id       sesamemodel.TeamID
	contract *sesamemodel.Contract
	queue    []*entry
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
	return s.Once && !s.Checkpoints
}

func (p *Planner) newEntry(job sesamemodel.Job) *entry {
	s := signature{
		team:  job.Spec.Team,
		kind:  job.Spec.Kind,
		tasks: job.Spec.Tasks,
		task:  job.Spec.Task,
		span:  job.Spec.Span,
		fixed: fixed(job.Spec),
	}
	if len(job.Avoid) > 0 {
		s.avoid = job.ID
	}
	number, ok := p.signatures[s]
	if !ok {
		number = len(p.signatures)
		p.signatures[s] = number
	}
	return &entry{
		job:       job,
		signature: number,
		rank:      job.Urgency.Rank(),
		due:       job.Submitted,
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

func (t *team) dequeue(e *entry) {
	at, ok := slices.BinarySearchFunc(t.queue, e, compareEntries)
	if ok {
		t.queue = slices.Delete(t.queue, at, at+1)
	}
}

// mayBorrow reports whether the contract lets the job borrow now.
func (t *team) mayBorrow(need int) bool {
	if need == 0 {
		return true
	}
	return t.used+need <= t.contract.Guaranteed()+t.contract.Limits.Borrow
}

func (p *Planner) waitsForTurn(e *entry) string {
	t := p.team(e.job.Spec.Team)
	at, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
	return fmt.Sprintf("waits for its turn: %d jobs of team %q come first", at, t.id)
}
