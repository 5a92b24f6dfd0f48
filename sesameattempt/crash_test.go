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

// errCrash ends the process under test at a crash point.
var errCrash = errors.New("process crashed")

// crasher counts the operations of a process, and crashes it at one of them:
// before the operation takes effect, or after, with its answer lost.
type crasher struct {
	mu     sync.Mutex
	count  int
	at     int
	after  bool
	cancel context.CancelFunc
	dead   bool
}

func (c *crasher) do(operation func() error) error {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return errCrash
	}
	c.count++
	crash := c.count == c.at
	c.dead = crash
	c.mu.Unlock()
	if !crash {
		return operation()
	}
	if c.after {
		_ = operation() // its answer is lost
	}
	c.cancel()
	return errCrash
}

// crashingTable passes each call through the crasher.
type crashingTable struct {
	sesametable.Table
	crasher *crasher
}

func (t crashingTable) Get(ctx context.Context, key string) (row sesametable.Row, err error) {
	err = t.crasher.do(func() error {
		row, err = t.Table.Get(ctx, key)
		return err
	})
	return row, err
}

func (t crashingTable) Commit(ctx context.Context, x sesametable.Transaction) error {
	return t.crasher.do(func() error {
		return t.Table.Commit(ctx, x)
	})
}

// fakeAgent keeps the promises of an agent, and counts starts.
type fakeAgent struct {
	sesamewire.DRPCAgentClient
	mu         sync.Mutex
	prepared   map[uint32]bool
	opened     map[uint32]bool
	tombstones map[uint32]bool
	starts     int
	// unfinished tasks are stopped before their end.
	unfinished bool
}

func newFakeAgent() *fakeAgent {
	return &fakeAgent{
		prepared:   map[uint32]bool{},
		opened:     map[uint32]bool{},
		tombstones: map[uint32]bool{},
	}
}

func (a *fakeAgent) Prepare(_ context.Context, in *sesamewire.PrepareRequest) (*sesamewire.PrepareReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tombstones[in.GetId().GetAttempt()] {
		return &sesamewire.PrepareReply{
			Refusal: sesamewire.Refusal_REFUSAL_TOMBSTONE,
		}, nil
	}
	a.prepared[in.GetId().GetAttempt()] = true
	return &sesamewire.PrepareReply{}, nil
}

func (a *fakeAgent) Open(_ context.Context, in *sesamewire.OpenRequest) (*sesamewire.OpenReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt := in.GetId().GetAttempt()
	if a.tombstones[attempt] || !a.prepared[attempt] {
		return &sesamewire.OpenReply{
			Refusal: sesamewire.Refusal_REFUSAL_UNPREPARED,
		}, nil
	}
	if !a.opened[attempt] {
		a.opened[attempt] = true
		a.starts++
	}
	return &sesamewire.OpenReply{}, nil
}

func (a *fakeAgent) Stop(_ context.Context, in *sesamewire.StopRequest) (*sesamewire.StopReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt := in.GetId().GetAttempt()
	a.tombstones[attempt] = true
	progress := sesamewire.Progress_PROGRESS_NEVER
	if a.opened[attempt] {
		progress = sesamewire.Progress_PROGRESS_DONE
	}
	if a.opened[attempt] && a.unfinished {
		progress = sesamewire.Progress_PROGRESS_STOPPED
	}
	return &sesamewire.StopReply{
		Progress: progress,
	}, nil
}

// crashingAgent passes each call through the crasher.
type crashingAgent struct {
	*fakeAgent
	crasher *crasher
}

func (a crashingAgent) Prepare(ctx context.Context, in *sesamewire.PrepareRequest) (out *sesamewire.PrepareReply, err error) {
	err = a.crasher.do(func() error {
		out, err = a.fakeAgent.Prepare(ctx, in)
		return err
	})
	return out, err
}

func (a crashingAgent) Open(ctx context.Context, in *sesamewire.OpenRequest) (out *sesamewire.OpenReply, err error) {
	err = a.crasher.do(func() error {
		out, err = a.fakeAgent.Open(ctx, in)
		return err
	})
	return out, err
}

func (a crashingAgent) Stop(ctx context.Context, in *sesamewire.StopRequest) (out *sesamewire.StopReply, err error) {
	err = a.crasher.do(func() error {
		out, err = a.fakeAgent.Stop(ctx, in)
		return err
	})
	return out, err
}

// world is a placed once job on two agents, and the platform's table.
type world struct {
	table  *sesamestandin.Store
	clock  *clockwork.FakeClock
	agents map[string]*fakeAgent
	id     sesamemodel.JobID
}

const worldCell = sesamemodel.CellID("north/a")

func newWorld(is *is.I) *world {
	clock := clockwork.NewFakeClock()
	w := &world{
		table:  sesamestandin.NewStore(clock),
		clock:  clock,
		agents: map[string]*fakeAgent{},
		id:     "north.j1",
	}
	cell := sesamemodel.Cell{
		ID: worldCell,
	}
	job := sesamemodel.Job{
		ID: w.id,
		Spec: sesamemodel.Spec{
			Tasks:      2,
			AtMostOnce: true,
		},
		State: sesamemodel.Queued,
	}
	var assignments []sesamemodel.Assignment
	for i := range 2 {
		id := sesamemodel.TargetID(fmt.Sprintf("w%d", i))
		w.agents[string(id)] = newFakeAgent()
		cell = cell.WithTarget(sesamemodel.Target{
			ID:          id,
			Address:     string(id),
			Incarnation: "i1",
			Health:      sesamemodel.Ready,
		}).WithAllocations(sesamemodel.Allocation{
			Job:     w.id,
			Attempt: 1,
			Target:  id,
		})
		assignments = append(assignments, sesamemodel.Assignment{
			Target:      id,
			Cell:        worldCell,
			Address:     string(id),
			Incarnation: "i1",
			FirstRank:   i,
			Tasks:       1,
		})
	}
	store := sesamestore.New(w.table, w.table)
	is.NoErr(store.Submit(context.Background(), job.WithPlacement(clock.Now(), assignments, false)))
	is.NoErr(store.Update(context.Background(), sesamestore.Batch{
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{
			{
				Value: cell,
			},
		},
	}))
	return w
}

