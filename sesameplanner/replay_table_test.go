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
	replayLong  = flag.Bool("replay.long", false, "replay ten times today's sizes")
	replayAll   = flag.Bool("replay.parts", false, "replay with each part of the policy switched off")
	replaySeeds = flag.Uint64("replay.seeds", 3, "seeds of the replay, from 1 on")
)

// result is what one replay measured.
type result struct {
	completion map[string][]float64
	all        []float64
	// fragmentation is summed over the seconds of its weight.
	fragmentation, weight float64
	late                  []float64
	lost                  float64
	stopped               int
	refused, failures     int
	wronged, left         int
}

func newResult() *result {
	return &result{
		completion: map[string][]float64{},
	}
}

func (r *result) complete(class string, d time.Duration) {
	r.completion[class] = append(r.completion[class], d.Minutes())
	r.all = append(r.all, d.Minutes())
}

// addFragmentation adds 1 - (idle accelerators that the largest guaranteed
// shape, three whole workers of a rack, can use) / (idle accelerators).
func (r *result) addFragmentation(p *Planner, from, to time.Time) {
	if from.Sub(epoch) > day {
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
	r.weight += seconds
}

func at(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func (r *result) row(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %-18s", name)
	slices.Sort(r.all)
	fmt.Fprintf(&b, " all %5.0f %5.0f %5.0f", at(r.all, 0.5), at(r.all, 0.95), at(r.all, 0.99))
	for _, class := range []string{"urgent", "short", "medium", "large"} {
		sorted := slices.Sorted(slices.Values(r.completion[class]))
		fmt.Fprintf(&b, " | %s %4.0f %4.0f %4.0f", class, at(sorted, 0.5), at(sorted, 0.95), at(sorted, 0.99))
	}
	slices.Sort(r.late)
	fmt.Fprintf(&b, " | frag %.2f | owed %d: %.1fs %.1fs | stopped %d lost %.0f | failed %d wronged %d left %d",
		r.fragmentation/max(r.weight, 1), len(r.late), at(r.late, 0.95), at(r.late, 1), r.stopped, r.lost,
		r.failures, r.wronged, r.refused+r.left)
	return b.String()
}

type contender struct {
	name       string
	decide     policy
	guaranteed bool
	without    PolicyFeatures
}

func contenders() []contender {
	found := []contender{
		{name: "first-fit FIFO", decide: fifo(firstFit)},
		{name: "best-fit FIFO", decide: fifo(bestFit)},
		{name: "sesameplanner", decide: ours, guaranteed: true},
	}
	if !*replayAll {
		return found
	}
	return append(found,
		contender{name: "- aging", decide: ours, guaranteed: true, without: PolicyFeatures{Aging: true}},
		contender{name: "- reservation", decide: ours, guaranteed: true, without: PolicyFeatures{Reservation: true}},
		contender{name: "- floating", decide: ours, guaranteed: true, without: PolicyFeatures{Floating: true}},
		contender{name: "- correction", decide: ours, guaranteed: true, without: PolicyFeatures{Correction: true}},
		contender{name: "- packing", decide: ours, guaranteed: true, without: PolicyFeatures{Packing: true}},
		contender{name: "- victim cost", decide: ours, guaranteed: true, without: PolicyFeatures{VictimCost: true}},
		contender{name: "- suspicion", decide: ours, guaranteed: true, without: PolicyFeatures{Suspicion: true}},
	)
}

// replay runs one scenario with all seeds and adds up the results.
func (c contender) replay(d deployment, s scenario) *result {
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

// unhindered returns what jobs would take that never wait, a bound for all.
func unhindered(d deployment, s scenario) *result {
	total := newResult()
	for seed := uint64(1); seed <= *replaySeeds; seed++ {
		for _, w := range generate(d, s, seed) {
			if w.cancelAt == 0 && !w.broken {
				total.complete(w.job.Spec.Class, w.real)
			}
		}
	}
	return total
}

// TestReplay prints completion times in minutes (median, p95, p99), the mean
// fragmentation and the lateness of owed work in seconds.
func TestReplay(t *testing.T) {
	scale := 1
	if *replayLong {
		scale = 10
	}
	for _, d := range deployments(scale) {
		for _, s := range scenarios() {
			t.Run(fmt.Sprintf("%s x%d %s", d.name, scale, s.name), func(t *testing.T) {
				t.Log(unhindered(d, s).row("run time alone"))
				for _, c := range contenders() {
					t.Log(c.replay(d, s).row(c.name))
				}
			})
		}
	}
}
