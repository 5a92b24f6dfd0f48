package sesamedispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

// jobWork holds amounts of work of a job's occurrence, in core-seconds.
type jobWork struct {
	// all is that of the whole occurrence, and open what is not done.
	all  float64
	open float64
}

// workOf returns the amounts of work of the unit's occurrence.
func (p *pass) workOf(u *unit) jobWork {
	if w, ok := p.jobs[u.job]; ok && !u.job.Recurs() {
		return w
	}
	var w jobWork
	for i, units := range u.job.stepsOf(u.id.Occurrence) {
		s := u.job.Steps[i]
		task := s.Need.CoreEquivalent() * u.job.durations[i].Seconds()
		w.all += task * float64(s.Count)
		w.open += task * float64(units.openTasks())
	}
	if !u.job.Recurs() {
		p.jobs[u.job] = w
	}
	return w
}

// outlook returns when the unit's job is expected to end if the unit is started
// now.
func (v *View) outlook(u *unit) sesamecontention.Outlook {
	return sesamecontention.Outlook{
		Objective: u.job.objective,
		Elapsed:   v.now.Store - v.deadline(u) + u.job.objective,
		Rest:      u.job.criticalPaths[u.id.Step],
		Spread:    v.durationModels[u.job.Queue].spread(),
	}
}

// spread returns the standard deviation of the logarithms of actual durations from
// the predicted ones. m may be nil.
func (m *durationModel) spread() float64 {
	const prior = priorTasks * priorVariance
	if m == nil {
		return math.Sqrt(priorVariance)
	}
	slope := min(max((m.products+prior)/(m.squares+prior), 0), 1)
	residual := m.takenSquares - 2*slope*m.products + slope*slope*m.squares
	return math.Sqrt((max(0, residual) + prior) / (m.weight + priorTasks))
}

// waiting returns what is known of one waiting unit.
func (p *pass) waiting(u *unit) sesamecontention.Waiting {
	work := p.workOf(u)
	return sesamecontention.Waiting{
		Outlook:  p.view.outlook(u),
		Priority: u.job.Terms.Priority,
		Team:     u.job.Team,
		Lasting:  u.step.LongRunning,
		Room:     u.step.Reservation().CoreEquivalent() * float64(u.taskCount()),
		Value:    work.all,
		Work:     work.open,
	}
}

// orderByValue returns the candidates in the order in which they are placed when
// the view orders by value. They come sorted by deadlines, which decide where
// values are equal.
func (p *pass) orderByValue(candidates []candidate) []candidate {
	owed := map[string]int64{}
	all := make([]sesamecontention.Waiting, len(candidates))
	for i, c := range candidates {
		u := c.units[0]
		all[i] = p.waiting(u)
		all[i].Room *= float64(c.count())
		guaranteed := p.view.policy.GuaranteedAccelerators(u.job.Team)
		covered := p.urgentAccelerators[u.job.Team] + owed[u.job.Team] + u.accelerators()
		if u.job.Terms.Priority == 0 && guaranteed > 0 && covered <= guaranteed {
			all[i].Owed = true
			owed[u.job.Team] += u.accelerators() * int64(c.count())
		}
	}
	used := map[string]float64{}
	for _, u := range p.active {
		used[u.job.Team] += u.step.Reservation().CoreEquivalent() * float64(u.taskCount())
	}
	var capacity sesamework.Resources
	for _, targets := range p.targetsByService {
		for _, t := range targets {
			capacity = capacity.Plus(t.Capacity)
		}
	}
	sorted := make([]candidate, 0, len(candidates))
	for _, i := range sesamecontention.Order(all, used, capacity.CoreEquivalent()) {
		sorted = append(sorted, candidates[i])
	}
	return sorted
}

// runOutlook returns what is known of a run that may be stopped.
func (p *pass) runOutlook(u *unit) sesamecontention.Running {
	if r, ok := p.stops[u]; ok {
		return r
	}
	remaining := p.view.remaining(u)
	r := sesamecontention.Running{
		Outlook:       p.view.outlook(u),
		Remaining:     remaining,
		Expected:      scaled(u.expectedDuration(), p.view.runFactor(u)),
		StoppedBefore: u.run.Preempted,
		Lost:          p.view.lostWork(u),
		Value:         p.workOf(u).all,
	}
	afterStep := r.Rest - r.Expected
	r.Again = r.Rest
	if u.step.Checkpoints {
		r.Again = remaining + afterStep
	}
	r.Rest = remaining + afterStep
	p.stops[u] = r
	return r
}

