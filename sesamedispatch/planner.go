package sesamedispatch

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamespeed"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// leaderRenewInterval is the time after which the leader, the process that
	// plans, writes its row again when it has nothing else to write.
	leaderRenewInterval = 500 * time.Millisecond
	// leaderPollInterval is the pause between two reads of the leader's row by
	// another process.
	leaderPollInterval = 500 * time.Millisecond
	// leaderTimeout is how long the leader's row may stay unchanged, while the
	// store answers, before another process takes over. Since writes are fenced,
	// taking over is safe at any time and costs only the reading of all rows.
	leaderTimeout = 1500 * time.Millisecond
	// commitTimeout bounds the retries of one transaction. Within it, a leader
	// outlasts an outage of the store, since nobody else can take over then.
	// After it, the process ends its term and reads all rows anew.
	commitTimeout = 20 * time.Second
	// readTimeout bounds the reading of all rows, with the write that precedes
	// it when a process takes over.
	readTimeout = 15 * time.Second
	// tick is the longest pause between two decisions: occurrences become due
	// and targets fall silent without a change of a row.
	tick = 100 * time.Millisecond
	// feedWait is how long one call for changes of the work table waits for the
	// first change.
	feedWait = time.Second
	// feedBuffer is how many batches of changes may wait for the planning loop.
	feedBuffer = 16
	// feedGather is the pause before the call that follows a change, so that
	// changes of the same moment come in one batch.
	feedGather = 5 * time.Millisecond
	// maxFeedSilence is how long planning goes on without an answer to a call
	// for changes. Then it pauses, since cancels and reports may be missing.
	maxFeedSilence = 4 * time.Second
	// feedRecoveryTime is how long the feed may stay silent after the store has
	// answered a commit. Then the term ends: the store serves others better.
	feedRecoveryTime = 3 * time.Second
)

// Policies provides the policy in force.
type Policies interface {
	// Current returns the newest policy, or nil before the first was read.
	Current() *sesamework.Policy
	// Changed returns a channel that is closed when a newer policy has come.
	Changed() <-chan struct{}
}

// Inventory is the platform's list of the targets that it still runs.
type Inventory interface {
	// Live returns the set of the IDs of all targets that run.
	Live(ctx context.Context) (map[string]bool, error)
}

// Options are the dependencies of a Planner.
type Options struct {
	// Name is that of this process. The leader writes it into its row, for the
	// logs of the other processes.
	Name     string
	Store    sesamerows.Store
	Policies Policies
	// Inventory may be nil; then silent targets are given up by time alone.
	Inventory Inventory
	// Evacuations may be nil; then no zone can be evacuated. Otherwise no run is
	// started in a zone later than EvacuationBound after its evacuation.
	Evacuations     Evacuations
	EvacuationBound time.Duration
	Clock           sesameclock.Clock
	Log             *sesamelog.Logger
	// Contention says by what waiting work is ordered; empty means by order.
	Contention sesamecontention.Policy
	// Size is that of this process, and Peers lists the others; see succession. Peers
	// may be nil.
	Size  sesamerows.Size
	Peers Peers
	// HeldEnds is how many ends of runs the planner holds before it compacts; 0 means
	// DefaultHeldEnds.
	HeldEnds int
	// Scope takes the metrics.
	Scope tally.Scope
	// Speeds says that decisions take into account how fast targets are, where
	// these clearly differ.
	Speeds bool
}

// Planner takes part in the leader election and plans while it is the leader.
type Planner struct {
	o Options
	// storeClock estimates the store's steady clock.
	storeClock sesamerows.StoreClock
	// seenLeader is the leader's row as read last. leaderSeenAt is when it was
	// first seen at that version, or when the store answered again after a
	// failed reading, on the steady clock; readingFailed says that the last
	// reading failed.
	seenLeader    leader
	leaderSeenAt  time.Duration
	readingFailed bool
	// hasPolled is true once the leader's row was read. ownFence is that of this
	// process's last term, nil before the first.
	hasPolled bool
	ownFence  *sesamerows.Fence
	// durationModels by queue outlast the terms of this process. Another
	// process learns its own.
	durationModels map[string]*durationModel
	// upkeepResumesAt is when upkeep, which has panicked, may be done again, on the
	// steady clock.
	upkeepResumesAt time.Duration
	// speeds outlasts the terms in the same way; nil without Options.Speeds.
	speeds *sesamespeed.Model
}

