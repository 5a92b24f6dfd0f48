package sesamedispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamespeed"
)

const (
	// maxSpeedWait bounds how long a unit that has room on slow targets waits for
	// faster ones. The platform asks for a start within 3 s of when a task could
	// run beside free targets, of which orders take a part.
	maxSpeedWait = 2 * time.Second
	// safeShare is the probability with which a task must end in time on a kind of
	// targets for its unit to count as having slack there, and safeStepShare the one
	// for all tasks of the step together.
	safeShare     = 0.9
	safeStepShare = 0.5
	// lastShare is the part of a step's tasks that counts as its last ones, from
	// lastMinCount tasks on: they decide when the step ends.
	lastShare    = 8
	lastMinCount = 8
)

// level is a set of targets that are expected to be equally fast: a kind, or those
// of which too little is known.
type level struct {
	factor  float64
	slowest float64
}

// speedLevels are the levels of a pass and the targets on them; see level. It is
// nil while targets don't clearly differ.
type speedLevels struct {
	// levels holds the kinds, the fastest first, and last the unknown targets.
	levels []level
	// byService caches the targets that accept work, by service and level.
	byService map[string][]levelTargets
	// waiting counts the units of each step that wait in this pass; see isLast.
	waiting map[spreadKey]int
}

// newSpeedLevels returns the levels for a pass that places the candidates.
func (v *View) newSpeedLevels(candidates []candidate) *speedLevels {
	if !v.speedsDiffer() {
		return nil
	}
	s := &speedLevels{
		byService: map[string][]levelTargets{},
		waiting:   map[spreadKey]int{},
	}
	for _, factor := range v.speeds.Kinds() {
		s.levels = append(s.levels, level{
			factor:  factor,
			slowest: factor,
		})
	}
	s.levels = append(s.levels, level{
		factor:  1,
		slowest: s.levels[len(s.levels)-1].factor,
	})
	for _, c := range candidates {
		s.waiting[c.units[0].spreadKey("")] = c.count()
	}
	return s
}

// levelOf returns the index of the target's level.
func (s *speedLevels) levelOf(t *target) int {
	if t.speed.Kind == sesamespeed.UnknownKind || t.speed.Kind >= len(s.levels)-1 {
		return len(s.levels) - 1
	}
	return t.speed.Kind
}

// levelTargets are the targets of one level, and the same by rack.
type levelTargets struct {
	targets []*target
	racks   rackGroups
}

// split returns the targets by their level.
func (s *speedLevels) split(targets []*target) []levelTargets {
	groups := make([]levelTargets, len(s.levels))
	for _, t := range targets {
		i := s.levelOf(t)
		groups[i].targets = append(groups[i].targets, t)
	}
	for i := range groups {
		groups[i].racks = groupByRack(groups[i].targets)
	}
	return groups
}

// targetsByLevel returns the usable targets of the unit by their level.
func (p *pass) targetsByLevel(u *unit, usable []*target) []levelTargets {
	service := u.job.Terms.Service
	if len(usable) < len(p.targetsByService[service]) {
		return p.speeds.split(usable)
	}
	groups, ok := p.speeds.byService[service]
	if !ok {
		groups = p.speeds.split(usable)
		p.speeds.byService[service] = groups
	}
	return groups
}

// timeLeft returns how long a run of the unit may take, if it starts now, for its
// occurrence to end in time.
func (p *pass) timeLeft(u *unit) time.Duration {
	return p.view.latestStart(u) + u.expectedDuration() - p.view.now.Store
}

// isLast reports whether the unit is one of the last tasks of a wide step.
func (p *pass) isLast(u *unit) bool {
	return u.step.Count >= lastMinCount && !u.step.Gang &&
		p.speeds.waiting[u.spreadKey("")] <= u.step.Count/lastShare
}

