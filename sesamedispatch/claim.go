package sesamedispatch

import (
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// claim reserves targets for a unit, one for each of its tasks, while the runs
// that the unit preempts on them are being stopped. The claim expires at until,
// on the steady (monotonic) clock. The zero value is no claim.
type claim struct {
	targets []string
	until   time.Duration
}

// startClaimed starts a unit on the targets that it has claimed if they have
// room, or else where it fits now, or else keeps the claim. When the claim has
// expired or no longer holds, it drops the claim and returns false.
func (p *pass) startClaimed(u *unit) bool {
	p.unreserveClaim(u)
	targets := p.claimedWithRoom(u)
	if targets == nil {
		targets = p.choose(u)
		if targets != nil && p.isLateOn(u, targets) && p.mayWaitForSpeed(u, 0) {
			targets = nil
		}
	}
	if targets != nil {
		p.start(u, targets)
		return true
	}
	if p.view.now.Steady >= u.claim.until || !p.claimHolds(u) {
		u.claim = claim{}
		return false
	}
	p.holdClaim(u)
	return true
}

// holdClaim sets aside what the unit has claimed: room, the accelerators that its
// team is owed, and the places of its tasks under Step.MaxPerTarget.
func (p *pass) holdClaim(u *unit) {
	p.reserve(u, u.claim.targets, 0)
	p.countClaim(u, 1)
}

// countClaim adds the unit's claim, that many times, to what its team and its step
// use.
func (p *pass) countClaim(u *unit, times int) {
	p.urgentAccelerators[u.job.Team] += int64(times) * u.accelerators()
	if u.step.MaxPerTarget == 0 {
		return
	}
	for _, name := range u.claim.targets {
		p.tasksOnTarget[u.spreadKey(name)] += times
	}
}

// claimHolds reports whether all claimed targets still accept work, and could
// hold the unit's tasks if they were empty.
func (p *pass) claimHolds(u *unit) bool {
	taken := map[string]sesamework.Resources{}
	return !slices.ContainsFunc(u.claim.targets, func(name string) bool {
		t, ok := p.view.targets[name]
		taken[name] = taken[name].Plus(u.step.Reservation())
		return !ok || !p.view.takesWork(t, u.job.Terms.Service) || !taken[name].Fits(t.Capacity)
	})
}

// unreserveClaim undoes what newPass set aside for the unit's claim, so that it
// doesn't count as taken for the unit itself.
func (p *pass) unreserveClaim(u *unit) {
	if p.view.now.Steady >= u.claim.until {
		return
	}
	p.unreserve(u, u.claim.targets)
	p.tooLarge = nil // there is more room now
	p.countClaim(u, -1)
}

// claimedWithRoom returns the targets of the unit's claim, one for each task, or
// nil unless all of them accept work, have room now, and hold no more tasks of the
// step than Step.MaxPerTarget.
func (p *pass) claimedWithRoom(u *unit) []*target {
	taken := map[string]sesamework.Resources{}
	tasks := map[string]int{}
	var targets []*target
	for _, name := range u.claim.targets {
		t, ok := p.view.targets[name]
		if !ok || !p.view.takesWork(t, u.job.Terms.Service) || !p.mayShare(u, t) {
			return nil
		}
		taken[name] = taken[name].Plus(u.step.Reservation())
		tasks[name]++
		spread := p.tasksOnTarget[u.spreadKey(name)] + tasks[name]
		if !taken[name].Fits(p.room[name]) || u.step.MaxPerTarget > 0 && spread > u.step.MaxPerTarget {
			return nil
		}
		targets = append(targets, t)
	}
	return targets
}
