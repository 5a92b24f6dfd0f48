package sesamedispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// world is a whole system in one process and in virtual time: entries that take
// jobs and plan, agents, and targets with leases, over one store.
type world struct {
	t           *testing.T
	ctx         context.Context
	group       *errgroup.Group
	clock       clockwork.Clock
	steadyClock sesameclock.Clock
	store       *sesamerows.Memory
	serialStore *sesamestandin.SerializedRows
	fleet       *sesamestandin.Fleet
	entries     []*entryProcess
	nodes       []*nodeProcess

	worldOptions
	// noSpeeds turns the model of targets' speeds off in entries that start later.
	noSpeeds bool
	// keepsIDs says that all lives of a target have the same ID.
	keepsIDs bool

	mu   sync.Mutex
	jobs map[string]*clientJob
	// evacuated are the zones that are evacuated now.
	evacuated map[string]evacuatedZone
}

// worldOptions are choices that differ between worlds.
type worldOptions struct {
	// detours says that processes relay calls to the store for each other.
	detours bool
	// evacuations says that zones can be evacuated.
	evacuations bool
	// contention says by what entries order waiting work.
	contention sesamecontention.Policy
	// heldEnds is how many ends of runs a planner holds before it compacts; 0 means
	// the default.
	heldEnds int
	// announced holds the sizes in the relay rows, by entry.
	announced map[string]sesamerows.Size
}

// clientJob is a job that a client submitted.
type clientJob struct {
	job   sesamework.Job
	tasks func(sesamework.TaskID) sesamestandin.FleetTask
	// rejected says that every answer so far excluded that the job ever runs.
	rejected bool
	accepted bool
	// cancelledAt is when the cancelling of the job was accepted.
	cancelledAt time.Time
}

const (
	// testAttempts is how many failed runs of a unit fail its job.
	testAttempts = 3
	// stopTime is how long a stopped run takes to end.
	stopTime = 400 * time.Millisecond
	// gangTimeout is how long a member of a gang waits for the others to start.
	gangTimeout = 3 * time.Second
	// maxLease is the longest lease that a target takes; longer ones are cut.
	maxLease = 6 * time.Second
	// shrinkGrace is how long after a target has shrunk the platform accepts
	// starts that use its former capacity: 3 s after the report that is due then.
	shrinkGrace = 3*time.Second + reportInterval
	// specPrefix begins the specification of each job, before its ID.
	specPrefix = "specification of "
)

// nodeCapacity is what each target offers.
func nodeCapacity() sesamework.Resources {
	return sesamework.Resources{
		Cores:        64000,
		Memory:       256000,
		Accelerators: 8,
	}
}

// newWorld starts a system with these numbers of entries and nodes, whose
// processes all call the store directly. The policy guarantees team-a 16
// accelerators.
func newWorld(t *testing.T, entries, nodes int) *world {
	return startWorld(t, entries, nodes, worldOptions{})
}

// startWorld is newWorld with choices.
func startWorld(t *testing.T, entries, nodes int, o worldOptions) *world {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	clock := clockwork.NewRealClock()
	w := &world{
		t:           t,
		ctx:         ctx,
		group:       group,
		clock:       clock,
		steadyClock: sesameclock.Wrap(clock),
		jobs:        map[string]*clientJob{},

		worldOptions: o,
		evacuated:    map[string]evacuatedZone{},
	}
	w.store = sesamerows.NewMemory(w.steadyClock)
	w.serialStore = sesamestandin.NewSerializedRows(w.store, clock)
	w.fleet = sesamestandin.NewFleet(sesamestandin.FleetOptions{
		Clock:       clock,
		Lookup:      w.lookup,
		StopTime:    stopTime,
		GangTimeout: gangTimeout,
		MaxLease:    maxLease,
		Crashed:     w.restartTarget,
		ShrinkGrace: shrinkGrace,
		MayStart:    w.mayStart,
	})
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	w.putPolicy(1)
	for i := range entries {
		e := &entryProcess{
			w:    w,
			name: fmt.Sprintf("entry-%d", i),
			rows: sesamestandin.NewFaultyRows(w.serialStore, clock),
		}
		e.store = w.storeFor(e.rows)
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		e.start()
	}
	for i := range nodes {
		w.addNode(i)
	}
	return w
}

// addNode starts the node with that number.
func (w *world) addNode(i int) {
	n := &nodeProcess{
		w:    w,
		name: fmt.Sprintf("node-%d", i),
		zone: fmt.Sprintf("zone-%d", i%2),
		rack: fmt.Sprintf("rack-%d", i/2),
		rows: sesamestandin.NewFaultyRows(w.serialStore, w.clock),
	}
	n.store = w.storeFor(n.rows)
	w.nodes = append(w.nodes, n)
	n.startNewLife()
	n.start()
}

// storeFor returns the store as a process calls it: directly, or with detours.
func (w *world) storeFor(rows sesamerows.Store) sesamerows.Store {
	if !w.detours {
		return rows
	}
	return sesamerows.NewFailoverStore(rows, w, w.steadyClock, func(bool, error) {})
}

