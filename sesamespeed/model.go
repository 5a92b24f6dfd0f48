package sesamespeed

import (
	"math"
	"time"
)

const (
	// maxObservations bounds the memory of the model, at some 150 bytes each.
	// Beyond it, the oldest groups are dropped.
	maxObservations = 8192
	// maxGroupObservations keeps one wide step from displacing all others.
	maxGroupObservations = 1024
	// refreshInterval is the least time between two fits. Reports of progress
	// come once a second and target, so waiting longer would delay decisions,
	// and fitting more often would only take processor time.
	refreshInterval = 250 * time.Millisecond
	// defaultNoise is the standard deviation of the logarithms of durations
	// within a step that is assumed before it can be measured.
	defaultNoise = 0.3
	// priorVariance is the variance of the logarithm of a group's duration about
	// the expected one: declared durations are off by a factor of 1.65 either way.
	priorVariance = 0.25
)

// Target identifies one life of a target; a factor belongs to one life.
type Target struct {
	Name string
	Life int64
}

// Observation tells how long a task took, or is going to take by its progress.
type Observation struct {
	// ID names the run of the task. An observation replaces the one with the same
	// ID and group.
	ID string
	// Group names work that takes equally long on equal targets: the tasks of a
	// step.
	Group string
	// Target is where the run is.
	Target Target
	// Taken is the duration of the whole task.
	Taken time.Duration
	// Expected is the duration that was expected on a target of factor 1; 0 if
	// none was.
	Expected time.Duration
	// Uncertainty is the relative error of Taken that comes from measuring; 0 for
	// a run that has ended.
	Uncertainty float64
	// At is when it was observed.
	At time.Duration
}

// Estimate is what the model knows of a target.
type Estimate struct {
	// Factor is the time that work takes there, as a multiple of the geometric
	// mean over the targets. Slowest is that of the slowest kind to which the
	// target may well belong. Both are 1 while targets don't clearly differ.
	Factor  float64
	Slowest float64
	// Kind is the target's kind, from 0 for the fastest; UnknownKind without
	// enough evidence.
	Kind int
	// Weight is the evidence, in ended tasks of a step that ran on many targets,
	// and UpdatedAt when the newest came.
	Weight    float64
	UpdatedAt time.Duration
}

// UnknownKind is the kind of a target of which too little is known.
const UnknownKind = -1

// Model holds the observations and what was estimated from them. It is used by
// one goroutine only.
type Model struct {
	groups map[string]*group
	// order holds the groups from the oldest to the newest.
	order        []*group
	observations int
	// targets holds the targets by their identity, and all the same in the order
	// in which they were first observed.
	targets map[Target]*target
	all     []*target
	// noise is the standard deviation of the logarithms of durations in a step.
	noise float64
	// kinds are the kinds of targets, the fastest first; none or one while targets
	// don't clearly differ.
	kinds []kind
	// changed says that there are observations since the fit at fittedAt.
	changed  bool
	fitted   bool
	fittedAt time.Duration
}

// target is one life of a target in the model.
type target struct {
	id Target
	// log is the estimated logarithm of its factor, which is drawn towards 0 by
	// the prior, and raw the same without the prior. weight is the evidence for
	// both.
	log, raw, weight float64
	estimate         Estimate
	updatedAt        time.Duration
	// sum and inGroup are intermediate results of a fit.
	sum     float64
	inGroup share
}

// share sums up the observations of a group on one target.
type share struct {
	weight, sum float64
}

// group is the work of which the tasks take equally long on equal targets.
type group struct {
	name string
	byID map[string]int
	list []observation
	// level is the estimated logarithm of the duration on a target of factor 1,
	// and expected the prior for it, with the weight priorWeight of it.
	level       float64
	expected    float64
	hasExpected bool
	fitted      bool
}

// observation is an Observation as the fit uses it: the logarithm of its duration
// in seconds, and the variance of that from measuring.
type observation struct {
	target   *target
	log      float64
	variance float64
}

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{
		groups:  map[string]*group{},
		targets: map[Target]*target{},
		noise:   defaultNoise,
	}
}

