package sesamedispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// leaderRenewInterval is how often the planning process writes its row when it
	// has nothing else to write.
	leaderRenewInterval = 500 * time.Millisecond
	// leaderPollInterval is how often others read that row.
	leaderPollInterval = 500 * time.Millisecond
	// leaderTimeout is how long the row may stay as it is before another
	// process plans. Taking over is safe at any time, and only costs reading.
	leaderTimeout = 1500 * time.Millisecond
	// commitTimeout bounds the repetition of one write; then the process
	// gives up planning and reads all anew.
	commitTimeout = 3 * time.Second
	// tick is the longest pause between two decisions: due times and silent
	// targets come without a change of a row.
	tick = 100 * time.Millisecond
	// feedWait is how long one call for changes waits.
	feedWait = time.Second
	// feedBuffer bounds the batches that wait for the planner.
	feedBuffer = 16
	// feedGather lets changes of a moment come in one call.
	feedGather = 5 * time.Millisecond
	// maxFeedSilence is how long planning goes on without an answer to a call
	// for changes: cancels and reports may be missing.
	maxFeedSilence = 4 * time.Second
)

// Policies hands out the policy in force.
type Policies interface {
	Current() *sesamework.Policy
	Changed() <-chan struct{}
}

// Inventory knows which lives of targets the platform still runs.
type Inventory interface {
	// Live returns the IDs of all targets that run.
	Live(ctx context.Context) (map[string]bool, error)
}

// Options are what a Planner needs.
type Options struct {
	// Name is the process's, for the logs of others.
	Name     string
	Store    sesamerows.Store
	Policies Policies
	// Inventory; nil means that silent targets are given up by time alone.
	Inventory Inventory
	Clock     sesameclock.Clock
	Log       *sesamelog.Logger
	Scope     tally.Scope
}

// Planner plans while no other process does.
type Planner struct {
	o            Options
	storeClock   sesamerows.Timekeeper
	seenLeader   leader
	leaderSeenAt time.Duration
	// durationModels outlast the terms of this process; another one learns anew.
	durationModels map[string]*durationModel
}

// leader is the row of the planning process.
type leader struct {
	Name string `json:"name"`
	// Released says that the process has stopped planning.
	Released bool `json:"released,omitempty"`
	// Epoch is the time of day, in Unix milliseconds, at which the store's
	// steady clock stood at zero. The first planner sets it; jumps of a
	// process's time of day don't matter after that.
	Epoch int64 `json:"epoch"`

	version sesamerows.Version
}

// NewPlanner returns a planner; Run makes it work.
func NewPlanner(o Options) *Planner {
	return &Planner{
		o:          o,
		storeClock: sesamerows.NewTimekeeper(o.Clock),

		durationModels: map[string]*durationModel{},
	}
}

// Run plans whenever no other process does, until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		absent, err := p.isLeaderAbsent(ctx)
		if err != nil || !absent {
			sesamerows.Sleep(ctx, leaderPollInterval)
			continue
		}
		term, err := p.takeOver(ctx)
		if err != nil {
			p.logTermEnd(err)
			sesamerows.Sleep(ctx, leaderPollInterval)
			continue
		}
		err = term.run(ctx)
		p.logTermEnd(err)
		term.stepDown()
	}
	return nil
}

func (p *Planner) logTermEnd(err error) {
	p.o.Log.Emit(eventPlanningEnds, sesamelog.Fields{
		"error": err,
	})
	p.o.Scope.Counter("planner_changes").Inc(1)
}

// isLeaderAbsent reads the leader's row and reports whether nobody seems to plan.
func (p *Planner) isLeaderAbsent(ctx context.Context) (bool, error) {
	row, page, err := sesamerows.ReadRow(ctx, p.o.Store, sesamework.LeaderKey())
	if err != nil {
		return false, err
	}
	p.storeClock.Heard(page.Now)
	var found leader
	if row.Version > 0 {
		if err := json.Unmarshal(sesamerows.Open(row.Value), &found); err != nil {
			return false, err
		}
		found.version = row.Version
	}
	now := p.o.Clock.Steady()
	if found.version != p.seenLeader.version {
		p.seenLeader = found
		p.leaderSeenAt = now
	}
	return found.version == 0 || found.Released || now-p.leaderSeenAt > leaderTimeout, nil
}

// takeOver makes this process the planner and reads all rows.
func (p *Planner) takeOver(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	row := leader{
		Name:  p.o.Name,
		Epoch: p.seenLeader.Epoch,
	}
	if row.Epoch == 0 {
		row.Epoch = p.o.Clock.Wall().UnixMilli() - p.storeClock.Now().Milliseconds()
	}
	r := &term{
		Planner:           p,
		leaderRow:         row,
		inventoryRequests: make(chan struct{}, 1),
		inventories:       make(chan map[string]bool, 1),
		fence:             sesamerows.NewFence(p.o.Store, sesamework.LeaderKey()),
		view:              NewView(p.o.Log).withDurationModels(p.durationModels),
		follower: sesamerows.NewFollower(p.o.Store, sesamerows.FollowOptions{
			Table:  sesamework.WorkTable,
			Wait:   feedWait,
			Gather: feedGather,
		}),
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, err
	}
	if err := r.fence.Take(ctx, p.seenLeader.version, value); err != nil {
		return nil, err
	}
	r.leaderValue = value
	r.leaderWrittenAt = p.o.Clock.Steady()
	return r, r.load(ctx)
}
