package sesamedispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// renewInterval is how often the planning process writes its row when it
	// has nothing else to write.
	renewInterval = 500 * time.Millisecond
	// watchInterval is how often others read that row.
	watchInterval = 500 * time.Millisecond
	// silenceToTakeOver is how long the row may stay as it is before another
	// process plans. Taking over is safe at any time, and only costs reading.
	silenceToTakeOver = 1500 * time.Millisecond
	// commitTimeout bounds the repetition of one write; then the process
	// gives up planning and reads all anew.
	commitTimeout = 3 * time.Second
	// tick is the longest pause between two decisions: due times and silent
	// targets come without a change of a row.
	tick = 100 * time.Millisecond
	// feedWait is how long one call for changes waits.
	feedWait = time.Second
	// feedRing bounds the batches that wait for the planner.
	feedRing = 16
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
	o        Options
	storeNow sesamerows.Timekeeper
	seen     leader
	seenAt   time.Duration
}

// leader is the row of the planning process.
type leader struct {
	Name string `json:"name"`
	// Released says that the process has stopped planning.
	Released bool `json:"released,omitempty"`
	// Noon is the time of day, in Unix milliseconds, at which the store's
	// steady clock stood at zero. The first planner sets it; jumps of a
	// process's time of day don't matter after that.
	Noon int64 `json:"noon"`

	version sesamerows.Version
}

// NewPlanner returns a planner; Run makes it work.
func NewPlanner(o Options) *Planner {
	return &Planner{
		o:        o,
		storeNow: sesamerows.NewTimekeeper(o.Clock),
	}
}

// Run plans whenever no other process does, until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		vacant, err := p.isVacant(ctx)
		if err != nil || !vacant {
			sesamerows.Sleep(ctx, watchInterval)
			continue
		}
		reign, err := p.takeOver(ctx)
		if err != nil {
			p.yields(err)
			sesamerows.Sleep(ctx, watchInterval)
			continue
		}
		err = reign.run(ctx)
		p.yields(err)
		reign.release()
	}
	return nil
}

func (p *Planner) yields(err error) {
	p.o.Log.Emit(eventYields, sesamelog.Fields{
		"error": err,
	})
	p.o.Scope.Counter("planner_changes").Inc(1)
}

// isVacant reads the leader's row and reports whether nobody seems to plan.
func (p *Planner) isVacant(ctx context.Context) (bool, error) {
	key := sesamework.LeaderKey()
	page, err := p.o.Store.Read(ctx, sesamerows.Range{
		Table: key.Table,
		Part:  key.Part,
	})
	if err != nil {
		return false, err
	}
	p.storeNow.Heard(page.Now)
	var found leader
	if len(page.Rows) > 0 {
		row := page.Rows[0]
		if err := json.Unmarshal(sesamerows.Open(row.Value), &found); err != nil {
			return false, err
		}
		found.version = row.Version
	}
	now := p.o.Clock.Steady()
	if found.version != p.seen.version {
		p.seen = found
		p.seenAt = now
	}
	return found.version == 0 || found.Released || now-p.seenAt > silenceToTakeOver, nil
}

