package sesamegang

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// origin gives each node a clock of its own.
func origin(i int) time.Duration {
	return time.Duration(i*i) * 37 * time.Second
}

func assertBound(t interface{ Fatalf(string, ...any) }, w *world) {
	if text := w.overrun(); text != "" {
		t.Fatalf("%s", text)
	}
}

func assertAllRun(t *testing.T, w *world) {
	t.Helper()
	for _, n := range w.nodes {
		if !n.started || n.runs <= w.now {
			t.Fatalf("member %d does not run at %v: it ended at %v", n.index, w.now, n.runs)
		}
	}
}

func assertOutlivesPause(t *testing.T, member int, at, pause time.Duration) {
	t.Helper()
	w := newWorld(20, origin)
	w.open(func(int) time.Duration { return 0 })
	w.run(at)
	w.nodes[member].paused = w.now + pause
	w.run(14 * time.Second)
	assertAllRun(t, w)
}

func TestGangRunsOn(t *testing.T) {
	for _, size := range []int{2, 17, 18, 128, 1024} {
		t.Run(fmt.Sprintf("%d members", size), func(t *testing.T) {
			w := newWorld(size, origin)
			w.latency = func() []time.Duration { return []time.Duration{20 * time.Millisecond} }
			w.open(func(i int) time.Duration { return time.Duration(i%7) * 100 * time.Millisecond })
			w.run(20 * time.Second)
			assertAllRun(t, w)
		})
	}
	t.Run("over the pause of any member", func(t *testing.T) {
		for member := range 20 {
			assertOutlivesPause(t, member, 4300*time.Millisecond, 3*time.Second)
			for phase := range 10 {
				assertOutlivesPause(t, member, 4*time.Second+time.Duration(phase)*100*time.Millisecond, 2*time.Second)
			}
		}
	})
	t.Run("with members that are done", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(20, origin)
		w.open(func(int) time.Duration { return 0 })
		for i, n := range w.nodes {
			w.done(n, time.Duration(i)*time.Second)
		}
		w.run(18500 * time.Millisecond)
		is.True(w.nodes[19].runs > w.now)
		is.Equal(len(w.nodes[0].agent.Outcomes(w.nodes[0].reading(w))), 0)
		w.run(22 * time.Second)
		reports := w.nodes[0].agent.Outcomes(w.nodes[0].reading(w))[0].GetReports()
		is.Equal(len(reports), 20)
		for _, r := range reports {
			is.Equal(r.GetProgress(), sesamewire.Progress_PROGRESS_DONE)
		}
	})
}

// TestGangEndsAtEveryPoint loses or pauses each kind of member before each
// event of a run.
func TestGangEndsAtEveryPoint(t *testing.T) {
	const size = 20
	faults := map[string]func(w *world, n *node){
		"lost":         func(w *world, n *node) { w.lose(n) },
		"paused, lost": func(w *world, n *node) { w.pause(n, 4*time.Second); w.loseLater(n, 4*time.Second) },
		"lost, parent paused": func(w *world, n *node) {
			w.lose(n)
			if p := Parent(n.index); p >= 0 {
				w.nodes[p].paused = w.now + 4900*time.Millisecond
			}
		},
		"lost, parent paused for less than its lease": func(w *world, n *node) {
			w.lose(n)
			if p := Parent(n.index); p >= 0 {
				w.pause(w.nodes[p], 3500*time.Millisecond)
			}
		},
		"lost, leaves paused": func(w *world, n *node) {
			w.lose(n)
			for _, leaf := range w.nodes[2:] {
				w.pause(leaf, 4*time.Second)
			}
		},
		"lost, others paused later": func(w *world, n *node) {
			w.lose(n)
			for i, other := range w.nodes {
				w.at(3*time.Second+time.Duration(i)*70*time.Millisecond, other, func(time.Duration) { w.pause(other, 8*time.Second) })
			}
		},
		"paused over the lease": func(w *world, n *node) { w.pause(n, 8*time.Second) },
	}
	for name, fault := range faults {
		for _, member := range []int{0, 1, 5, 17} {
			t.Run(fmt.Sprintf("%s, member %d", name, member), func(t *testing.T) {
				points := 0
				for point := 0; ; point++ {
					w := newWorld(size, origin)
					seen := 0
					w.step = func(w *world, _ *node) {
						if seen == point {
							fault(w, w.nodes[member])
						}
						seen++
					}
					w.open(func(i int) time.Duration { return time.Duration(i%3) * 50 * time.Millisecond })
					w.run(2200 * time.Millisecond)
					if seen <= point {
						break
					}
					points++
					for end := w.now; end < 16*time.Second && w.running(); end += time.Second {
						w.run(end)
					}
					assertBound(t, w)
				}
				is.New(t).True(points > 100)
			})
		}
	}
}

func (w *world) loseLater(n *node, delay time.Duration) {
	w.at(delay, w.nodes[(n.index+1)%len(w.nodes)], func(time.Duration) { w.lose(n) })
}

func TestGangUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 40).Draw(t, "size")
		w := newWorld(size, origin)
		w.latency = func() []time.Duration {
			copies := rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 2}).Draw(t, "copies")
			delays := make([]time.Duration, copies)
			for i := range delays {
				longest := rapid.SampledFrom([]int{5, 5, 5, 50, 500, 9000}).Draw(t, "longest")
				delays[i] = time.Duration(rapid.IntRange(0, longest).Draw(t, "delay")) * time.Millisecond
			}
			return delays
		}
		w.open(func(int) time.Duration {
			return time.Duration(rapid.IntRange(0, 1500).Draw(t, "open")) * time.Millisecond
		})
		member := func() *node { return w.nodes[rapid.IntRange(0, size-1).Draw(t, "member")] }
		for range rapid.IntRange(0, 3).Draw(t, "done") {
			w.done(member(), time.Duration(rapid.IntRange(0, 9000).Draw(t, "after"))*time.Millisecond)
		}
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			w.run(w.now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "run"))*time.Millisecond)
			if n := member(); rapid.Bool().Draw(t, "lose") {
				w.lose(n)
			} else {
				w.pause(n, time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause"))*time.Millisecond)
			}
		}
		w.run(w.now + 20*time.Second)
		assertBound(t, w)
	})
}
