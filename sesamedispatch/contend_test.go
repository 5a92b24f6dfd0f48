package sesamedispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

// busyDay is a replay of more work than fits, without a store: gangs that are
// urgent, others, and batches of single tasks, of four teams that each have a
// guarantee. Declared durations are off by up to 90%. A stop takes 500 ms.
type busyDay struct {
	view   *View
	now    Now
	random *rand.Rand
	// actual is how long each unit's run takes, stoppedAt when its run was ordered
	// to stop, and endedAt when its job was done.
	actual    map[*unit]time.Duration
	stoppedAt map[*unit]time.Duration
	endedAt   map[*job]time.Duration
	// owed holds the jobs that their teams' guarantees cover whatever else runs.
	owed    map[*job]bool
	figures dayFigures
	// digest is that of all decisions.
	digest *xxhash.Digest
	jobs   []*job
}

// dayFigures are what a busy day came to, in core-seconds.
type dayFigures struct {
	earned, lost, done   float64
	stops, runs          int
	urgent, urgentInTime int
	// owed counts the owed jobs, and owedLate those that began later than after
	// 2,900 ms.
	owed, owedLate int
	// large is the part of the largest tenth of the jobs that was done, and others
	// that of all others.
	large, others float64
}

// add adds the figures of another day.
func (f *dayFigures) add(o dayFigures) {
	f.earned += o.earned
	f.lost += o.lost
	f.done += o.done
	f.stops += o.stops
	f.runs += o.runs
	f.urgent += o.urgent
	f.urgentInTime += o.urgentInTime
	f.owed += o.owed
	f.owedLate += o.owedLate
	f.large += o.large
	f.others += o.others
}

const (
	busyTick     = 100 * time.Millisecond
	busyStopTime = 500 * time.Millisecond
	busyTeams    = 10
)

// newBusyDay returns a replay with that many empty targets.
func newBusyDay(targets int, byValue bool, seed uint64) *busyDay {
	b := &busyDay{
		view: NewView(sesamelog.Discard()),
		now: Now{
			Steady: time.Hour,
			Store:  time.Hour,
		},
		random:    rand.New(rand.NewPCG(seed, 1)),
		actual:    map[*unit]time.Duration{},
		stoppedAt: map[*unit]time.Duration{},
		endedAt:   map[*job]time.Duration{},
		owed:      map[*job]bool{},
		digest:    xxhash.New(),
	}
	policy := &sesamework.Policy{}
	for i := range busyTeams {
		policy.Teams = append(policy.Teams, sesamework.Team{
			Name:       fmt.Sprint("team-", i),
			Guaranteed: 16,
		})
	}
	b.view.SetPolicy(policy)
	b.view.byValue = byValue
	b.view.now = b.now
	for i := range targets {
		t := newTarget(fmt.Sprintf("%03d", i))
		t.Rack = fmt.Sprintf("rack-%02d", i/10)
		t.Capacity.Cores = 128000
		b.view.setTarget("", targetRow(t, 1))
	}
	return b
}

// submit adds a job of a random kind.
func (b *busyDay) submit() {
	kind := b.random.IntN(10)
	priority, count, base := 1, 6, 8500
	need := sesamework.Resources{
		Accelerators: int64(1 << b.random.IntN(4)),
	}
	terms := sesamework.Terms{
		Service:  "service",
		Priority: 1,
		Attempts: 3,
		Stretch:  3,
		Latency:  1000,
	}
	switch {
	case kind < 4:
		priority, count, base = 0, 5, 2500
		terms.Stretch, terms.Latency = 1.5, 250
	case kind < 7:
		priority, count, base = 2, 20+b.random.IntN(40), 6100
		terms.Latency = 3000
		need.Accelerators = 1
	}
	terms.Priority = priority
	need.Cores = need.Accelerators * 6000
	id := fmt.Sprintf("%08d", len(b.jobs))
	declared := float64(base) * math.Exp(0.5*b.random.NormFloat64())
	b.view.now = b.now
	b.view.setJob(id, withStep(jobFillingTarget(id, priority), func(j *sesamework.Job, s *sesamework.Step) {
		j.Team = fmt.Sprint("team-", min(busyTeams-1, b.random.IntN(busyTeams+2)))
		j.Queue = fmt.Sprint("queue-", priority)
		j.Terms = terms
		j.Accepted = b.now.Store.Milliseconds()
		*s = sesamework.Step{
			Count:    count,
			Need:     need,
			Estimate: int64(declared),
			Gang:     priority < 2,
			SameRack: priority < 2 && b.random.IntN(2) == 0,
		}
	}))
	j := b.view.jobs[id]
	for _, s := range j.occurrences[0] {
		for position := range s.count {
			b.view.create(s, position)
		}
	}
	b.owed[j] = priority == 0 && b.openUrgent(j.Team)+j.occurrences[0][0].created[0].accelerators() <= b.view.policy.GuaranteedAccelerators(j.Team)
	b.jobs = append(b.jobs, j)
	long := float64(base) * math.Exp(0.3*b.random.NormFloat64())
	j.eachUnit(func(u *unit) {
		b.actual[u] = time.Duration(long*math.Exp(0.15*b.random.NormFloat64())) * time.Millisecond
	})
}

// openUrgent returns the accelerators of the team's urgent jobs that are not done.
func (b *busyDay) openUrgent(team string) int64 {
	sum := int64(0)
	for _, j := range b.jobs {
		if _, ended := b.endedAt[j]; j.Team == team && j.Terms.Priority == 0 && !ended {
			sum += j.occurrences[0][0].created[0].accelerators()
		}
	}
	return sum
}

