package sesamegang

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// clockOrigin returns what node i's clock shows at the start of a simulation. It
// differs for each node, so that a test fails if clocks are compared.
func clockOrigin(i int) time.Duration {
	return time.Duration(i*i) * 37 * time.Second
}

// assertNoOverrun fails when a member ran too long after another was lost.
func assertNoOverrun(t interface{ Fatalf(string, ...any) }, s *simulation) {
	if text := s.findOverrun(); text != "" {
		t.Fatalf("%s", text)
	}
}

// assertAllRunning fails unless all members have started and still run.
func assertAllRunning(t *testing.T, s *simulation) {
	t.Helper()
	for _, n := range s.nodes {
		if !n.started || n.runsUntil <= s.now {
			t.Fatalf("member %d does not run at %v, it ran until %v", n.index, s.now, n.runsUntil)
		}
	}
}

// assertOutlivesPause pauses one member of a gang at a time, for less than a
// lease, and fails unless all members run afterwards.
func assertOutlivesPause(t *testing.T, member int, at, pause time.Duration) {
	t.Helper()
	s := newSimulation(20, clockOrigin)
	s.open(func(int) time.Duration { return 0 })
	s.run(at)
	s.nodes[member].pausedUntil = s.now + pause
	s.run(14 * time.Second)
	assertAllRunning(t, s)
}

// TestHealthyGangKeepsRunning checks that no gang is stopped without a fault, and
// that members which are done or pause for less than a lease stop no other.
func TestHealthyGangKeepsRunning(t *testing.T) {
	for _, size := range []int{2, 17, 18, 128, 1024} {
		t.Run(fmt.Sprintf("%d members", size), func(t *testing.T) {
			s := newSimulation(size, clockOrigin)
			s.latency = func() []time.Duration { return []time.Duration{20 * time.Millisecond} }
			s.open(func(i int) time.Duration { return time.Duration(i%7) * 100 * time.Millisecond })
			s.run(20 * time.Second)
			assertAllRunning(t, s)
		})
	}
	t.Run("while any one member pauses", func(t *testing.T) {
		for member := range 20 {
			assertOutlivesPause(t, member, 4300*time.Millisecond, 3*time.Second)
			for phase := range 10 {
				assertOutlivesPause(t, member, 4*time.Second+time.Duration(phase)*100*time.Millisecond, 2*time.Second)
			}
		}
	})
	t.Run("after some members are done", func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(20, clockOrigin)
		s.open(func(int) time.Duration { return 0 })
		for i, n := range s.nodes {
			s.finishTask(n, time.Duration(i)*time.Second)
		}
		s.run(18500 * time.Millisecond)
		is.True(s.nodes[19].runsUntil > s.now)
		is.Equal(len(s.nodes[0].agent.Outcomes(s.nodes[0].reading(s))), 0)
		s.run(22 * time.Second)
		reports := s.nodes[0].agent.Outcomes(s.nodes[0].reading(s))[0].GetReports()
		is.Equal(len(reports), 20)
		for _, r := range reports {
			is.Equal(r.GetProgress(), sesamewire.Progress_PROGRESS_DONE)
		}
	})
}

// TestGangEndsAtEveryPoint checks that all members stop in time after one of them
// is lost or pauses for longer than its lease. It repeats a run and puts the fault
// before each event in turn, for the root, inner members and leaves.
func TestGangEndsAtEveryPoint(t *testing.T) {
	const size = 20
	faults := map[string]func(s *simulation, n *node){
		"lost":         func(s *simulation, n *node) { s.loseNode(n) },
		"paused, lost": func(s *simulation, n *node) { s.pauseNode(n, 4*time.Second); s.loseLater(n, 4*time.Second) },
		"lost, parent paused": func(s *simulation, n *node) {
			s.loseNode(n)
			if p := Parent(n.index); p >= 0 {
				s.nodes[p].pausedUntil = s.now + 4900*time.Millisecond
			}
		},
		"lost, parent paused for less than its lease": func(s *simulation, n *node) {
			s.loseNode(n)
			if p := Parent(n.index); p >= 0 {
				s.pauseNode(s.nodes[p], 3500*time.Millisecond)
			}
		},
		"lost, leaves paused": func(s *simulation, n *node) {
			s.loseNode(n)
			for _, leaf := range s.nodes[2:] {
				s.pauseNode(leaf, 4*time.Second)
			}
		},
		"lost, others paused later": func(s *simulation, n *node) {
			s.loseNode(n)
			for i, other := range s.nodes {
				s.schedule(3*time.Second+time.Duration(i)*70*time.Millisecond, other, func(time.Duration) { s.pauseNode(other, 8*time.Second) })
			}
		},
		"paused over the lease": func(s *simulation, n *node) { s.pauseNode(n, 8*time.Second) },
	}
	for name, fault := range faults {
		for _, member := range []int{0, 1, 5, 17} {
			t.Run(fmt.Sprintf("%s, member %d", name, member), func(t *testing.T) {
				points := 0
				for point := 0; ; point++ {
					s := newSimulation(size, clockOrigin)
					seen := 0
					s.beforeEvent = func(s *simulation, _ *node) {
						if seen == point {
							fault(s, s.nodes[member])
						}
						seen++
					}
					s.open(func(i int) time.Duration { return time.Duration(i%3) * 50 * time.Millisecond })
					s.run(2200 * time.Millisecond)
					if seen <= point {
						break
					}
					points++
					for end := s.now; end < 16*time.Second && s.anyRunning(); end += time.Second {
						s.run(end)
					}
					assertNoOverrun(t, s)
				}
				is.New(t).True(points > 100)
			})
		}
	}
}

// loseLater loses a node after a delay. The event belongs to another node, since
// the events of a paused node wait for the end of the pause.
func (s *simulation) loseLater(n *node, delay time.Duration) {
	s.schedule(delay, s.nodes[(n.index+1)%len(s.nodes)], func(time.Duration) { s.loseNode(n) })
}

// TestGangUnderFaults checks that all members stop in time after one is lost, with
// gangs of 2 to 40 members, lost, late and duplicated messages, and up to four
// members that are lost or pause.
func TestGangUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 40).Draw(t, "size")
		s := newSimulation(size, clockOrigin)
		s.latency = func() []time.Duration {
			copies := rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 2}).Draw(t, "copies")
			delays := make([]time.Duration, copies)
			for i := range delays {
				longest := rapid.SampledFrom([]int{5, 5, 5, 50, 500, 9000}).Draw(t, "longest")
				delays[i] = time.Duration(rapid.IntRange(0, longest).Draw(t, "delay")) * time.Millisecond
			}
			return delays
		}
		s.open(func(int) time.Duration {
			return time.Duration(rapid.IntRange(0, 1500).Draw(t, "open")) * time.Millisecond
		})
		member := func() *node { return s.nodes[rapid.IntRange(0, size-1).Draw(t, "member")] }
		for range rapid.IntRange(0, 3).Draw(t, "done") {
			s.finishTask(member(), time.Duration(rapid.IntRange(0, 9000).Draw(t, "after"))*time.Millisecond)
		}
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			s.run(s.now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "run"))*time.Millisecond)
			if n := member(); rapid.Bool().Draw(t, "lose") {
				s.loseNode(n)
			} else {
				s.pauseNode(n, time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause"))*time.Millisecond)
			}
		}
		s.run(s.now + 20*time.Second)
		assertNoOverrun(t, s)
	})
}
