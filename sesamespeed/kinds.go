package sesamespeed

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minWeight is the evidence, in ended tasks, from which on a target belongs
	// to a kind. One task doesn't suffice: 3 in 100 take many times as long.
	minWeight = 1.5
	// modelError is the standard deviation of the logarithm of a factor that
	// remains with any amount of evidence, such as from what else runs there.
	modelError = 0.05
	// confidence is by how many standard deviations the spread of targets must
	// exceed what their errors explain: 4 leave chance 1 in 30,000.
	confidence = 4
	// minRatio is the least ratio of the factors of two kinds. The deployments
	// that were observed have ratios from 1.25 on; less gains callers little.
	minRatio = 1.15
	// plausible is the least probability of a kind that counts for Slowest.
	plausible = 0.1
)

// kind is a group of targets that are equally fast.
type kind struct {
	// log is the logarithm of the kind's factor.
	log float64
	// share is the part of the known targets that are of the kind.
	share float64
}

// variance returns the square of the error of the target's raw estimate.
func (m *Model) variance(t *target) float64 {
	return m.noise*m.noise/t.weight + modelError*modelError
}

// findKinds divides the targets into kinds. There is one kind unless the targets
// differ by more than their errors explain.
func (m *Model) findKinds() {
	var known []*target
	for _, t := range m.all {
		if t.weight >= minWeight {
			known = append(known, t)
		}
	}
	m.kinds = nil
	slices.SortStableFunc(known, func(a, b *target) int {
		return cmp.Compare(a.raw, b.raw)
	})
	m.split(known, len(known))
}

// split appends the kinds of the targets, which are sorted by their raw
// estimates, to the kinds; total is the number of all known targets.
func (m *Model) split(targets []*target, total int) {
	if len(targets) == 0 {
		return
	}
	at, separated := m.bestSplit(targets)
	if separated {
		m.split(targets[:at], total)
		m.split(targets[at:], total)
		return
	}
	all := m.moments(targets)
	m.kinds = append(m.kinds, kind{
		log:   all.mean(),
		share: float64(len(targets)) / float64(total),
	})
}

// moments are weighted sums of raw estimates.
type moments struct {
	weight, sum, squares float64
}

// moments returns those of the targets, with the inverse variances as weights.
func (m *Model) moments(targets []*target) moments {
	var all moments
	for _, t := range targets {
		w := 1 / m.variance(t)
		all.weight += w
		all.sum += w * t.raw
		all.squares += w * t.raw * t.raw
	}
	return all
}

// mean returns the weighted mean.
func (s moments) mean() float64 {
	return s.sum / s.weight
}

// spread returns the weighted sum of the squared deviations from the mean. It is
// near the number of targets if these differ by their errors only.
func (s moments) spread() float64 {
	return s.squares - s.sum*s.sum/s.weight
}

// bestSplit returns where to divide the targets so that both parts vary the least,
// and whether they are separate kinds.
func (m *Model) bestSplit(targets []*target) (int, bool) {
	all := m.moments(targets)
	n := float64(len(targets))
	if all.spread() <= n+confidence*math.Sqrt(2*n) {
		return 0, false
	}
	var left moments
	best, least := 0, math.Inf(1)
	ratio := 0.0
	for i, t := range targets[:len(targets)-1] {
		w := 1 / m.variance(t)
		left.weight += w
		left.sum += w * t.raw
		left.squares += w * t.raw * t.raw
		right := moments{
			weight:  all.weight - left.weight,
			sum:     all.sum - left.sum,
			squares: all.squares - left.squares,
		}
		if within := left.spread() + right.spread(); within < least {
			best = i + 1
			least = within
			ratio = right.mean() - left.mean()
		}
	}
	return best, ratio >= math.Log(minRatio)
}

// estimateTargets sets the estimates of all targets from the kinds, relative to
// the geometric mean over the targets.
func (m *Model) estimateTargets() {
	if !m.Differ() {
		for _, t := range m.all {
			t.estimate = m.unknown()
			t.estimate.Weight = t.weight
			t.estimate.UpdatedAt = t.updatedAt
		}
		return
	}
	var mean float64
	for _, k := range m.kinds {
		mean += k.share * k.log
	}
	for i := range m.kinds {
		m.kinds[i].log -= mean
	}
	for _, t := range m.all {
		t.estimate = m.estimateOf(t, t.raw-mean)
	}
}

// estimateOf returns the estimate of a target with that logarithm of its factor:
// each kind counts with its probability.
func (m *Model) estimateOf(t *target, raw float64) Estimate {
	if t.weight < minWeight {
		e := m.unknown()
		e.Weight = t.weight
		e.UpdatedAt = t.updatedAt
		return e
	}
	e := Estimate{
		Weight:    t.weight,
		UpdatedAt: t.updatedAt,
	}
	likelihoods := make([]float64, len(m.kinds))
	var total, log float64
	nearest := math.Inf(1)
	for _, k := range m.kinds {
		nearest = min(nearest, math.Abs(raw-k.log))
	}
	for i, k := range m.kinds {
		d := raw - k.log
		// Relative to the nearest kind, so that not all are rounded to 0.
		likelihoods[i] = k.share * math.Exp((nearest*nearest-d*d)/(2*m.variance(t)))
		total += likelihoods[i]
	}
	for i, k := range m.kinds {
		p := likelihoods[i] / total
		log += p * k.log
		if p >= plausible {
			e.Slowest = math.Exp(k.log)
		}
		if likelihoods[i] > likelihoods[e.Kind] {
			e.Kind = i
		}
	}
	e.Factor = math.Exp(log)
	return e
}

// unknown returns the estimate of a target without enough evidence: the middle of
// the fleet, and perhaps of the slowest kind.
func (m *Model) unknown() Estimate {
	e := Estimate{
		Factor:  1,
		Slowest: 1,
		Kind:    UnknownKind,
	}
	if m.Differ() {
		e.Slowest = math.Exp(m.kinds[len(m.kinds)-1].log)
	}
	return e
}
