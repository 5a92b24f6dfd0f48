package sesameagent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// ringSize is the capacity of each queue of effects, in messages.
	ringSize = 256
	// leaveNoticeTimeout bounds the wait until a keeper has confirmed the notice
	// that the agent drains.
	leaveNoticeTimeout = 2 * time.Second
)

// Target is the interface to the target beside the agent, which runs the tasks.
// *sesametarget.Client implements it.
type Target interface {
	// Describe returns the target's kind, capacity and incarnation.
	Describe(ctx context.Context) (sesametarget.Description, error)
	// Renew extends the holder's lease at the target. It returns a
	// *sesametarget.LeaseError while another holder's lease is valid.
	Renew(ctx context.Context, l sesametarget.Lease) error
	// Start starts a task. It is idempotent: repeated calls start the task once.
	Start(ctx context.Context, t sesametarget.Task) error
	// Tasks returns the status of every task that the target knows, ended ones
	// included.
	Tasks(ctx context.Context) ([]sesametarget.Status, error)
	// Output returns the whole output of a task that is done.
	Output(ctx context.Context, id sesametarget.TaskID) ([]byte, error)
	// Stop ends a task within grace and returns its status after its end.
	Stop(ctx context.Context, id sesametarget.TaskID, grace time.Duration) (sesametarget.Status, error)
}

// Dialer returns clients of entries and of other agents by address.
type Dialer interface {
	// Keeper returns a client for the calls that an agent makes to an entry.
	Keeper(address string) sesamewire.DRPCKeeperClient
	// Agent returns a client for the calls that an agent makes to another agent.
	Agent(address string) sesamewire.DRPCAgentClient
}

// Deps holds the dependencies of an agent.
type Deps struct {
	// Target runs the tasks.
	Target Target
	// Objects is the object store with the inputs and outputs of tasks.
	Objects sesametable.Objects
	Dialer  Dialer
	Clock   clockwork.Clock
	Log     *sesamelog.Logger
	// Scope receives the agent's metrics.
	Scope tally.Scope
	// Metrics serves /metrics; without it, the path is not served.
	Metrics http.Handler
	// Shares is what other processes may take of this one; the zero value means the
	// default.
	Shares sesameguard.OwnShares
}

// Agent is the process beside one target. It holds the target's lease from the
// keeper, which is the entry that manages the target's cell, and starts and
// stops tasks for entries.
type Agent struct {
	settings sesamesettings.Agent
	deps     Deps
	// leaseHolder identifies this process to the target. It stays the same when
	// the agent takes a new incarnation.
	leaseHolder string
	// ring holds the queues of effects, one for each topic.
	ring *sesamering.Ring
	// state holds the attempts.
	state *state
	// tasks tracks which starts were tried and which background work is going
	// on.
	tasks *taskTracker
	// keeper has the address and the epoch of the keeper.
	keeper *keeperState
	// noLeaseReplies counts the replies without a lease in a row; only the
	// heartbeat loop uses it.
	noLeaseReplies int
	// ctx ends when the goroutines in group have to stop; abort ends it.
	ctx   context.Context
	abort context.CancelFunc
	group *errgroup.Group
	// targetReachable is true while the target accepts lease renewals, false
	// before the first.
	targetReachable atomic.Bool
	// tasksRecovered is true once the tasks that earlier incarnations left on the
	// target have been adopted or stopped.
	tasksRecovered atomic.Bool
}

// New returns an agent that does nothing before Run is called.
func New(settings sesamesettings.Agent, deps Deps) *Agent {
	deps.Shares = deps.Shares.OrDefault()
	a := &Agent{
		settings:    settings,
		deps:        deps,
		leaseHolder: uuid.NewString(),
		ring:        sesamering.New(ringSize),
	}
	a.tasks = newTaskTracker()
	a.keeper = newKeeperState(settings.Entries)
	a.state = newState(deps.Clock, sesamegang.NewAgent(sesamegang.AgentOptions{
		Incarnation: uuid.NewString(),
		Times: sesamegang.Times{
			Heartbeat: settings.Leases.Heartbeat,
			Lease:     settings.Leases.Lease,
			Margin:    settings.Leases.Margin,
			Grace:     settings.Leases.Grace,
		},
	}), a.dispatchEffects)
	return a
}

