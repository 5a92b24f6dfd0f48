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
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamering"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// ringSize bounds the effects that wait for one duty.
	ringSize = 256
	// leaveNoticeTimeout bounds the wait until a keeper knows that the agent leaves.
	leaveNoticeTimeout = 2 * time.Second
)

// Target is what runs the tasks.
type Target interface {
	Describe(ctx context.Context) (sesametarget.Description, error)
	// Renew extends the holder's lease; *sesametarget.LeaseError while
	// another's lives.
	Renew(ctx context.Context, l sesametarget.Lease) error
	// Start starts a task once, however often it is called.
	Start(ctx context.Context, t sesametarget.Task) error
	Tasks(ctx context.Context) ([]sesametarget.Status, error)
	Output(ctx context.Context, id sesametarget.TaskID) ([]byte, error)
	// Stop returns the task's status after its end.
	Stop(ctx context.Context, id sesametarget.TaskID, grace time.Duration) (sesametarget.Status, error)
}

// Dialer reaches entries and other agents.
type Dialer interface {
	Keeper(address string) sesamewire.DRPCKeeperClient
	Agent(address string) sesamewire.DRPCAgentClient
}

// Deps is what an agent needs beside its settings.
type Deps struct {
	Target  Target
	Objects sesametable.Objects
	Dialer  Dialer
	Clock   clockwork.Clock
	Log     *sesamelog.Logger
	Scope   tally.Scope
	// Metrics serves /metrics; nil leaves it out.
	Metrics http.Handler
}

// Agent is the process beside one target.
type Agent struct {
	settings sesamesettings.Agent
	deps     Deps
	// leaseHolder names this process to the target, whatever its incarnation.
	leaseHolder string
	ring        *sesamering.Ring
	state       *state
	tasks       *taskTracker
	keeper      *keeperState
	// ctx ends when the work of the group is to end.
	ctx   context.Context
	abort context.CancelFunc
	group *errgroup.Group
	// targetReachable is true while the target takes its lease.
	targetReachable atomic.Bool
	// tasksRecovered is true once the tasks of earlier incarnations are dealt with.
	tasksRecovered atomic.Bool
}

// New returns an agent that does nothing before Run.
func New(settings sesamesettings.Agent, deps Deps) *Agent {
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

// Incarnation returns the name of this start of the agent.
func (a *Agent) Incarnation() string {
	agent, _, _ := a.state.read()
	return agent.Incarnation()
}

// Run serves until ctx ends. Then it refuses new work, tells its keeper, and
// finishes what is open within settings.Drain. The error says which duty could
// not go on.
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
	group.Go(func() error { return router.Run(serving) })
	group.Go(func() error { return a.serveWire(serving) })
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

// awaitDescription asks the target what it offers until it answers.
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

// sleep waits, or returns the context's error when that ends first.
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

// router joins the duties that carry out effects.
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

// drain ends the agent's work in order.
func (a *Agent) drain(ctx context.Context) {
	a.deps.Log.Emit(eventLeaving, sesamelog.Fields{
		"target": a.settings.ID,
	})
	a.state.apply(func(_ time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		return s.WithLeaving(), sesamegang.Effects{}
	})
	a.keeper.requestHeartbeat()
	ctx, cancel := clockwork.WithTimeout(ctx, a.deps.Clock, a.settings.Drain)
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