// step lets busyTick pass: runs end, targets report, and a decision is taken.
func (b *busyDay) step() {
	b.now.Steady += busyTick
	b.now.Store += busyTick
	v := b.view
	v.now = b.now
	for _, t := range v.targets {
		t.reportedAt = b.now.Steady
	}
	for _, j := range b.jobs {
		j.eachUnit(b.progress)
		if _, ok := b.endedAt[j]; !ok && j.isCompleted() {
			b.endedAt[j] = b.now.Store - time.Duration(j.Accepted)*time.Millisecond
		}
	}
	d := v.Decide(b.now)
	_, _ = fmt.Fprintln(b.digest, b.now.Steady, d.describe())
	v.applyDecision(d)
	for _, s := range d.Starts {
		b.figures.runs++
		delete(b.stoppedAt, s.unit)
	}
	for _, s := range d.Stops {
		b.stoppedAt[s.unit] = b.now.Steady
		b.figures.stops++
	}
}

// progress ends the unit's run if its time has come, and else reports its progress.
func (b *busyDay) progress(u *unit) {
	if !u.isActive() {
		return
	}
	elapsed := b.now.Steady - u.orderedAt
	stopped, stopping := b.stoppedAt[u]
	core := u.step.Need.CoreEquivalent() * float64(u.taskCount())
	for _, m := range u.members {
		switch {
		case stopping && b.now.Steady-stopped >= busyStopTime:
			b.view.endMember(u, m, sesamework.End{Outcome: sesamework.EndStopped})
		case !stopping && elapsed >= b.actual[u]:
			b.view.endMember(u, m, sesamework.End{Outcome: sesamework.EndDone})
		case b.now.Steady%time.Second == 0:
			b.view.targets[m.Target].progress[u.id.Task(m.Index).String()] = progress{
				Progress: sesamework.Progress{
					Run:     u.run.Number,
					Percent: int(100 * elapsed / b.actual[u]),
				},
				changedAt:  b.now.Steady,
				answeredAt: b.now.Steady,
			}
		}
	}
	if stopping && !u.isActive() {
		b.figures.lost += core * elapsed.Seconds()
	}
}

// run lets the day pass with that many jobs a second, and returns its figures.
func (b *busyDay) run(length time.Duration, rate float64) dayFigures {
	next := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 3*length; elapsed += busyTick {
		for elapsed < length && next <= elapsed {
			b.submit()
			next += time.Duration(b.random.ExpFloat64() / rate * float64(time.Second))
		}
		b.step()
	}
	return b.sum()
}

// sum returns the figures of the day.
func (b *busyDay) sum() dayFigures {
	f := b.figures
	var works []float64
	for _, j := range b.jobs {
		works = append(works, b.work(j))
	}
	slices.Sort(works)
	largest := works[len(works)*9/10]
	var counts, served [2]float64
	for _, j := range b.jobs {
		work := b.work(j)
		size := 0
		if work >= largest {
			size = 1
		}
		counts[size]++
		if j.Terms.Priority == 0 {
			f.urgent++
		}
		worth := b.worth(j)
		if worth > 0 {
			served[size]++
		}
		if worth == 1 && j.Terms.Priority == 0 {
			f.urgentInTime++
		}
		f.earned += worth * work
		f.done += work
		if b.owed[j] {
			f.owed++
			if first := j.occurrences[0][0].created[0]; first.run.OrderedAt-j.Accepted > 2900 || first.run.Number != 1 {
				f.owedLate++
			}
		}
	}
	f.large, f.others = served[1]/counts[1], served[0]/counts[0]
	return f
}

// worth returns the part of its value that a job has earned.
func (b *busyDay) worth(j *job) float64 {
	took, ended := b.endedAt[j]
	objective := j.Objective(b.longest(j))
	switch {
	case !ended || took > sesamecontention.LateFactor*objective:
		return 0
	case took > objective:
		return sesamecontention.LateWorth
	}
	return 1
}

// work returns the work of a job that its tasks really take.
func (b *busyDay) work(j *job) float64 {
	sum := 0.0
	j.eachUnit(func(u *unit) {
		sum += u.step.Need.CoreEquivalent() * float64(u.taskCount()) * b.actual[u].Seconds()
	})
	return sum
}

// longest returns the longest duration of a task of a job.
func (b *busyDay) longest(j *job) time.Duration {
	var longest time.Duration
	j.eachUnit(func(u *unit) {
		longest = max(longest, b.actual[u])
	})
	return longest
}

// TestBusyDay guards against throwing work away where there is too little room: by
// value, far less is lost and no less is earned than by order, large jobs are served
// as well, and owed work still begins in time.
func TestBusyDay(t *testing.T) {
	const (
		targets = 30
		rate    = 3.75
		seeds   = 3
	)
	is := is.New(t)
	var sums [2]dayFigures
	for i, byValue := range []bool{false, true} {
		for seed := range uint64(seeds) {
			sums[i].add(newBusyDay(targets, byValue, seed).run(20*time.Second, rate))
		}
		t.Logf("by value %v: %+v", byValue, sums[i])
	}
	order, value := sums[0], sums[1]
	is.True(value.lost < order.lost/2)
	is.True(value.stops < order.stops*2/3)
	is.True(value.earned > order.earned)
	is.True(value.large > value.others/2)
	is.True(value.owed > 0)
	is.Equal(value.owedLate, 0)
}

// TestByOrderUnchanged guards against a change of what is decided by order, which
// earlier deployments use. The digest is that of the decisions before there was another
// policy, with the bounded waits (holding.go, quarantine.go, waits.go), which apply to
// all deployments. Another change that is meant for all changes it too.
func TestByOrderUnchanged(t *testing.T) {
	b := newBusyDay(20, false, 7)
	b.run(10*time.Second, 3)
	is.New(t).Equal(b.digest.Sum64(), uint64(444501394765933483))
}
