package sesamedispatch_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamedispatch"
	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

// lifetime starts and stops a process. Overlapping faults may do that
// concurrently.
type lifetime struct {
	mu  sync.Mutex
	end context.CancelFunc
}

// stop ends the process if it runs.
func (l *lifetime) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		l.end()
	}
}

// restart ends the process if it runs, and returns the context of the next one.
func (l *lifetime) restart(parent context.Context) context.Context {
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithCancel(parent)
	l.end = cancel
	return ctx
}

// entryProcess is an entry: its intake and its planner.
type entryProcess struct {
	lifetime
	w      *world
	name   string
	rows   *sesamestandin.FaultyRows
	store  sesamerows.Store
	intake *sesameintake.Intake
	// size is what the entry announces from its next start on.
	size sesamerows.Size
}

// Peers returns the other entries as the relay rows announce them, also those that
// have ended.
func (e *entryProcess) Peers() []sesamerows.Peer {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	var peers []sesamerows.Peer
	for name, size := range e.w.announced {
		if name != e.name {
			peers = append(peers, sesamerows.Peer{
				Name: name,
				Size: size,
			})
		}
	}
	return peers
}

// nodeProcess is a node with a target and the agent beside it.
type nodeProcess struct {
	lifetime
	w      *world
	name   string
	zone   string
	rack   string
	rows   *sesamestandin.FaultyRows
	store  sesamerows.Store
	target *sesamestandin.LeasedTarget
	// runner is that of the agent's newest process.
	runner *sesamerunner.Runner
	id     string
	life   int64
	// lives counts the lives that were started.
	lives int64
	// removed nodes are missing from the inventory, and draining ones report
	// that. With reportsNothing set, the target sends its agent no reports.
	removed        bool
	reportsNothing bool
	draining       bool
	// reportedAt is when the target's latest life sent its last report, zero if
	// it has sent none.
	reportedAt time.Time
}

// start starts the entry with a new intake and a new planner.
func (e *entryProcess) start() {
	ctx := e.restart(e.w.ctx)
	intake := sesameintake.New(sesameintake.Options{
		Store: e.store,
		Source: &policySource{
			follower: sesamerows.NewFollower(e.store, sesamerows.FollowOptions{
				Table: policyKey.Table,
				Wait:  500 * time.Millisecond,
			}),
			evacuated: map[string]bool{},
		},
		Clock: e.w.steadyClock,
		Log:   testLog(),
		Scope: tally.NoopScope,
	})
	var evacuations sesamedispatch.Evacuations
	if e.w.evacuations {
		evacuations = intake.Policies()
	}
	planner := sesamedispatch.NewPlanner(sesamedispatch.Options{
		Name:      e.name,
		Store:     e.store,
		Policies:  intake.Policies(),
		Inventory: e.w,
		Size:      e.size,
		Peers:     e,
		Clock:     e.w.steadyClock,
		Log:       testLog(),
		Scope:     tally.NoopScope,

		Evacuations:     evacuations,
		EvacuationBound: evacuationBound,
		Contention:      e.w.contention,
		Speeds:          !e.w.noSpeeds,
		HeldEnds:        e.w.heldEnds,
	})
	e.w.mu.Lock()
	e.intake = intake
	e.w.mu.Unlock()
	e.w.group.Go(func() error {
		return ignoreCancel(intake.Run(ctx))
	})
	e.w.group.Go(func() error {
		return ignoreCancel(planner.Run(ctx))
	})
}

// ignoreCancel returns the error, or nil for the end of a stopped process.
func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// currentIntake returns the intake of the process that runs now.
func (e *entryProcess) currentIntake() *sesameintake.Intake {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	return e.intake
}

// currentTarget returns the target's latest life.
func (n *nodeProcess) currentTarget() *sesamestandin.LeasedTarget {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.target
}

// startNewLife starts another life of the node's target.
func (n *nodeProcess) startNewLife() {
	n.w.mu.Lock()
	n.lives++
	life := n.lives
	id := fmt.Sprintf("%s-life-%d", n.name, life)
	if n.w.keepsIDs {
		id = n.name
	}
	n.w.mu.Unlock()
	// The fleet calls the world while it holds its own lock.
	target := n.w.fleet.Add(id, life, nodeCapacity())
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.id = id
	n.life = life
	n.target = target
	n.reportedAt = time.Time{}
}

// start starts the node's agent and the reports of its target.
func (n *nodeProcess) start() {
	ctx := n.restart(n.w.ctx)
	runner := sesamerunner.New(sesamerunner.Options{
		Node:  n.name,
		Zone:  n.zone,
		Store: n.store,
		Dial: func(_, id string, _ int64) sesamerunner.Executor {
			return n.w.fleet.Target(id)
		},
		Clock:    n.w.steadyClock,
		Log:      testLog(),
		Scope:    tally.NoopScope,
		MaxLease: maxLease,

		TargetReportInterval: reportInterval,
	})
	n.w.mu.Lock()
	n.runner = runner
	n.w.mu.Unlock()
	n.w.group.Go(func() error {
		return ignoreCancel(runner.Run(ctx))
	})
	n.w.group.Go(func() error {
		n.report(ctx, runner)
		return nil
	})
}

// reportInterval is how often a target reports to its agent.
const reportInterval = 1500 * time.Millisecond

// awaitReport waits until the target's next report is due, which does not
// depend on when the agent was started.
func (n *nodeProcess) awaitReport(ctx context.Context) {
	n.w.mu.Lock()
	elapsed := n.w.clock.Since(n.reportedAt)
	first := n.reportedAt.IsZero()
	n.w.mu.Unlock()
	if first {
		return
	}
	select {
	case <-n.w.clock.After(reportInterval - elapsed%reportInterval):
	case <-ctx.Done():
	}
}

// report sends the target's reports to the agent until ctx ends.
func (n *nodeProcess) report(ctx context.Context, runner *sesamerunner.Runner) {
	n.awaitReport(ctx)
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		n.w.mu.Lock()
		draining := n.draining
		vanished := n.reportsNothing
		id, life := n.id, n.life
		n.reportedAt = n.w.clock.Now()
		n.w.mu.Unlock()
		if vanished {
			n.w.sleep(reportInterval)
			continue
		}
		runner.Report(sesamerunner.Report{
			ID:           id,
			Service:      "service",
			Address:      "address",
			Rack:         n.rack,
			Labels:       []string{"kind", n.rack},
			Capacity:     n.currentTarget().Capacity(),
			Draining:     draining,
			MinRemaining: 2 * time.Second,
			Life:         life,
			Sequence:     sequence,
		})
		select {
		case <-n.w.clock.After(reportInterval):
		case <-ctx.Done():
		}
	}
}
