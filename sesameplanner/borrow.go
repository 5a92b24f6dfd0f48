package sesameplanner

import (
	"container/heap"
)

// borrower is a team that may borrow in this round, as an element of a heap.
type borrower struct {
	team *team
	// next is the position in the team's queue of the next job to try.
	next int
	// share is the team's weighted share; see weightedShare.
	share float64
}

// borrowers is a heap of teams, the smallest weighted share first. Ties are
// broken by the team's name, so that the order is deterministic.
type borrowers []*borrower

// Len implements heap.Interface.
func (b borrowers) Len() int { return len(b) }

// Less implements heap.Interface.
func (b borrowers) Less(i, k int) bool {
	if b[i].share != b[k].share {
		return b[i].share < b[k].share
	}
	return b[i].team.id < b[k].team.id
}

// Swap implements heap.Interface.
func (b borrowers) Swap(i, k int) { b[i], b[k] = b[k], b[i] }

// Push implements heap.Interface.
func (b *borrowers) Push(x any) {
	if added, ok := x.(*borrower); ok {
		*b = append(*b, added)
	}
}

// Pop implements heap.Interface.
func (b *borrowers) Pop() any {
	last := len(*b) - 1
	x := (*b)[last]
	*b = (*b)[:last]
	return x
}

// placeBorrowing lends free capacity by weighted dominant resource fairness:
// the team with the smallest weighted share places its next job that fits,
// until no job of any team fits or the round's limit is reached.
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

// weightedShare returns the team's weighted dominant share: the largest
// fraction, over all resources, of the platform's capacity that the team has
// borrowed, divided by the team's weight. Of accelerators, only those beyond the
// total of its guarantees count as borrowed here.
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

// fraction returns amount / total, or 0 when there is no capacity at all.
func fraction(amount, total int) float64 {
	if total <= 0 {
		return 0
	}
	return float64(amount) / float64(total)
}

// borrowNext places the first job that fits in the team's queue, from position
// b.next on, and moves b.next to that job. It reports whether one was placed.
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

// recordNoRoom notes that jobs with the same signature need not be tried again
// to borrow in this round. A job that has waited longer than ReserveAfter is
// added to the starving jobs, unless its team holds a reservation already or may
// borrow no more.
func (r *round) recordNoRoom(e *jobEntry) {
	p := r.planner
	e.cachedFit.borrowFailedRound = r.number
	starving := r.now.Sub(e.job.Submitted) > p.options.reserveAfter()
	if starving && !p.teamReserved(e.job.Spec.Team) && !p.isOverBorrowingLimit(e) {
		r.starving = append(r.starving, e)
	}
}

// borrow places a job on free capacity, without stopping other work. When the
// contract's borrowing limit or the lack of room prevents it, borrow records
// the reason for Why and returns false.
func (r *round) borrow(e *jobEntry) bool {
	t := r.planner.ensureTeam(e.job.Spec.Team)
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
