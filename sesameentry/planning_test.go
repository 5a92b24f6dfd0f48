package sesameentry

import (
	"context"
	"fmt"
	"testing"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesameattempt"
	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamestore"
)

const (
	testRegion = "north"
	testCellID = sesamemodel.CellID("north/a")
)

// alwaysLeader is the leadership of an entry that is the leader.
type alwaysLeader struct{}

func (alwaysLeader) leads(string) bool {
	return true
}

// fakeAttempts records the jobs that were to be driven or requeued.
type fakeAttempts struct {
	driven   map[sesamemodel.JobID]bool
	requeued map[sesamemodel.JobID]bool
}

func (a *fakeAttempts) Drive(id sesamemodel.JobID) {
	a.driven[id] = true
}

func (a *fakeAttempts) Requeue(id sesamemodel.JobID, _ uint32, _ string) {
	a.requeued[id] = true
}

// fakeContracts has a fixed set with one team's contract.
type fakeContracts struct{}

func (fakeContracts) Set() (*sesamecontract.Set, error) {
	return sesamecontract.NewSet(1, []sesamemodel.Contract{
		{
			Team:   "crews",
			Weight: 1,
			Classes: []sesamemodel.Class{
				{
					Name:    "estimate",
					Urgency: sesamemodel.Normal,
				},
			},
			Limits: sesamemodel.Limits{
				OpenJobs: 1000,
				Borrow:   1000,
			},
		},
	}), nil
}

func (fakeContracts) Poll(context.Context) error {
	return nil
}

// fakeQueue holds the planning duty's hints until the test handles them.
type fakeQueue struct {
	messages []*message.Message
	// forwarded are the hints for another entry that plans instead.
	forwarded []*message.Message
}

// Publish keeps hints for other entries apart from those for this planner.
func (q *fakeQueue) Publish(topic string, messages ...*message.Message) error {
	if topic == topicNotice {
		q.forwarded = append(q.forwarded, messages...)
		return nil
	}
	q.messages = append(q.messages, messages...)
	return nil
}

func (q *fakeQueue) Len(string) int {
	return len(q.messages)
}

func (q *fakeQueue) Close() error {
	return nil
}

// planningFixture has one store and, on it, the planning duties of several
// entries. Each of them takes itself for the leader.
type planningFixture struct {
	table    *sesamestandin.Store
	store    *sesamestore.Store
	clock    *clockwork.FakeClock
	planners []*planning
	// attempts are the fakes of the planners, in the same order.
	attempts []*fakeAttempts
	// submitted is the number of jobs submitted so far.
	submitted int
}

// newPlanningFixture returns a store with one cell of that many workers, which
// have 8 accelerators each, and that many planning duties.
func newPlanningFixture(is *is.I, planners, workers int) *planningFixture {
	clock := clockwork.NewFakeClock()
	table := sesamestandin.NewStore(clock)
	w := &planningFixture{
		table: table,
		store: sesamestore.New(table, table),
		clock: clock,
	}
	cell := sesamemodel.Cell{
		ID:     testCellID,
		Region: testRegion,
		Zone:   "a",
	}
	for i := range workers {
		cell = cell.WithTarget(sesamemodel.Target{
			ID:          sesamemodel.TargetID(fmt.Sprintf("w%d", i)),
			Kind:        sesamemodel.Worker,
			Zone:        "a",
			Rack:        fmt.Sprintf("r%d", i/3),
			Address:     fmt.Sprintf("w%d:1", i),
			Incarnation: "i1",
			Health:      sesamemodel.Ready,
			Capacity: sesamemodel.Resources{
				Cores:        64,
				Memory:       1 << 16,
				Accelerators: 8,
			},
		})
	}
	is.NoErr(w.store.Update(context.Background(), sesamestore.Batch{
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{
			{
				Value: cell,
			},
		},
	}))
	for range planners {
		w.addPlanner()
	}
	return w
}

// addPlanner adds the planning duty of one more entry.
func (w *planningFixture) addPlanner() {
	a := &fakeAttempts{
		driven:   map[sesamemodel.JobID]bool{},
		requeued: map[sesamemodel.JobID]bool{},
	}
	w.attempts = append(w.attempts, a)
	w.planners = append(w.planners, &planning{
		region:    testRegion,
		store:     w.store,
		rows:      sesameattempt.NewRowCache(w.store, w.clock, sesameplanner.UpdateSuspectFailures),
		contracts: fakeContracts{},
		attempts:  a,
		leader:    alwaysLeader{},
		queue:     &fakeQueue{},
		clock:     w.clock,
		log:       sesamelog.Discard(),
		scope:     tally.NoopScope,
	})
}