// Relay returns the store as the entry with that number, counted round, calls
// it directly; see sesamerows.RelayList.
func (w *world) Relay(number int) sesamerows.Store {
	e := w.entries[number%len(w.entries)]
	if detour, ok := e.store.(*sesamerows.FailoverStore); ok {
		return detour.Direct()
	}
	return nil
}

// lookup tells the fleet how a task behaves. It returns false for a task that
// must not start any more: that of a job whose submission was certainly
// rejected, or whose cancelling was accepted longer than cancelBound ago.
func (w *world) lookup(task sesamework.TaskID) (sesamestandin.FleetTask, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.jobs[task.Job]
	if !ok || a.rejected {
		return sesamestandin.FleetTask{}, false
	}
	if !a.cancelledAt.IsZero() && w.clock.Since(a.cancelledAt) > cancelBound {
		return sesamestandin.FleetTask{}, false
	}
	return a.tasks(task), true
}

// cancelBound is the platform's: no task may start later than this after its
// job's cancelling was accepted.
const cancelBound = 3 * time.Second

// submit submits a job at one entry after the other until one accepts it, as a
// client does, at most five times.
func (w *world) submit(a *clientJob, queue, key string, first int) {
	w.mu.Lock()
	w.jobs[a.job.ID] = a
	w.mu.Unlock()
	a.rejected = true
	for try := range 5 {
		e := w.entries[(first+try)%len(w.entries)]
		err := w.submitOnce(e, a, queue, key)
		w.mu.Lock()
		if err == nil {
			a.accepted = true
			a.rejected = false
		}
		if errors.HasType(err, (*sesamerows.UnknownError)(nil)) {
			a.rejected = false
		}
		w.mu.Unlock()
		if err == nil {
			return
		}
		w.sleep(time.Second)
	}
}

// submitOnce submits a job at one entry, and notes whether it was rejected.
func (w *world) submitOnce(e *entryProcess, a *clientJob, queue, key string) error {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	intake := e.currentIntake()
	admission, err := intake.Admit("host", "/"+queue+"/", key)
	if err != nil {
		return err
	}
	// From here on the job may be accepted at any moment.
	w.mu.Lock()
	before := a.rejected
	a.rejected = false
	w.mu.Unlock()
	err = intake.Submit(ctx, admission, a.job, specPrefix+a.job.ID)
	w.mu.Lock()
	defer w.mu.Unlock()
	a.rejected = before && err != nil
	return err
}

// cancel cancels an accepted job, with retries at the other entries.
func (w *world) cancel(a *clientJob, queue, key string) {
	for try := range 10 {
		ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
		e := w.entries[try%len(w.entries)]
		intake := e.currentIntake()
		admission, err := intake.Admit("host", "/"+queue+"/", key)
		if err == nil {
			err = intake.Cancel(ctx, admission, a.job.ID)
		}
		cancel()
		if err == nil {
			w.mu.Lock()
			a.cancelledAt = w.clock.Now()
			w.mu.Unlock()
			return
		}
		w.sleep(500 * time.Millisecond)
	}
}

// sleep waits in virtual time, or until the test ends.
func (w *world) sleep(d time.Duration) {
	select {
	case <-w.clock.After(d):
	case <-w.ctx.Done():
	}
}

// state reads a job's state from the store; it is empty when there is none.
func (w *world) state(id string) sesamework.JobState {
	intake := w.entries[0].currentIntake()
	admission := sesameintake.Admission{}
	for _, queue := range []string{"urgent", "normal", "batch"} {
		admission.Queue.Name = queue
		if s, err := intake.State(w.ctx, admission, id); err == nil {
			return s
		}
	}
	return ""
}

// awaitEnds waits until all accepted jobs have ended, up to the bound. It
// returns those that have not.
func (w *world) awaitEnds(bound time.Duration) []string {
	deadline := w.clock.Now().Add(bound)
	for {
		var open []string
		w.mu.Lock()
		jobs := make([]*clientJob, 0, len(w.jobs))
		for _, a := range w.jobs {
			jobs = append(jobs, a)
		}
		w.mu.Unlock()
		for _, a := range jobs {
			if s := w.state(a.job.ID); a.accepted && !s.Ended() {
				open = append(open, fmt.Sprintf("%s is %q", a.job.ID, s))
			}
		}
		if len(open) == 0 || w.clock.Now().After(deadline) {
			return open
		}
		w.sleep(500 * time.Millisecond)
	}
}

// plainTasks returns a function that lets every task of the job take that long
// and succeed.
func plainTasks(job sesamework.Job, duration time.Duration) func(sesamework.TaskID) sesamestandin.FleetTask {
	return func(task sesamework.TaskID) sesamestandin.FleetTask {
		return sesamestandin.FleetTask{
			Step:          job.Steps[task.Step],
			Duration:      duration,
			Specification: specPrefix + job.ID,
		}
	}
}