// isProtected reports whether the run must not be stopped for work that is not
// owed; false unless the view orders by value.
func (p *pass) isProtected(u *unit) bool {
	return p.view.byValue && p.runOutlook(u).IsProtected()
}

// loss returns what stopping the runs costs, in core-seconds: the work that is
// lost, and once for each job what it is expected to lose of its value
// if its next run starts after that wait.
func (p *pass) loss(victims []*unit, wait time.Duration) float64 {
	sum := 0.0
	worst := map[*job]float64{}
	for _, u := range victims {
		r := p.runOutlook(u)
		delay := max(worst[u.job], r.Delay(wait))
		sum += r.Lost + delay - worst[u.job]
		worst[u.job] = delay
	}
	return sum
}

// withoutNeedless returns the eviction without those victims on the target that
// the task doesn't need, the costliest first; left is what is free after all stops.
func (p *pass) withoutNeedless(e eviction, need, left sesamework.Resources, target string) eviction {
	if !need.Fits(left) {
		return e
	}
	costly := slices.Clone(e.victims)
	slices.SortStableFunc(costly, func(a, b *unit) int {
		return cmp.Compare(p.stopCost(b), p.stopCost(a))
	})
	for _, v := range costly {
		without := left.Minus(v.step.Reservation().Times(int64(v.tasksOn(target))))
		if !need.Fits(without) {
			continue
		}
		left = without
		e.victims = slices.DeleteFunc(e.victims, func(other *unit) bool {
			return other == v
		})
		e.cost -= p.stopCost(v)
	}
	return e
}

// makeOwedRoom makes room for an owed unit that fits nowhere now: it waits for runs
// to end, if that is sooner, or stops some. It returns false if neither is possible.
func (p *pass) makeOwedRoom(u *unit) bool {
	return p.awaitsEnds(u) || p.preempt(u, true, 0)
}

// maxOwedDelay is how long after its acceptance owed work may still begin to wait
// for runs to end by themselves. The bound on its start is 2,900 ms, of which a stop
// takes up to a second; see sesamecontention.StopTime.
const maxOwedDelay = time.Second

// awaitsEnds reports whether an owed unit is to wait until runs have ended by
// themselves, since that is expected to be sooner than room from stops. It reserves
// the room. False unless the view orders by value.
func (p *pass) awaitsEnds(u *unit) bool {
	if !p.view.byValue || len(u.claim.targets) > 0 {
		return false
	}
	targets, wait := p.earliestFit(u)
	if targets == nil || wait > sesamecontention.StopTime/2 || p.waited(u)+wait > maxOwedDelay {
		return false
	}
	p.reserve(u, targets, wait)
	p.urgentAccelerators[u.job.Team] += u.accelerators()
	p.view.log.Emit(eventAwaitsEnds, sesamelog.Fields{
		"job":     u.id.Job,
		"unit":    u.id.String(),
		"targets": targets,
		"wait":    wait.Milliseconds(),
	})
	return true
}

// waited returns how long the unit has waited: since its job was accepted, or since
// it became ready if it follows other work.
func (p *pass) waited(u *unit) time.Duration {
	v := p.view
	ready := v.now.Steady - u.readySince
	if u.job.Recurs() || len(u.step.After) > 0 || u.run.Number > 0 {
		return ready
	}
	return max(ready, v.now.Store-time.Duration(u.job.Accepted)*time.Millisecond)
}

// expectedFit is earliestFit, but when the view orders by value and the unit would
// never fit, the wait is longer than any objective.
func (p *pass) expectedFit(u *unit) ([]string, time.Duration) {
	targets, wait := p.earliestFit(u)
	if p.view.byValue && targets == nil {
		wait = sesamecontention.LateFactor*u.job.objective + u.job.criticalPaths[u.id.Step]
	}
	return targets, wait
}

// nextRun returns the run that follows the unit's newest one, on the targets. When
// the view orders by value, it tells whether that one was stopped to make room.
func (p *pass) nextRun(u *unit, targets []*target) sesamework.Run {
	r := u.nextRun(targets, p.view.now.Store)
	r.Preempted = p.view.byValue && u.run.StopReason == stopPreempted
	return r
}