// submit writes a queued job of one task with that many accelerators, and
// sends no hint of it.
func (w *planningFixture) submit(is *is.I, accelerators int) sesamemodel.JobID {
	is.Helper()
	w.submitted++
	job := sesamemodel.Job{
		ID:     sesamemodel.JobID(fmt.Sprintf("%s.j%d", testRegion, w.submitted)),
		Region: testRegion,
		Spec: sesamemodel.Spec{
			Team:  "crews",
			Class: "estimate",
			Kind:  sesamemodel.Worker,
			Tasks: 1,
			Task: sesamemodel.Resources{
				Accelerators: accelerators,
			},
		},
		Urgency:   sesamemodel.Normal,
		State:     sesamemodel.Queued,
		Submitted: w.clock.Now(),
	}
	is.NoErr(w.store.Submit(context.Background(), job))
	return job.ID
}

// sendHint queues one hint for a planner and handles all that wait there.
func (w *planningFixture) sendHint(is *is.I, planner int, h hint) {
	is.Helper()
	p := w.planners[planner]
	is.NoErr(sesamering.Send(p.queue, topicPlan, h))
	w.handleAll(is, p)
}

// handleAll handles all hints in the planner's queue, also those that it sends
// to itself meanwhile.
func (w *planningFixture) handleAll(is *is.I, p *planning) {
	is.Helper()
	q := p.queue.(*fakeQueue)
	for len(q.messages) > 0 {
		m := q.messages[0]
		q.messages = q.messages[1:]
		is.NoErr(p.handle(m))
	}
}

// assertConsistent checks that no accelerator is allocated twice, and that the
// cell's allocations match the assignments of the active jobs.
func (w *planningFixture) assertConsistent(is *is.I) {
	is.Helper()
	cell, err := w.store.Cell(context.Background(), testCellID)
	is.NoErr(err)
	used := map[sesamemodel.TargetID]uint64{}
	held := map[sesamemodel.JobID]uint64{}
	for _, a := range cell.Value.Allocations {
		is.Equal(used[a.Target]&a.AcceleratorMask, uint64(0)) // held twice
		used[a.Target] |= a.AcceleratorMask
		held[a.Job] = a.AcceleratorMask
	}
	jobs, err := w.store.OpenJobs(context.Background(), testRegion)
	is.NoErr(err)
	for _, job := range jobs {
		if !job.Value.State.Active() {
			is.Equal(held[job.Value.ID], uint64(0)) // held without an attempt
			continue
		}
		is.Equal(held[job.Value.ID], job.Value.Assignments[0].AcceleratorMask)
	}
}

// countStates returns the number of open jobs in each state.
func (w *planningFixture) countStates(is *is.I) map[sesamemodel.State]int {
	is.Helper()
	jobs, err := w.store.OpenJobs(context.Background(), testRegion)
	is.NoErr(err)
	counts := map[sesamemodel.State]int{}
	for _, job := range jobs {
		counts[job.Value.State]++
	}
	return counts
}