// Incarnation returns the unique identifier of this start of the agent. It
// also changes when the agent takes a new one to drop its tombstones (marks of
// attempts that must not start on this agent any more).
func (a *Agent) Incarnation() string {
	agent, _, _ := a.state.read()
	return agent.Incarnation()
}

// Run serves until ctx ends. Then it drains: it refuses new attempts, notifies
// its keeper, and lets the attempts that it holds finish within
// settings.DrainTimeout. It returns the error of the first loop or server that
// failed, or nil.
func (a *Agent) Run(ctx context.Context) error {
	description, err := a.awaitDescription(ctx)
	if err != nil {
		return nil
	}
	a.keeper.setTarget(a.settings, description)
	a.state.apply(func(_ time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		return s.WithSlots(description.Capacity.Slots), sesamegang.Effects{}
	})
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	a.ctx, a.abort, a.group = serving, stop, group
	router, err := a.router()
	if err != nil {
		return err
	}
	// Heartbeats make the agent ready for calls, so it listens before the first.
	listener, err := a.listenWire(serving)
	if err != nil {
		return err
	}
	group.Go(func() error { return router.Run(serving) })
	group.Go(func() error { return a.serveWire(serving, listener) })
	group.Go(func() error { return a.serveHTTP(serving) })
	group.Go(func() error { return a.heartbeatLoop(serving) })
	group.Go(func() error { return a.pollLoop(serving) })
	group.Go(func() error { return a.gangHeartbeatLoop(serving) })
	group.Go(func() error { return a.reportLoop(serving) })
	a.deps.Log.Emit(eventStarted, sesamelog.Fields{
		"target":      a.settings.ID,
		"incarnation": a.Incarnation(),
	})
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			a.drain(serving)
		case <-serving.Done():
		}
		return nil
	})
	err = group.Wait()
	a.deps.Log.Emit(eventStopped, sesamelog.Fields{
		"target": a.settings.ID,
	})
	return err
}

// awaitDescription asks the target for its description until it answers, once a
// heartbeat interval, or returns the context's error.
func (a *Agent) awaitDescription(ctx context.Context) (sesametarget.Description, error) {
	for {
		d, err := a.deps.Target.Describe(ctx)
		if err == nil {
			return d, nil
		}
		a.deps.Log.Emit(eventTargetLost, sesamelog.Fields{
			"error": err,
		})
		if err := a.sleep(ctx, a.settings.Leases.Heartbeat); err != nil {
			return d, err
		}
	}
}

// sleep waits for d, or returns the context's error when that ends first.
func (a *Agent) sleep(ctx context.Context, d time.Duration) error {
	timer := a.deps.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// router returns the router that delivers queued effects to their handlers.
func (a *Agent) router() (*message.Router, error) {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return nil, err
	}
	router.AddConsumerHandler("start", topicStart, a.ring, a.onStart)
	router.AddConsumerHandler("halt", topicHalt, a.ring, a.onHalt)
	router.AddConsumerHandler("lease", topicLease, a.ring, a.onLease)
	return router, nil
}

// drain refuses new attempts, waits until the keeper has confirmed it or
// leaveNoticeTimeout has passed, and then until the last attempt is finished
// and its outcome recorded. settings.DrainTimeout bounds both waits together.
func (a *Agent) drain(ctx context.Context) {
	a.deps.Log.Emit(eventLeaving, sesamelog.Fields{
		"target": a.settings.ID,
	})
	a.state.apply(func(_ time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		return s.WithLeaving(), sesamegang.Effects{}
	})
	a.keeper.requestHeartbeat()
	ctx, cancel := clockwork.WithTimeout(ctx, a.deps.Clock, a.settings.DrainTimeout)
	defer cancel()
	notice, done := clockwork.WithTimeout(ctx, a.deps.Clock, leaveNoticeTimeout)
	defer done()
	select {
	case <-a.keeper.leaveConfirmed:
	case <-notice.Done():
	}
	for {
		s, _, changed := a.state.read()
		if len(s.Members()) == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