// levelOrder returns the indexes of the levels in the order in which the unit
// should take them: urgent units and the last tasks of a step the fastest first,
// others the slowest on which they safely end in time, so that faster ones stay
// free for urgent work. Single tasks that safely end in time anywhere take unknown
// targets first.
func (p *pass) levelOrder(u *unit) []int {
	levels := p.speeds.levels
	order := make([]int, len(levels))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(levels[a].factor, levels[b].factor)
	})
	if u.job.Terms.Priority == 0 || p.isLast(u) {
		return order
	}
	left := p.timeLeft(u)
	share := max(safeShare, math.Pow(safeStepShare, 1/float64(u.step.Count)))
	longest := p.view.speeds.Quantile(u.expectedDuration(), share)
	isSafe := func(i int) bool {
		return scaled(longest, levels[i].slowest) <= left
	}
	safe := 0
	for safe < len(order) && isSafe(order[safe]) {
		safe++
	}
	if safe == 0 && p.view.isCertainlyLate(u) {
		safe = len(order) // late anywhere, so fast targets are left to others
	}
	slices.Reverse(order[:safe])
	if unknown := len(levels) - 1; !u.step.Gang {
		// Tasks that have time show how fast the unknown targets are.
		if i := slices.Index(order[:safe], unknown); i > 0 {
			order = slices.Insert(slices.Delete(order, i, i+1), 0, unknown)
		}
	}
	return order
}

// levelRanks returns, for each level, its position in levelOrder; nil when all
// targets suit the unit alike.
func (p *pass) levelRanks(u *unit) []int {
	if p.speeds == nil || u.step.LongRunning {
		return nil
	}
	ranks := make([]int, len(p.speeds.levels))
	for i, level := range p.levelOrder(u) {
		ranks[level] = i
	}
	return ranks
}

// compareSpeeds orders two targets by the ranks of their levels.
func (p *pass) compareSpeeds(ranks []int, a, b *target) int {
	if ranks == nil {
		return 0
	}
	return cmp.Compare(ranks[p.speeds.levelOf(a)], ranks[p.speeds.levelOf(b)])
}

// chooseUniformGang returns a usable target for each task of the gang, all of one
// level, or nil if no level has room. It takes the first level in levelOrder on
// which the gang finds a place in one rack, or in any if it needs no rack.
func (p *pass) chooseUniformGang(u *unit, usable []*target) []*target {
	if p.speeds == nil || u.step.LongRunning {
		return nil
	}
	groups := p.targetsByLevel(u, usable)
	for _, i := range p.levelOrder(u) {
		if best := p.chooseRack(u, groups[i].racks); best != nil {
			return best
		}
		if u.step.SameRack || u.step.DataRack != "" && !p.acceptsRack(u, "") {
			continue
		}
		if best := p.pack(u, groups[i].targets); best != nil {
			return best
		}
	}
	return nil
}

// likelyFactor returns the factor by which a unit is expected to take longer on
// the targets: that of the slowest one. With several unknown targets, one of them
// probably is as slow as they may be.
func likelyFactor(targets []*target) float64 {
	likely, slowest := 0.0, 0.0
	var unknown *target
	several := false
	for _, t := range targets {
		likely = max(likely, t.factor())
		if t.speed.Kind == sesamespeed.UnknownKind {
			slowest = max(slowest, t.speed.Slowest)
			several = several || unknown != nil && unknown != t
			unknown = t
		}
	}
	if several {
		return max(likely, slowest)
	}
	return likely
}

// isLateOn reports whether the unit is expected to end late if it starts on these
// targets now.
func (p *pass) isLateOn(u *unit, targets []*target) bool {
	return p.speeds != nil && !u.step.LongRunning && u.expectedDuration() > 0 &&
		scaled(u.expectedDuration(), likelyFactor(targets)) > p.timeLeft(u)
}

