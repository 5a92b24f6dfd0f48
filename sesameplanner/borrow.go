package sesameplanner

import (
	"container/heap"
)

// borrower is a team's place in the order of borrowing.
type borrower struct {
	team *team
	// next is the position in the queue to try next.
	next  int
	share float64
}

// borrowers is a heap with the smallest share first.
type borrowers []*borrower

func (b borrowers) Len() int { return len(b) }

func (b borrowers) Less(i, k int) bool {
	if b[i].share != b[k].share {
		return b[i].share < b[k].share
	}
	return b[i].team.id < b[k].team.id
}

func (b borrowers) Swap(i, k int) { b[i], b[k] = b[k], b[i] }

// Push adds a borrower; it is called by package heap.
func (b *borrowers) Push(x any) {
	if added, ok := x.(*borrower); ok {
		*b = append(*b, added)
	}
}

// Pop removes the last borrower; it is called by package heap.
func (b *borrowers) Pop() any {
	last := len(*b) - 1
	x := (*b)[last]
	*b = (*b)[:last]
	return x
}

// placeBorrowing gives free capacity to the team with the smallest weighted
// share until no job fits.
func (r *round) placeBorrowing() {
	var queue borrowers
	for _, t := range r.planner.teams {
		if t.contract != nil && t.waitingJobs() > 0 {
			queue = append(queue, &borrower{
				team:  t,
				share: r.planner.weightedShare(t),
			})
		}
	}
	heap.Init(&queue)
	for len(queue) > 0 && !r.limitReached() {
		b := queue[0]
		if !r.borrowNext(b) {
			heap.Pop(&queue)
			continue
		}
		b.share = r.planner.weightedShare(b.team)
		heap.Fix(&queue, 0)
	}
}

// weightedShare returns the largest part of the platform that a team uses beyond its
// guarantees, over its weight.
func (p *Planner) weightedShare(t *team) float64 {
	total := p.cells.capacity
	most := max(
		fraction(t.borrowed.Cores, total.Cores),
		fraction(t.borrowed.Memory, total.Memory),
		fraction(max(t.usedAccelerators-t.contract.GuaranteedAccelerators(), 0), total.Accelerators),
		fraction(t.borrowed.Slots, total.Slots),
	)
	return most / float64(max(t.contract.Weight, 1))
}

func fraction(amount, total int) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}

// borrowNext places the first job of the team that fits.
func (r *round) borrowNext(b *borrower) bool {
	for ; b.next < len(b.team.queue); b.next++ {
		e := b.team.queue[b.next]
		if e.dequeued {
			continue
		}
		if e.cachedFit.borrowFailedRound != r.number && r.borrow(e) {
			return true
		}
		r.recordNoRoom(e)
	}
	return false
}

// recordNoRoom remembers that a job found no room in this round.
func (r *round) recordNoRoom(e *jobEntry) {
	e.cachedFit.borrowFailedRound = r.number
	if r.now.Sub(e.job.Submitted) > r.planner.options.reserveAfter() && !r.planner.teamReserved(e.job.Spec.Team) {
		r.starving = append(r.starving, e)
	}
}

func (r *round) borrow(e *jobEntry) bool {
	t := r.planner.team(e.job.Spec.Team)
	if t.contract == nil {
		return false
	}
	need := e.job.Spec.TotalResources().Accelerators
	if !t.mayBorrow(need) {
		e.setWaitReason("team %q uses %d accelerators; %d more exceed its guarantees of %d and its borrowing limit of %d",
			t.id, t.usedAccelerators, need, t.contract.GuaranteedAccelerators(), t.contract.Limits.Borrow)
		return false
	}
	parts := r.planner.cells.find(r.planner.borrowDemand(e, r.now))
	if parts == nil {
		e.setWaitReason("no room: %s", describeRequest(e.job.Spec))
		return false
	}
	r.placeBorrowed(e, parts, &victims{})
	return true
}
