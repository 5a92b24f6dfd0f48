package sesamerunner_test

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	testZone = "zone"
	testNode = "node"
	testJob  = "5c0e7a21d94b36f8"
	targetID = "i-7f3a91c2"
	// testLife is the target's life.
	testLife = 1700000000000
	// maxLease is the longest lease that the target takes.
	maxLease = 6 * time.Second
	// callTime is how long a call to the target takes.
	callTime = time.Millisecond
	// maxListed is how many ends the target lists at a time.
	maxListed = 64
	// settleTime is longer than any exchange between agent, target and store
	// takes without faults.
	settleTime = 4 * time.Second
)

// world is an agent's runner with one target and a store in virtual time. The
// test plays the planner.
type world struct {
	is     *is.I
	ctx    context.Context
	clock  clockwork.Clock
	memory *sesamerows.Memory
	// store is the store as the agent calls it.
	store  *sesamestandin.FaultyRows
	picky  *pickyRows
	fleet  *sesamestandin.Fleet
	target *watchedTarget
	runner *sesamerunner.Runner
	// stop ends the runner, which runs in the group.
	stop  context.CancelFunc
	group *errgroup.Group
	// durations is how long each task takes, by its index.
	durations []time.Duration
}

// newWorld starts a runner whose target has reported itself. The tasks of the
// job take the durations.
func newWorld(t *testing.T, durations ...time.Duration) *world {
	clock := clockwork.NewRealClock()
	w := &world{
		// Assertions also run in calls of the runner, which they must not end.
		is:        is.NewRelaxed(t),
		ctx:       t.Context(),
		clock:     clock,
		memory:    sesamerows.NewMemory(sesameclock.Wrap(clock)),
		durations: durations,
	}
	w.picky = &pickyRows{
		Store: w.memory,
	}
	w.store = sesamestandin.NewFaultyRows(w.picky, clock)
	w.fleet = sesamestandin.NewFleet(sesamestandin.FleetOptions{
		Clock:    clock,
		Lookup:   w.lookup,
		StopTime: 100 * time.Millisecond,
		MaxLease: maxLease,

		MaxListed: maxListed,
	})
	w.target = &watchedTarget{
		LeasedTarget: w.fleet.Add(targetID, testLife, sesamework.Resources{}),
		w:            w,
		listed:       map[int64]sesamerunner.EndedRun{},
	}
	w.put(sesamework.SpecKey(testJob), []byte("text"))
	w.start()
	t.Cleanup(func() {
		w.stop()
		w.is.NoErr(w.group.Wait())
	})
	return w
}

// start starts the runner, as a new process on the node does, and passes it a
// report of the target.
func (w *world) start() {
	w.startWith(sesamerunner.Report{})
}

// startWith does what start does with the report, which gets the target's
// identity.
func (w *world) startWith(r sesamerunner.Report) {
	w.launch()
	r.ID = targetID
	r.Life = testLife
	w.runner.Report(r)
	w.sleep(settleTime)
}

// report passes a report of the target to the runner.
func (w *world) report() {
	w.runner.Report(sesamerunner.Report{
		ID:   targetID,
		Life: testLife,
	})
}

// launch starts the runner without a report.
func (w *world) launch() {
	w.runner = sesamerunner.New(sesamerunner.Options{
		Node:  testNode,
		Zone:  testZone,
		Store: w.store,
		Dial: func(string, string, int64) sesamerunner.Executor {
			return w.target
		},
		Clock:    sesameclock.Wrap(w.clock),
		Log:      testLog(),
		Scope:    tally.NoopScope,
		MaxLease: maxLease,

		TargetReportInterval: time.Hour,
	})
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.group = &errgroup.Group{}
	w.group.Go(func() error {
		return w.runner.Run(ctx)
	})
}

// lookup tells the fleet how a task behaves.
func (w *world) lookup(task sesamework.TaskID) (sesamestandin.FleetTask, bool) {
	return sesamestandin.FleetTask{
		Duration:      w.durations[task.Index],
		Specification: "text",
	}, true
}

// sleep waits in virtual time.
func (w *world) sleep(d time.Duration) {
	<-w.clock.After(d)
}

// task returns the ID of the task with the index.
func task(index int) sesamework.TaskID {
	return sesamework.TaskID{
		Job:   testJob,
		Index: index,
	}
}