// TestPlanning covers the planning duty on one store: hints, lost hints,
// outages, conflicts with another planner, and lost targets.
func TestPlanning(t *testing.T) {
	t.Run("places a job after a hint and drives its attempt", func(t *testing.T) {
		is := is.New(t)
		w := newPlanningFixture(is, 1, 3)
		id := w.submit(is, 8)
		w.sendHint(is, 0, hint{
			Jobs:  []sesamemodel.JobID{id},
			Stale: true,
		})
		is.Equal(w.countStates(is)[sesamemodel.Placed], 1)
		is.True(w.attempts[0].driven[id])
	})
	t.Run("finds a job whose hint was lost", func(t *testing.T) {
		is := is.New(t)
		w := newPlanningFixture(is, 1, 3)
		w.sendHint(is, 0, hint{
			Tick: true,
		})
		w.submit(is, 8)
		w.clock.Advance(reconcileInterval)
		w.sendHint(is, 0, hint{
			Tick: true,
		})
		is.Equal(w.countStates(is)[sesamemodel.Placed], 1)
	})
	t.Run("continues after an outage of the store", func(t *testing.T) {
		is := is.New(t)
		w := newPlanningFixture(is, 1, 3)
		id := w.submit(is, 8)
		w.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		w.sendHint(is, 0, hint{
			Jobs:  []sesamemodel.JobID{id},
			Stale: true,
		})
		w.table.SetFaults(sesamestandin.Faults{})
		is.Equal(w.countStates(is)[sesamemodel.Queued], 1)
		w.sendHint(is, 0, hint{
			Tick: true,
		})
		is.Equal(w.countStates(is)[sesamemodel.Placed], 1)
	})
	t.Run("does not allocate what another planner allocated meanwhile", func(t *testing.T) {
		is := is.New(t)
		w := newPlanningFixture(is, 2, 1)
		w.sendHint(is, 0, hint{
			Tick: true,
		})
		first := w.submit(is, 8)
		w.sendHint(is, 1, hint{
			Jobs: []sesamemodel.JobID{first},
		})
		// Another duty of the first entry reads the cell into the row cache
		// before the planner does, so the cache is newer than the planner.
		w.planners[0].rows.InvalidateCell(testCellID)
		_, err := w.planners[0].rows.Cell(context.Background(), testCellID)
		is.NoErr(err)
		second := w.submit(is, 8)
		w.sendHint(is, 0, hint{
			Jobs: []sesamemodel.JobID{second},
		})
		w.assertConsistent(is)
		is.Equal(w.countStates(is)[sesamemodel.Queued], 1)
	})
	t.Run("loads the jobs that another planner placed", func(t *testing.T) {
		is := is.New(t)
		w := newPlanningFixture(is, 2, 1)
		w.sendHint(is, 1, hint{
			Tick: true,
		})
		id := w.submit(is, 8)
		w.sendHint(is, 0, hint{
			Jobs: []sesamemodel.JobID{id},
		})
		w.sendHint(is, 1, hint{
			Cells: []sesamemodel.CellID{testCellID},
			Stale: true,
		})
		_, known := w.planners[1].jobVersions[id]
		is.True(known)
	})
	t.Run("requeues the attempts on a lost target", func(t *testing.T) {
		is := is.New(t)
		w := newPlanningFixture(is, 1, 1)
		id := w.submit(is, 8)
		w.sendHint(is, 0, hint{
			Jobs: []sesamemodel.JobID{id},
		})
		cell, err := w.store.Cell(context.Background(), testCellID)
		is.NoErr(err)
		lost := cell.Value.Targets[0]
		lost.Health = sesamemodel.Lost
		is.NoErr(w.store.Update(context.Background(), sesamestore.Batch{
			Cells: []sesamestore.Versioned[sesamemodel.Cell]{cell.With(cell.Value.WithTarget(lost))},
		}))
		w.sendHint(is, 0, hint{
			Cells: []sesamemodel.CellID{testCellID},
			Stale: true,
		})
		is.True(w.attempts[0].requeued[id])
	})
}

// TestTwoPlanners runs two planners at once on stale rows, in random steps.
// This may cost conflicts, but must never lead to a wrong allocation.
func TestTwoPlanners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := newPlanningFixture(is, 2, 3)
		var submitted []sesamemodel.JobID
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				submitted = append(submitted, w.submit(is, rapid.IntRange(1, 8).Draw(t, "accelerators")))
			},
			"hint": func(t *rapid.T) {
				h := hint{
					Stale: rapid.Bool().Draw(t, "stale"),
					Tick:  true,
				}
				if len(submitted) > 0 {
					h.Jobs = []sesamemodel.JobID{rapid.SampledFrom(submitted).Draw(t, "job")}
				}
				w.sendHint(is, rapid.IntRange(0, 1).Draw(t, "planner"), h)
			},
			"read elsewhere": func(t *rapid.T) {
				// Another duty of the entry reads the cell into the row cache
				// before the planner does.
				rows := w.planners[rapid.IntRange(0, 1).Draw(t, "planner")].rows
				rows.InvalidateCell(testCellID)
				_, err := rows.Cell(context.Background(), testCellID)
				is.NoErr(err)
			},
			"wait": func(*rapid.T) {
				w.clock.Advance(reconcileInterval)
			},
			"": func(*rapid.T) {
				w.assertConsistent(is)
			},
		})
	})
}

// TestRestartedAgent checks that an attempt survives a restart of its agent
// only if the agent adopted it, that is, watches its tasks again.
func TestRestartedAgent(t *testing.T) {
	for _, adopted := range []bool{true, false} {
		t.Run(fmt.Sprintf("the agent adopted the attempt: %t", adopted), func(t *testing.T) {
			is := is.New(t)
			w := newPlanningFixture(is, 1, 1)
			id := w.submit(is, 8)
			w.sendHint(is, 0, hint{
				Jobs: []sesamemodel.JobID{id},
			})
			cell, err := w.store.Cell(context.Background(), testCellID)
			is.NoErr(err)
			restarted := cell.Value.Targets[0]
			restarted.Incarnation = "i2"
			if adopted {
				restarted.Adopted = []sesamemodel.AttemptRef{
					{
						Job:     id,
						Attempt: 1,
					},
				}
			}
			is.NoErr(w.store.Update(context.Background(), sesamestore.Batch{
				Cells: []sesamestore.Versioned[sesamemodel.Cell]{cell.With(cell.Value.WithTarget(restarted))},
			}))
			w.sendHint(is, 0, hint{
				Cells: []sesamemodel.CellID{testCellID},
				Stale: true,
			})
			is.Equal(w.attempts[0].requeued[id], !adopted)
		})
	}
}