// takeOver makes this process the planner and reads all rows.
func (p *Planner) takeOver(ctx context.Context) (*reign, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	row := leader{
		Name: p.o.Name,
		Noon: p.seen.Noon,
	}
	if row.Noon == 0 {
		row.Noon = p.o.Clock.Wall().UnixMilli() - p.storeNow.Now().Milliseconds()
	}
	r := &reign{
		Planner:   p,
		row:       row,
		questions: make(chan struct{}, 1),
		answers:   make(chan map[string]bool, 1),
		fence:     sesamerows.NewFence(p.o.Store, sesamework.LeaderKey()),
		book:      NewBook(p.o.Log),
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
	if err := r.fence.Take(ctx, p.seen.version, value); err != nil {
		return nil, err
	}
	r.value = value
	r.wrote = p.o.Clock.Steady()
	return r, r.load(ctx)
}

// reign is the time in which this process plans.
type reign struct {
	*Planner
	row      leader
	value    []byte
	fence    *sesamerows.Fence
	book     *Book
	follower *sesamerows.Follower
	// wrote is when the leader's row was written last, and heard when the
	// feed last answered.
	wrote time.Duration
	heard time.Duration
	// questions asks for the inventory, and answers brings it.
	questions chan struct{}
	answers   chan map[string]bool
	asked     time.Duration
}

// load fills the book.
func (r *reign) load(ctx context.Context) error {
	runs, err := r.readRuns(ctx)
	if err != nil {
		return err
	}
	states, err := sesamerows.ReadAll(ctx, r.o.Store, sesamerows.Range{
		Table: sesamework.StateTable,
	})
	if err != nil {
		return err
	}
	work, err := r.follower.Next(ctx)
	if err != nil {
		return err
	}
	r.storeNow.Heard(work.Now)
	r.heard = r.o.Clock.Steady()
	r.book.Load(work.Rows, runs, states.Rows, r.now())
	r.o.Log.Emit(eventLeads, sesamelog.Fields{
		"jobs":    len(r.book.jobs),
		"targets": len(r.book.targets),
		"runs":    len(runs),
		"version": work.Version,
	})
	return nil
}

// readRuns reads the runs of all zones that ever had a target: its row, or the
// ends of its runs, lie in the zone's part.
func (r *reign) readRuns(ctx context.Context) ([]sesamerows.Row, error) {
	zones, err := r.o.Store.Parts(ctx, sesamework.WorkTable)
	if err != nil {
		return nil, err
	}
	var all []sesamerows.Row
	for _, zone := range zones {
		if zone == "" {
			continue
		}
		page, err := sesamerows.ReadAll(ctx, r.o.Store, sesamerows.Range{
			Table: sesamework.RunTable(zone),
		})
		if err != nil {
			return nil, err
		}
		all = append(all, page.Rows...)
	}
	return all, nil
}

func (r *reign) now() Now {
	store := r.storeNow.Now()
	return Now{
		Steady: r.o.Clock.Steady(),
		Store:  store,
		Wall:   r.row.Noon + store.Milliseconds(),
	}
}

// run plans until ctx ends or the process can't go on.
func (r *reign) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	batches := make(chan sesamerows.Batch, feedRing)
	group.Go(func() error {
		return r.feed(ctx, batches)
	})
	if r.o.Inventory != nil {
		group.Go(func() error {
			return r.inquire(ctx)
		})
	}
	group.Go(func() error {
		return r.plan(ctx, batches)
	})
	return group.Wait()
}

// feed hands the changes of the work table to the planning loop.
func (r *reign) feed(ctx context.Context, batches chan<- sesamerows.Batch) error {
	retry := sesamerows.NewRetry()
	for ctx.Err() == nil {
		batch, err := r.follower.Next(ctx)
		if err != nil {
			retry.Failed(ctx)
			continue
		}
		retry.Succeeded()
		select {
		case batches <- batch:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// HistoryLostError says that the feed had to read the table anew, so that the
// book has to be made anew too.
type HistoryLostError struct{}

// Error says so.
func (e *HistoryLostError) Error() string {
	return "the feed lost its history"
}

// SilentFeedError says that the feed has not answered for too long.
type SilentFeedError struct {
	For time.Duration
}

// Error says for how long.
func (e *SilentFeedError) Error() string {
	return "the feed has not answered for " + e.For.String()
}

func (r *reign) plan(ctx context.Context, batches <-chan sesamerows.Batch) error {
	for {
		r.book.SetPolicy(r.o.Policies.Current())
		if err := r.decide(ctx); err != nil {
			return err
		}
		r.ask()
		if silence := r.o.Clock.Steady() - r.heard; silence > maxFeedSilence {
			return &SilentFeedError{
				For: silence,
			}
		}
		if err := r.wait(ctx, batches); err != nil {
			return err
		}
	}
}

// wait returns once there may be something to decide.
func (r *reign) wait(ctx context.Context, batches <-chan sesamerows.Batch) error {
	timer, cancel := context.WithTimeout(ctx, tick)
	defer cancel()
	for {
		select {
		case batch := <-batches:
			news, err := r.apply(batch)
			if news || err != nil {
				return err
			}
			continue
		case live := <-r.answers:
			r.book.NoteLive(live)
		case <-r.o.Policies.Changed():
		case <-timer.Done():
		}
		return ctx.Err()
	}
}

// apply takes a batch; it reports whether that may change a decision.
func (r *reign) apply(batch sesamerows.Batch) (bool, error) {
	if batch.Whole {
		return false, &HistoryLostError{}
	}
	r.storeNow.Heard(batch.Now)
	r.heard = r.o.Clock.Steady()
	return r.book.Apply(batch.Rows, r.now()), nil
}

// release lets another process plan at once.
func (r *reign) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	row := r.row
	row.Released = true
	value, err := json.Marshal(row)
	if err == nil {
		err = r.fence.Commit(ctx, value, sesamerows.Change{})
	}
	var lost *sesamerows.LostError
	if err != nil && !errors.As(err, &lost) {
		r.o.Log.Emit(eventYields, sesamelog.Fields{
			"error": err,
		})
	}
}

// releaseTimeout bounds the last write of a planner; without it others wait
// for silenceToTakeOver.
const releaseTimeout = 500 * time.Millisecond