func (w *world) job(is *is.I) sesamemodel.Job {
	is.Helper()
	job, err := sesamestore.New(w.table, w.table).Job(context.Background(), w.id)
	is.NoErr(err)
	return job.Value
}

type crashingDialer struct {
	world   *world
	crasher *crasher
}

func (d crashingDialer) Agent(address string) sesamewire.DRPCAgentClient {
	return crashingAgent{
		fakeAgent: d.world.agents[address],
		crasher:   d.crasher,
	}
}

// process runs one life of a coordinating process: it drives the job and, once
// every member has opened, records their results. It returns how many
// operations it made.
func (w *world) process(crashAt int, after bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := &crasher{
		at:     crashAt,
		after:  after,
		cancel: cancel,
	}
	table := crashingTable{
		Table:   w.table,
		crasher: c,
	}
	o := Options{
		Ledger: NewLedger(sesamestore.New(table, w.table), w.clock, sesameplanner.UpdateSuspectFailures),
		Dialer: crashingDialer{
			world:   w,
			crasher: c,
		},
		Clock:   w.clock,
		Log:     sesamelog.Discard(),
		Scope:   tally.NoopScope,
		Changed: func(...sesamemodel.Job) {},
	}
	var group errgroup.Group
	driver := NewDriver(o)
	driver.Begin(ctx, &group)
	driver.Drive(w.id)
	_ = group.Wait() // drives return no errors
	w.report(ctx, o)
	return c.count
}

// report has the first agent report all members done, as often as it takes.
func (w *world) report(ctx context.Context, o Options) {
	req := &sesamewire.FinishRequest{
		Id: &sesamewire.AttemptID{
			Job:     string(w.id),
			Attempt: 1,
		},
	}
	for i := range w.agents {
		a := w.agents[i]
		if a.starts == 0 || a.tombstones[1] {
			return
		}
		req.Reports = append(req.Reports, &sesamewire.MemberReport{
			Member:   int32(len(req.Reports)),
			Progress: sesamewire.Progress_PROGRESS_DONE,
		})
	}
	_, _ = NewFinisher(o).Finish(ctx, req) // a crashed process is followed by another
}

// stop ends the attempt in the middle of its work, as a caller's cancellation
// and the loss of a target do at any time.
func (w *world) stop(is *is.I, next sesamemodel.State) {
	is.Helper()
	for _, a := range w.agents {
		a.unfinished = true
	}
	ledger := NewLedger(sesamestore.New(w.table, w.table), w.clock, sesameplanner.UpdateSuspectFailures)
	_, err := ledger.UpdateJob(context.Background(), w.id, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		return j.WithStop(w.clock.Now(), next, "stopped"), j.State.Active()
	})
	is.NoErr(err)
}

func assertAtMostOnce(is *is.I, w *world, where string) {
	is.Helper()
	job := w.job(is)
	starts := 0
	for _, a := range w.agents {
		is.True(a.starts <= 1) // each member starts at most once
		starts += a.starts
	}
	if job.NeverRan() || job.State == sesamemodel.Queued {
		is.Equal(starts, 0) // called not run, or to be run again
	}
	if !job.State.Ended() && job.State != sesamemodel.Queued {
		is.Equal(where, "the attempt did not end")
	}
	cell, err := sesamestore.New(w.table, w.table).Cell(context.Background(), worldCell)
	is.NoErr(err)
	is.Equal(len(cell.Value.Allocations), 0) // nothing stays allocated
}

// TestCrashPoints kills the coordinating process at every one of its
// operations, before and after it takes effect, and has another one go on.
func TestCrashPoints(t *testing.T) {
	whole := newWorld(is.New(t)).process(0, false)
	for _, after := range []bool{false, true} {
		for at := 1; at <= whole; at++ {
			t.Run(fmt.Sprintf("operation %d, answer lost %t", at, after), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(is)
				w.process(at, after)
				w.process(0, false)
				assertAtMostOnce(is, w, t.Name())
			})
		}
	}
	for _, next := range []sesamemodel.State{sesamemodel.Cancelled, sesamemodel.Queued} {
		t.Run(fmt.Sprintf("stopped after the crash, then %s", next), func(t *testing.T) {
			is := is.New(t)
			is.True(whole >= 8) // prepare, open and two conditional writes at least
			for at := 1; at <= whole; at++ {
				for _, after := range []bool{false, true} {
					w := newWorld(is)
					w.process(at, after)
					w.stop(is, next)
					w.process(0, false)
					assertAtMostOnce(is, w, fmt.Sprintf("stopped after a crash at %d", at))
				}
			}
		})
	}
	t.Run("two crashes in a row", func(t *testing.T) {
		is := is.New(t)
		for first := 1; first <= whole; first++ {
			for second := 1; second <= whole; second++ {
				w := newWorld(is)
				w.process(first, first%2 == 0)
				w.process(second, second%2 == 1)
				w.process(0, false)
				assertAtMostOnce(is, w, fmt.Sprintf("crashes at %d and %d", first, second))
			}
		}
	})
}
