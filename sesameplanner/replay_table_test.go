package sesameplanner

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	replayLong  = flag.Bool("replay.long", false, "replay ten times the platforms' base size")
	replayAll   = flag.Bool("replay.parts", false, "also replay with each feature of the policy disabled")
	replaySeeds = flag.Uint64("replay.seeds", 3, "number of seeds to replay, from 1 on")
)

// result collects what replays of one scenario measured.
type result struct {
	// completion holds the completion times of successful jobs by class, in
	// minutes from submission; all holds them for all classes.
	completion map[string][]float64
	all        []float64
	// fragmentation is summed over time and weighted by seconds; weightSeconds
	// is the sum of these weights.
	fragmentation, weightSeconds float64
	// lateness holds, for each job that its team's guarantee covers, the
	// seconds from submission to its first start.
	lateness []float64
	// lost is the progress lost by preempted jobs, in accelerator-hours.
	lost float64
	// stopped counts preemptions.
	stopped int
	// refused counts refused jobs, failures failed attempts.
	refused, failures int
	// unbrokenFailed counts jobs that ended as failed although they are not
	// broken; left counts jobs that never ended.
	unbrokenFailed, left int
}

// newResult returns a result without measurements.
func newResult() *result {
	return &result{
		completion: map[string][]float64{},
	}
}

// addCompletion records the completion time of a successful job.
func (r *result) addCompletion(class string, d time.Duration) {
	r.completion[class] = append(r.completion[class], d.Minutes())
	r.all = append(r.all, d.Minutes())
}

// addFragmentation adds the fragmentation of the interval: 1 - usable / idle,
// where idle is the number of idle accelerators and usable those that whole
// copies of the largest guaranteed shape, three whole workers of a rack, can
// use. Intervals that start after the first day are left out, because no work
// arrives then.
func (r *result) addFragmentation(p *Planner, from, to time.Time) {
	if from.Sub(startTime) > day {
		return
	}
	idle, usable := 0, 0
	for _, s := range p.cells.byID {
		for _, k := range s.racks {
			whole := 0
			for _, i := range s.nodesByRack[k.first:k.end] {
				free := s.nodes[i].free.Accelerators
				idle += free
				if free == 8 {
					whole++
				}
			}
			usable += whole / 3 * 24
		}
	}
	if idle == 0 {
		return
	}
	seconds := to.Sub(from).Seconds()
	r.fragmentation += seconds * (1 - float64(usable)/float64(idle))
	r.weightSeconds += seconds
}

// quantileOf returns the q-quantile of sorted values, 0 if there are none.
func quantileOf(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// row formats the result as one row of the table.
func (r *result) row(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %-18s", name)
	slices.Sort(r.all)
	fmt.Fprintf(&b, " all %5.0f %5.0f %5.0f", quantileOf(r.all, 0.5), quantileOf(r.all, 0.95), quantileOf(r.all, 0.99))
	for _, class := range []string{"urgent", "short", "medium", "large"} {
		sorted := slices.Sorted(slices.Values(r.completion[class]))
		fmt.Fprintf(&b, " | %s %4.0f %4.0f %4.0f", class, quantileOf(sorted, 0.5), quantileOf(sorted, 0.95), quantileOf(sorted, 0.99))
	}
	slices.Sort(r.lateness)
	fmt.Fprintf(&b, " | frag %.2f | owed %d: %.1fs %.1fs | stopped %d lost %.0f | failed %d wrongly failed %d left %d",
		r.fragmentation/max(r.weightSeconds, 1), len(r.lateness), quantileOf(r.lateness, 0.95), quantileOf(r.lateness, 1), r.stopped, r.lost,
		r.failures, r.unbrokenFailed, r.refused+r.left)
	return b.String()
}

// comparedPolicy is one of the policies that the replay compares.
type comparedPolicy struct {
	name   string
	decide policy
	// guaranteed is true if guarantees are assigned and failures are handled;
	// the baselines do neither and use Options.Packing 1.
	guaranteed bool
	// without selects the features to disable.
	without PolicyFeatures
}

// comparedPolicies returns the baselines and the planner, and with the flag
// -replay.parts also the planner with each feature disabled.
func comparedPolicies() []comparedPolicy {
	found := []comparedPolicy{
		{name: "first-fit FIFO", decide: fifo(firstFit)},
		{name: "best-fit FIFO", decide: fifo(bestFit)},
		{name: "sesameplanner", decide: sesamePolicy, guaranteed: true},
	}
	if !*replayAll {
		return found
	}
	return append(found,
		comparedPolicy{name: "- aging", decide: sesamePolicy, guaranteed: true, without: PolicyFeatures{Aging: true}},
		comparedPolicy{name: "- reservation", decide: sesamePolicy, guaranteed: true, without: PolicyFeatures{Reservation: true}},
		comparedPolicy{name: "- floating", decide: sesamePolicy, guaranteed: true, without: PolicyFeatures{Floating: true}},
		comparedPolicy{name: "- correction", decide: sesamePolicy, guaranteed: true, without: PolicyFeatures{Correction: true}},
		comparedPolicy{name: "- packing", decide: sesamePolicy, guaranteed: true, without: PolicyFeatures{Packing: true}},
		comparedPolicy{name: "- victim cost", decide: sesamePolicy, guaranteed: true, without: PolicyFeatures{VictimCost: true}},
		comparedPolicy{name: "- suspicion", decide: sesamePolicy, guaranteed: true, without: PolicyFeatures{Suspicion: true}},
	)
}

// replay replays one scenario with all seeds and collects the results.
func (c comparedPolicy) replay(d deployment, s scenario) *result {
	total := newResult()
	o := Options{
		Packing:  d.packing,
		Disabled: c.without,
	}
	if !c.guaranteed {
		o.Packing = 1
	}
	for seed := uint64(1); seed <= *replaySeeds; seed++ {
		r := newReplay(d, s, generate(d, s, seed), seed, c.decide, o, c.guaranteed)
		r.result = total
		r.run()
	}
	return total
}

// runTimesAlone returns the result if no job ever waited or failed, a lower
// bound on every policy's completion times.
func runTimesAlone(d deployment, s scenario) *result {
	total := newResult()
	for seed := uint64(1); seed <= *replaySeeds; seed++ {
		for _, w := range generate(d, s, seed) {
			if w.cancelAt == 0 && !w.broken {
				total.addCompletion(w.job.Spec.Class, w.realRunTime)
			}
		}
	}
	return total
}

// TestReplay prints, for each scenario and policy, the completion times in
// minutes (median, p95, p99), the mean fragmentation and the lateness of owed
// work in seconds. It fails on nothing.
func TestReplay(t *testing.T) {
	scale := 1
	if *replayLong {
		scale = 10
	}
	for _, d := range deployments(scale) {
		for _, s := range scenarios() {
			t.Run(fmt.Sprintf("%s x%d %s", d.name, scale, s.name), func(t *testing.T) {
				t.Log(runTimesAlone(d, s).row("run time alone"))
				for _, c := range comparedPolicies() {
					t.Log(c.replay(d, s).row(c.name))
				}
			})
		}
	}
}