// targetKey is the key of the target's row.
func targetKey() sesamerows.Key {
	return sesamework.TargetKey(testZone, testNode, targetID)
}

// put writes a row without conditions.
func (w *world) put(key sesamerows.Key, value []byte) {
	_, err := w.memory.Commit(w.ctx, sesamerows.Transaction{
		Writes: []sesamerows.Write{{
			Key:   key,
			Value: value,
		}},
	})
	w.is.NoErr(err)
}

// order writes the first run of each of the tasks, as the planner does.
func (w *world) order(indexes ...int) {
	for _, i := range indexes {
		value, err := json.Marshal(sesamework.Run{
			Number: 1,
			Members: []sesamework.Member{{
				Index:  i,
				Target: targetKey().Name,
				Zone:   testZone,
				Life:   testLife,
			}},
		})
		w.is.NoErr(err)
		w.put(sesamework.RunKey(sesamework.UnitID(task(i)), testZone), value)
	}
}

// outcome returns the recorded outcome of the first run of a task, "" if none
// is.
func (w *world) outcome(name string) sesamework.Outcome {
	id, err := sesamework.ParseTask(name)
	w.is.NoErr(err)
	row, _, err := sesamerows.ReadRow(context.Background(), w.memory, sesamework.EndKey(targetKey(), id, 1))
	w.is.NoErr(err)
	var e sesamework.End
	if row.Version > 0 {
		w.is.NoErr(json.Unmarshal(row.Value, &e))
	}
	return e.Outcome
}

// assertOutcomes checks the recorded outcomes of the tasks, by index.
func (w *world) assertOutcomes(expected ...sesamework.Outcome) {
	w.is.Helper()
	for i, outcome := range expected {
		w.is.Equal(w.outcome(task(i).String()), outcome)
	}
}

// refuseWrites lets the store refuse all writes of the agent.
func (w *world) refuseWrites() {
	w.store.SetFault(func(write bool) sesamestandin.RowFault {
		return sesamestandin.RowFault{
			Refused: write,
		}
	})
}

// slowWrites lets each write of the agent take half a second.
func (w *world) slowWrites() {
	w.store.SetFault(func(write bool) sesamestandin.RowFault {
		if !write {
			return sesamestandin.RowFault{}
		}
		return sesamestandin.RowFault{
			AnswerDelay: 500 * time.Millisecond,
		}
	})
}

// watchedTarget passes an agent's calls on to a target, and checks that each end
// which the agent acknowledges is recorded as the target listed it.
type watchedTarget struct {
	*sesamestandin.LeasedTarget
	w *world

	mu sync.Mutex
	// refuse returns the error with which a start is answered, nil to pass the
	// start on.
	refuse func(sesamerunner.Order) error
	// listed are the ends that the target has listed, by number.
	listed map[int64]sesamerunner.EndedRun
	// checkpoint is listed in place of the real ones, unless it is empty.
	checkpoint string
}

// setRefuse sets the function that answers starts in place of the target.
func (t *watchedTarget) setRefuse(refuse func(sesamerunner.Order) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse = refuse
}

// Start implements sesamerunner.Executor.
func (t *watchedTarget) Start(ctx context.Context, o sesamerunner.Order) (time.Duration, error) {
	t.mu.Lock()
	refuse := t.refuse
	t.mu.Unlock()
	if refuse != nil {
		if err := refuse(o); err != nil {
			return 0, err
		}
	}
	return t.LeasedTarget.Start(ctx, o)
}

// RenewLease implements sesamerunner.Executor.
func (t *watchedTarget) RenewLease(ctx context.Context, r sesamerunner.LeaseRenewal) (sesamerunner.Listing, error) {
	t.mu.Lock()
	for number, e := range t.listed {
		if number <= r.LastRecorded {
			t.w.is.Equal(t.w.outcome(e.Task), e.Outcome)
		}
	}
	t.mu.Unlock()
	t.w.sleep(callTime)
	l, err := t.LeasedTarget.RenewLease(ctx, r)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range l.Ended {
		t.listed[e.Number] = e
	}
	return t.withCheckpoint(l), err
}

// testLog returns a log that is written when SESAMESTACK_TEST_LOG is set.
func testLog() *sesamelog.Logger {
	if os.Getenv("SESAMESTACK_TEST_LOG") == "" {
		return sesamelog.Discard()
	}
	return sesamelog.New(os.Stderr, sesamelog.Info, sesamelog.Text)
}
