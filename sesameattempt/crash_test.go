package sesameattempt

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// errCrash is returned by the operation at which a process crashes and by all
// after it.
var errCrash = errors.New("process crashed")

// crashInjector counts the operations of a process (reads and commits of rows,
// calls to agents) and simulates a crash at one of them: before the operation
// takes effect, or after it with the answer lost.
type crashInjector struct {
	mu    sync.Mutex
	count int
	// crashAt is the number of the operation that crashes, from 1; 0 means that
	// none does.
	crashAt     int
	afterEffect bool
	cancel      context.CancelFunc
	crashed     bool
}

// do runs the operation, unless the process has crashed or crashes now.
func (c *crashInjector) do(operation func() error) error {
	c.mu.Lock()
	if c.crashed {
		c.mu.Unlock()
		return errCrash
	}
	c.count++
	crash := c.count == c.crashAt
	c.crashed = crash
	c.mu.Unlock()
	if !crash {
		return operation()
	}
	if c.afterEffect {
		_ = operation() // the answer is lost
	}
	c.cancel()
	return errCrash
}

// crashingTable passes each Get and Commit through the injector.
type crashingTable struct {
	sesametable.Table
	injector *crashInjector
}

// Get counts as one operation of the process.
func (t crashingTable) Get(ctx context.Context, key string) (row sesametable.Row, err error) {
	err = t.injector.do(func() error {
		row, err = t.Table.Get(ctx, key)
		return err
	})
	return row, err
}

// Commit counts as one operation of the process.
func (t crashingTable) Commit(ctx context.Context, x sesametable.Transaction) error {
	return t.injector.do(func() error {
		return t.Table.Commit(ctx, x)
	})
}

// crashingAgent passes each call through the injector.
type crashingAgent struct {
	*fakeAgent
	injector *crashInjector
}

// Prepare counts as one operation of the process.
func (a crashingAgent) Prepare(ctx context.Context, in *sesamewire.PrepareRequest) (out *sesamewire.PrepareReply, err error) {
	err = a.injector.do(func() error {
		out, err = a.fakeAgent.Prepare(ctx, in)
		return err
	})
	return out, err
}

// Open counts as one operation of the process.
func (a crashingAgent) Open(ctx context.Context, in *sesamewire.OpenRequest) (out *sesamewire.OpenReply, err error) {
	err = a.injector.do(func() error {
		out, err = a.fakeAgent.Open(ctx, in)
		return err
	})
	return out, err
}

// Stop counts as one operation of the process.
func (a crashingAgent) Stop(ctx context.Context, in *sesamewire.StopRequest) (out *sesamewire.StopReply, err error) {
	err = a.injector.do(func() error {
		out, err = a.fakeAgent.Stop(ctx, in)
		return err
	})
	return out, err
}

// fixture is the platform's table with a job of two tasks, which must run at
// most once, placed on two agents.
type fixture struct {
	table  *sesamestandin.Store
	clock  *clockwork.FakeClock
	agents map[string]*fakeAgent
	id     sesamemodel.JobID
}

// fixtureCell is the cell of the fixture's targets.
const fixtureCell = sesamemodel.CellID("north/a")

// newFixture returns a fixture whose job is placed at attempt 1 and not
// prepared.
func newFixture(is *is.I) *fixture {
	clock := clockwork.NewFakeClock()
	f := &fixture{
		table:  sesamestandin.NewStore(clock),
		clock:  clock,
		agents: map[string]*fakeAgent{},
		id:     "north.j1",
	}
	cell := sesamemodel.Cell{
		ID: fixtureCell,
	}
	job := sesamemodel.Job{
		ID: f.id,
		Spec: sesamemodel.Spec{
			Tasks:      2,
			AtMostOnce: true,
		},
		State: sesamemodel.Queued,
	}
	var assignments []sesamemodel.Assignment
	for i := range 2 {
		id := sesamemodel.TargetID(fmt.Sprintf("w%d", i))
		f.agents[string(id)] = newFakeAgent()
		cell = cell.WithTarget(sesamemodel.Target{
			ID:          id,
			Address:     string(id),
			Incarnation: "i1",
			Health:      sesamemodel.Ready,
		}).WithAllocations(sesamemodel.Allocation{
			Job:     f.id,
			Attempt: 1,
			Target:  id,
		})
		assignments = append(assignments, sesamemodel.Assignment{
			Target:      id,
			Cell:        fixtureCell,
			Address:     string(id),
			Incarnation: "i1",
			FirstRank:   i,
			Tasks:       1,
		})
	}
	store := sesamestore.New(f.table, f.table)
	is.NoErr(store.Submit(context.Background(), job.WithPlacement(clock.Now(), assignments, false)))
	is.NoErr(store.Update(context.Background(), sesamestore.Batch{
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{
			{
				Value: cell,
			},
		},
	}))
	return f
}

// job reads the job's row.
func (f *fixture) job(is *is.I) sesamemodel.Job {
	is.Helper()
	job, err := sesamestore.New(f.table, f.table).Job(context.Background(), f.id)
	is.NoErr(err)
	return job.Value
}

// crashingDialer returns the fixture's agents behind the injector.
type crashingDialer struct {
	fixture  *fixture
	injector *crashInjector
}