// fastEnough returns those of the targets that are known to be so fast that the
// unit ends in time if it starts there now.
func (p *pass) fastEnough(u *unit, targets []*target) []*target {
	var fast []*target
	left := p.timeLeft(u)
	for _, t := range targets {
		if t.speed.Kind != sesamespeed.UnknownKind && u.expectedDurationOn(t) <= left {
			fast = append(fast, t)
		}
	}
	return fast
}

// mayWaitForSpeed reports whether the unit, which became ready to run some time
// ago, may wait that much longer for faster targets than it could have now.
func (p *pass) mayWaitForSpeed(u *unit, wait time.Duration) bool {
	return p.view.now.Steady-u.readySince+wait <= maxSpeedWait
}

// startOrTakeFaster starts the unit on the chosen targets unless takeFaster makes
// room for it on others.
func (p *pass) startOrTakeFaster(u *unit, chosen []*target) {
	if !p.takeFaster(u, chosen) {
		p.start(u, chosen)
	}
}

// takeFaster makes room for the unit on faster targets if it is expected to end
// late on the chosen ones, which have room now, and in time on others soon. It
// reserves these, or preempts other work there if the unit is urgent. It returns
// false when the unit should start on the chosen ones.
func (p *pass) takeFaster(u *unit, chosen []*target) bool {
	if !p.isLateOn(u, chosen) || !p.mayWaitForSpeed(u, 0) {
		return false
	}
	usable, _ := p.eligibleTargets(u)
	fast := p.fastEnough(u, usable)
	if len(fast) == 0 || !p.couldHold(u, fast) {
		return false
	}
	if p.reservedUnits < p.maxReservations() {
		names, wait := p.earliestFitAmong(u, fast)
		inTime := names != nil && wait > 0 && wait+p.durationOn(u, names) <= p.timeLeft(u)
		if inTime && p.mayWaitForSpeed(u, wait) {
			p.reservedUnits++
			p.reserve(u, names, wait)
			p.logSpeedWait(u, wait)
			return true
		}
	}
	// On the chosen targets the unit ends as late as after a wait of that length.
	delay := scaled(u.expectedDuration(), likelyFactor(chosen)) - u.expectedDuration()
	if u.job.Terms.Priority == 0 && p.preempt(u, false, delay) {
		p.logSpeedWait(u, 0)
		return true
	}
	return false
}

// logSpeedWait logs and counts that the unit waits for faster targets.
func (p *pass) logSpeedWait(u *unit, wait time.Duration) {
	p.d.speedWaits++
	p.view.log.Emit(eventSpeedWait, sesamelog.Fields{
		"job":  u.id.Job,
		"unit": u.id.String(),
		"wait": wait.Milliseconds(),
	})
}

// evictionTargets returns the targets on which runs may be preempted for the unit:
// those of the usable ones that are fast enough, if they could hold it.
func (p *pass) evictionTargets(u *unit, usable []*target) []*target {
	if p.speeds == nil || u.step.LongRunning {
		return usable
	}
	if fast := p.fastEnough(u, usable); p.couldHold(u, fast) {
		return fast
	}
	return usable
}

// durationOn returns how long a run of the unit is expected to take on the
// targets with these names, which is as long as on the slowest.
func (p *pass) durationOn(u *unit, names []string) time.Duration {
	slowest := 0.0
	for _, name := range names {
		slowest = max(slowest, p.view.targets[name].factor())
	}
	return scaled(u.expectedDuration(), slowest)
}

// uniformGroups returns, besides the groups of targets, their parts of one level,
// so that a place among equally fast targets can be compared with others. Groups
// that are racks are compared as they are, since the rack matters more.
func (p *pass) uniformGroups(u *unit, groups [][]*target) [][]*target {
	if p.speeds == nil || u.step.LongRunning || len(groups) > 1 || !u.step.Gang && u.job.Terms.Priority > 0 {
		return groups
	}
	var all [][]*target
	for _, targets := range groups {
		for _, part := range p.speeds.split(targets) {
			if len(part.targets) > 0 {
				all = append(all, part.targets)
			}
		}
	}
	return append(all, groups...)
}