// leader is the row of the process that plans.
type leader struct {
	Name string `json:"name"`
	// Released says that the process has stepped down, so that another one need
	// not wait for leaderTimeout.
	Released bool `json:"released,omitempty"`
	// Epoch is the time of day, in Unix milliseconds, at which the store's
	// steady clock was at zero. The first leader sets it and the others keep
	// it, so that jumps of a process's time of day don't matter afterwards.
	Epoch int64 `json:"epoch"`
	succession

	// version is that of the row; 0 when there is none.
	version sesamerows.Version
}

// NewPlanner returns a planner that does nothing until Run is called.
func NewPlanner(o Options) *Planner {
	o.HeldEnds = cmp.Or(o.HeldEnds, DefaultHeldEnds)
	p := &Planner{
		o:          o,
		storeClock: sesamerows.NewStoreClock(o.Clock),

		durationModels: map[string]*durationModel{},
	}
	if o.Speeds {
		p.speeds = sesamespeed.NewModel()
	}
	return p
}

// Run makes this process the leader whenever there is none, and plans until the
// term ends. Errors end a term and are logged. It returns nil when ctx ends.
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

// logTermEnd logs and counts the end of a term or a failed attempt to take
// over.
func (p *Planner) logTermEnd(err error) {
	p.o.Log.Emit(eventPlanningEnds, sesamelog.Fields{
		"error": err,
	})
	p.o.Scope.Counter("planner_changes").Inc(1)
}

// newView returns an empty view with the planner's options.
func (p *Planner) newView() *View {
	v := NewView(p.o.Log).withDurationModels(p.durationModels).withSpeeds(p.speeds)
	v.byValue = p.o.Contention == sesamecontention.ByValue
	v.maxUnits = maxUnits(p.o.Size.Memory)
	return v
}

// isLeaderAbsent reads the leader's row. It returns true if the row is missing,
// released, or unchanged for longer than leaderTimeout, and if this process wrote
// it, in an earlier term or before it was started again. A row that a leader has
// released for its successor counts as released for that one first, and smaller
// processes wait longer (see isFirst). Time in which the store
// didn't answer does not count, since the leader could not write then either.
// Errors are those of the store and of the decoding.
func (p *Planner) isLeaderAbsent(ctx context.Context) (bool, error) {
	row, page, err := sesamerows.ReadRow(ctx, p.o.Store, sesamework.LeaderKey())
	if err != nil {
		p.readingFailed = true
		return false, err
	}
	p.storeClock.AddSample(page.Now)
	var found leader
	if row.Version > 0 {
		if err := json.Unmarshal(sesamerows.DecodeFenceValue(row.Value), &found); err != nil {
			return false, err
		}
		found.version = row.Version
	}
	now := p.o.Clock.Steady()
	if found.version != p.seenLeader.version || p.readingFailed {
		p.seenLeader = found
		p.leaderSeenAt = now
		p.readingFailed = false
	}
	// Only the first reading goes by the name: another process may use the same.
	own := p.ownFence != nil && p.ownFence.Wrote(row) || !p.hasPolled && found.Name == p.o.Name
	p.hasPolled = true
	return p.mayTakeOver(found, own, now), nil
}

// takeOver makes this process the leader and reads all rows. If another process
// has written the leader's row since isLeaderAbsent read it, the error is a
// *sesamerows.FenceLostError. After a failed read this process steps down, so
// that another one can take over at once.
func (p *Planner) takeOver(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row := leader{
		Name:       p.o.Name,
		Epoch:      p.seenLeader.Epoch,
		succession: p.inheritSuccession(),
	}
	if row.Epoch == 0 {
		row.Epoch = p.o.Clock.Wall().UnixMilli() - p.storeClock.Now().Milliseconds()
	}
	r := &term{
		Planner:           p,
		leaderRow:         row,
		inventoryRequests: make(chan struct{}, 1),
		inventories:       make(chan inventory, 1),
		fence:             sesamerows.NewFence(p.o.Store, sesamework.LeaderKey()),
		view:              p.newView(),
		follower:          newWorkFollower(p.o.Store),
		markers:           newMarkers(),
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, err
	}
	p.ownFence = r.fence
	if err := r.fence.Take(ctx, p.seenLeader.version, value); err != nil {
		return nil, err
	}
	r.leaderValue = value
	r.leaderWrittenAt = p.o.Clock.Steady()
	r.storeSlowAt = r.leaderWrittenAt
	if err := r.whileRenewing(ctx, r.load); err != nil {
		if p.seenLeader.Successor == p.o.Name {
			r.leaderRow.avoid(p.o.Name, p.storeClock.Now())
		}
		r.stepDown()
		return nil, err
	}
	return r, nil
}
