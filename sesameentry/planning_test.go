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

// alwaysLeader always plans.
type alwaysLeader struct{}

func (alwaysLeader) leads(string) bool {
	return true
}

// fakeAttempts notes which jobs it was told of.
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

// fakeContracts is one team's contract.
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

// fakeQueue holds messages until the test handles them.
type fakeQueue struct {
	messages []*message.Message
	// forwarded are for the entry that plans instead.
	forwarded []*message.Message
}

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

// planningFixture is one store with the planning duties of some entries on it.
type planningFixture struct {
	table     *sesamestandin.Store
	store     *sesamestore.Store
	clock     *clockwork.FakeClock
	planners  []*planning
	attempts  []*fakeAttempts
	submitted int
}

func newPlanningFixture(is *is.I, duties, workers int) *planningFixture {
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
	for range duties {
		w.addPlanner()
	}
	return w
}

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

// submit adds a job of that many accelerators.
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

// sendHint gives a duty one hint, as its ring would.
func (w *planningFixture) sendHint(is *is.I, duty int, h hint) {
	is.Helper()
	p := w.planners[duty]
	is.NoErr(sesamering.Send(p.queue, topicPlan, h))
	w.handleAll(is, p)
}

// handleAll handles what waits in the duty's queue.
func (w *planningFixture) handleAll(is *is.I, p *planning) {
	is.Helper()
	q := p.queue.(*fakeQueue)
	for len(q.messages) > 0 {
		m := q.messages[0]
		q.messages = q.messages[1:]
		is.NoErr(p.handle(m))
	}
}

// assertConsistent checks that no accelerator is held twice, and that the
// cells hold exactly what the active jobs were assigned.
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

func TestPlanning(t *testing.T) {
	t.Run("places a hinted job and has it driven", func(t *testing.T) {
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
	t.Run("goes on after an outage of the store", func(t *testing.T) {
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
	t.Run("takes nothing that another planner took meanwhile", func(t *testing.T) {
		is := is.New(t)
		w := newPlanningFixture(is, 2, 1)
		w.sendHint(is, 0, hint{
			Tick: true,
		})
		first := w.submit(is, 8)
		w.sendHint(is, 1, hint{
			Jobs: []sesamemodel.JobID{first},
		})
		// Another duty of the first entry reads the cell before its planner.
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
	t.Run("knows the jobs that another planner placed", func(t *testing.T) {
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
	t.Run("has the attempts on a lost target stopped", func(t *testing.T) {
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

// TestTwoPlanners proves that planners which act at once on old rows cost
// conflicts and never a wrong allocation.
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
				// Another duty of the entry reads the cell before the planner does.
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

// TestRestartedAgent shows which attempts survive a new start of the agent.
func TestRestartedAgent(t *testing.T) {
	for _, adopted := range []bool{true, false} {
		t.Run(fmt.Sprintf("the agent watches the attempt: %t", adopted), func(t *testing.T) {
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