// Agent returns the fixture's agent at the address, behind the injector.
func (d crashingDialer) Agent(address string) sesamewire.DRPCAgentClient {
	return crashingAgent{
		fakeAgent: d.fixture.agents[address],
		injector:  d.injector,
	}
}

// runCoordinator runs a process that drives the job and, once every member has
// opened, records their results. The process crashes at operation crashAt; 0
// means that it does not. It returns the number of operations made.
func (f *fixture) runCoordinator(crashAt int, afterEffect bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := &crashInjector{
		crashAt:     crashAt,
		afterEffect: afterEffect,
		cancel:      cancel,
	}
	table := crashingTable{
		Table:    f.table,
		injector: c,
	}
	o := Options{
		Rows: NewRowCache(sesamestore.New(table, f.table), f.clock, sesameplanner.UpdateSuspectFailures),
		Dialer: crashingDialer{
			fixture:  f,
			injector: c,
		},
		Clock:    f.clock,
		Log:      sesamelog.Discard(),
		Scope:    tally.NoopScope,
		OnChange: func(...sesamemodel.Job) {},
	}
	var group errgroup.Group
	driver := NewDriver(o)
	driver.Begin(ctx, &group)
	driver.Drive(f.id)
	_ = group.Wait() // drives return no errors
	f.reportDone(ctx, o)
	return c.count
}

// reportDone sends the report that all members are done, unless one has not
// started or was stopped.
func (f *fixture) reportDone(ctx context.Context, o Options) {
	req := &sesamewire.FinishRequest{
		Id: &sesamewire.AttemptID{
			Job:     string(f.id),
			Attempt: 1,
		},
	}
	for i := range f.agents {
		a := f.agents[i]
		if a.starts == 0 || a.tombstones[1] {
			return
		}
		req.Reports = append(req.Reports, &sesamewire.MemberReport{
			Member:   int32(len(req.Reports)),
			Progress: sesamewire.Progress_PROGRESS_DONE,
		})
	}
	_, _ = NewFinisher(o).Finish(ctx, req) // after a crash the next process reports
}

// stopAttempt stops the attempt while its tasks run, as a caller's cancellation
// or the loss of a target may do at any time.
func (f *fixture) stopAttempt(is *is.I, next sesamemodel.State) {
	is.Helper()
	for _, a := range f.agents {
		a.interrupted = true
	}
	rows := NewRowCache(sesamestore.New(f.table, f.table), f.clock, sesameplanner.UpdateSuspectFailures)
	_, err := rows.UpdateJob(context.Background(), f.id, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		return j.WithStop(f.clock.Now(), next, "stopped"), j.State.Active()
	})
	is.NoErr(err)
}

// assertAtMostOnce checks that each member started at most once, that a job
// which counts as not run never started, that the attempt has ended, and that
// its resources are free. where says which crash came before.
func assertAtMostOnce(is *is.I, f *fixture, where string) {
	is.Helper()
	job := f.job(is)
	starts := 0
	for _, a := range f.agents {
		is.True(a.starts <= 1) // each member starts at most once
		starts += a.starts
	}
	if job.NeverRan() || job.State == sesamemodel.Queued {
		is.Equal(starts, 0) // counts as not run, or is to run again
	}
	if !job.State.Ended() && job.State != sesamemodel.Queued {
		is.Equal(where, "the attempt did not end")
	}
	cell, err := sesamestore.New(f.table, f.table).Cell(context.Background(), fixtureCell)
	is.NoErr(err)
	is.Equal(len(cell.Value.Allocations), 0) // all resources are free
}

// TestCrashPoints crashes the coordinating process at every one of its
// operations, before and after it takes effect, and has another process
// continue.
func TestCrashPoints(t *testing.T) {
	operations := newFixture(is.New(t)).runCoordinator(0, false)
	for _, afterEffect := range []bool{false, true} {
		for crashAt := 1; crashAt <= operations; crashAt++ {
			t.Run(fmt.Sprintf("operation %d, answer lost %t", crashAt, afterEffect), func(t *testing.T) {
				is := is.New(t)
				f := newFixture(is)
				f.runCoordinator(crashAt, afterEffect)
				f.runCoordinator(0, false)
				assertAtMostOnce(is, f, t.Name())
			})
		}
	}
	for _, next := range []sesamemodel.State{sesamemodel.Cancelled, sesamemodel.Queued} {
		t.Run(fmt.Sprintf("stopped after the crash, then %s", next), func(t *testing.T) {
			is := is.New(t)
			is.True(operations >= 8) // prepare, open and two conditional writes at least
			for crashAt := 1; crashAt <= operations; crashAt++ {
				for _, afterEffect := range []bool{false, true} {
					f := newFixture(is)
					f.runCoordinator(crashAt, afterEffect)
					f.stopAttempt(is, next)
					f.runCoordinator(0, false)
					assertAtMostOnce(is, f, fmt.Sprintf("stopped after a crash at %d", crashAt))
				}
			}
		})
	}
	t.Run("two crashes in a row", func(t *testing.T) {
		is := is.New(t)
		for first := 1; first <= operations; first++ {
			for second := 1; second <= operations; second++ {
				f := newFixture(is)
				f.runCoordinator(first, first%2 == 0)
				f.runCoordinator(second, second%2 == 1)
				f.runCoordinator(0, false)
				assertAtMostOnce(is, f, fmt.Sprintf("crashes at %d and %d", first, second))
			}
		}
	})
}