// logSeconds returns the natural logarithm of a duration in seconds. Less than a
// millisecond counts as a millisecond.
func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Millisecond).Seconds())
}

// Observe adds an observation, which counts from the next fit on.
func (m *Model) Observe(o Observation) {
	g, ok := m.groups[o.Group]
	if !ok {
		g = &group{
			name: o.Group,
			byID: map[string]int{},
		}
		if o.Expected > 0 {
			g.expected = logSeconds(o.Expected)
			g.hasExpected = true
		}
		m.groups[o.Group] = g
		m.order = append(m.order, g)
	}
	i, known := g.byID[o.ID]
	if !known {
		if len(g.list) >= maxGroupObservations {
			return
		}
		i = len(g.list)
		g.byID[o.ID] = i
		g.list = append(g.list, observation{})
		m.observations++
		m.dropOldest()
	}
	t := m.targetOf(o.Target)
	t.updatedAt = o.At
	g.list[i] = observation{
		target:   t,
		log:      logSeconds(o.Taken),
		variance: o.Uncertainty * o.Uncertainty,
	}
	m.changed = true
}

// dropOldest drops the oldest groups while there are too many observations. It
// keeps the newest one.
func (m *Model) dropOldest() {
	for m.observations > maxObservations && len(m.order) > 1 {
		oldest := m.order[0]
		m.order = m.order[1:]
		m.observations -= len(oldest.list)
		delete(m.groups, oldest.name)
	}
}

// targetOf returns the target, which it adds if it is new.
func (m *Model) targetOf(id Target) *target {
	t, ok := m.targets[id]
	if !ok {
		t = &target{
			id: id,
		}
		m.targets[id] = t
		m.all = append(m.all, t)
	}
	return t
}

// Forget drops the estimate of a life that has ended. What was observed there
// still tells how long the steps take.
func (m *Model) Forget(id Target) {
	if _, ok := m.targets[id]; !ok {
		return
	}
	delete(m.targets, id)
	for i, t := range m.all {
		if t.id == id {
			m.all = append(m.all[:i], m.all[i+1:]...)
			break
		}
	}
	m.changed = true
}

// Refresh fits the model if there are new observations and the last fit is not
// too recent, and reports whether it did. Estimates change only then.
func (m *Model) Refresh(now time.Duration) bool {
	if !m.changed || m.fitted && now-m.fittedAt < refreshInterval {
		return false
	}
	m.changed = false
	m.fitted = true
	m.fittedAt = now
	m.fit()
	m.findKinds()
	m.estimateTargets()
	return true
}

// Differ reports whether targets clearly differ.
func (m *Model) Differ() bool {
	return len(m.kinds) > 1
}

// Kinds returns the factors of the kinds, the fastest first; none while targets
// don't clearly differ.
func (m *Model) Kinds() []float64 {
	if !m.Differ() {
		return nil
	}
	factors := make([]float64, 0, len(m.kinds))
	for _, k := range m.kinds {
		factors = append(factors, math.Exp(k.log))
	}
	return factors
}

// Estimate returns what is known of the target as of the last fit.
func (m *Model) Estimate(id Target) Estimate {
	if t, ok := m.targets[id]; ok && t.estimate.Factor > 0 {
		return t.estimate
	}
	return m.unknown()
}

// Factor returns the time that work takes on the target as a multiple of the
// middle of the fleet: 1 for unknown targets and while targets don't clearly
// differ.
func (m *Model) Factor(id Target) float64 {
	return m.Estimate(id).Factor
}

// Quantile returns the duration that a task whose expected one is given does not
// exceed with the probability p, by the noise within steps.
func (m *Model) Quantile(expected time.Duration, p float64) time.Duration {
	z := math.Sqrt2 * math.Erfinv(2*p-1)
	return time.Duration(float64(expected) * math.Exp(z*m.noise))
}
