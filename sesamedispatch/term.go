package sesamedispatch

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// term is one period in which this process is the leader.
type term struct {
	*Planner
	// leaderRow is the leader's row as this process wrote it, and leaderValue
	// its JSON. The fence writes it with each transaction, under the condition
	// that no other process has written it since.
	leaderRow   leader
	leaderValue []byte
	fence       *sesamerows.Fence
	view        *View
	// viewVersion is the store's version up to which the feed has brought the
	// changes in the view.
	viewVersion sesamerows.Version
	follower    *sesamerows.Follower
	// rebuiltVersion is that of the work table from which the view was rebuilt
	// last, 0 before. The feed goes on from an earlier version.
	rebuiltVersion sesamerows.Version
	// leaderWrittenAt is when the leader's row was written last, and
	// feedAnsweredAt when the feed answered last, on the steady clock.
	leaderWrittenAt time.Duration
	feedAnsweredAt  time.Duration
	// inventoryRequests carries requests from the planning loop, and
	// inventories what the platform answered.
	inventoryRequests chan struct{}
	inventories       chan inventory
	// inventoryRequestedAt is when the last request was made, on the steady
	// clock.
	inventoryRequestedAt time.Duration
	// markers are those of evacuated zones. evacuationsUnknown says that the
	// planner starts nothing since it doesn't know the evacuated zones.
	markers            *markers
	evacuationsUnknown bool
	// sweptAt is when rows were last swept, on the steady clock.
	sweptAt time.Duration
	// summary is that for the entries.
	summary summaryState
	// unitsReportedAt is when reportUnits last updated the metrics, on the steady
	// clock.
	unitsReportedAt time.Duration
	// successionCheckedAt is when handOver last looked for a successor, and
	// storeSlowAt when the store last answered slowly or not at all, or else when the
	// term began; both on the steady clock.
	successionCheckedAt time.Duration
	storeSlowAt         time.Duration
	// lag is that of the decisions. committing is the part of the present one that
	// commits have taken.
	lag        lag
	committing time.Duration
}

// load reads all rows and fills the view, which is still empty.
func (r *term) load(ctx context.Context) error {
	rows, err := r.readRows(ctx, r.follower)
	if err != nil {
		return err
	}
	r.fillView(rows)
	r.logView(eventPlanningBegins, rows)
	return nil
}

// whileRenewing calls read, which reads all rows, and renews the leader's row
// meanwhile: a slow store may take longer for the reading than others wait for a
// silent leader. A renewal has no conditions, so commit leaves the view, which read
// may fill, alone. It returns the first error of read or of commit.
func (r *term) whileRenewing(ctx context.Context, read func(context.Context) error) error {
	group, ctx := errgroup.WithContext(ctx)
	reading, finish := context.WithCancel(ctx)
	group.Go(func() error {
		defer finish()
		return read(ctx)
	})
	group.Go(func() error {
		return r.renewDuring(ctx, reading)
	})
	return group.Wait()
}

// renewDuring first writes what markEvacuated does. Then it renews the leader's row
// each leaderRenewInterval until the context reading ends, so that no other process
// takes over. Errors are those of commit,
// whose transactions are bounded by ctx.
func (r *term) renewDuring(ctx, reading context.Context) error {
	if err := r.markEvacuated(ctx); err != nil {
		return err
	}
	for {
		sesamerows.Sleep(reading, leaderRenewInterval)
		if reading.Err() != nil {
			return nil
		}
		if _, err := r.commit(ctx, change{}); err != nil {
			return err
		}
	}
}

// viewRows are the rows from which a view is filled.
type viewRows struct {
	// runs and states are written by planners only, but for the first state of a
	// job, which comes with the job's row. What is done of jobs is among the states.
	runs   []sesamerows.Row
	states []sesamerows.Row
	// work is a snapshot of the work table.
	work sesamerows.Batch
}

// readRows reads all rows, the work table with a follower that has read nothing
// yet. Other planners are fenced off and this one writes none but the leader's
// row meanwhile, so that the runs and states do not change while they are read.
// The work table is read last: its rows are then at least as new as those which
// led to a run, and a target or an end that they lack does not exist.
func (r *term) readRows(ctx context.Context, work *sesamerows.Follower) (viewRows, error) {
	var rows viewRows
	var err error
	if rows.runs, err = r.readRuns(ctx); err != nil {
		return rows, err
	}
	states, err := sesamerows.ReadRanges(ctx, r.o.Store, stateRanges())
	if err != nil {
		return rows, err
	}
	rows.states = states.Rows
	rows.work, err = work.Next(ctx)
	return rows, err
}

// stateRanges returns the ranges of the rows that hold the states of jobs, and what is
// done of them.
func stateRanges() []sesamerows.Range {
	ranges := []sesamerows.Range{{
		Table: sesamework.DoneTable,
		Part:  sesamework.PlanPart,
	}}
	for _, part := range append(sesamework.EntryParts(), sesamework.PlanPart) {
		ranges = append(ranges, sesamerows.Range{
			Table: sesamework.StateTable,
			Part:  part,
		})
	}
	return ranges
}

// fillView fills the empty view from the rows.
func (r *term) fillView(rows viewRows) {
	r.storeClock.AddSample(rows.work.Now)
	r.feedAnsweredAt = r.o.Clock.Steady()
	r.viewVersion = rows.work.Version
	// The policy decides whether durations are learnt by the speeds of targets.
	r.view.SetPolicy(r.o.Policies.Current())
	r.view.Load(rows.work.Rows, rows.runs, rows.states, r.now())
	r.summary.noteRead(rows.states)
}

// logView logs an event with the extent of the view and the rows from which it
// was filled. The view is up to date with the work table's version.
func (r *term) logView(event sesamelog.Event, rows viewRows) {
	r.o.Log.Emit(event, sesamelog.Fields{
		"jobs":     len(r.view.jobs),
		"targets":  len(r.view.targets),
		"units":    r.view.Units(),
		"ends":     len(r.view.ends),
		"runs":     len(rows.runs),
		"states":   len(rows.states),
		"version":  rows.work.Version,
		"parts":    rows.work.Parts,
		"replayed": rows.work.Replayed,
	})
}

// rebuild replaces the view after the feed no longer had the changes since its
// last batch. The snapshot that the feed brought instead is not used: the view
// may know newer rows from conflicts, and may have ordered runs on these. This
// process goes on as the leader.
func (r *term) rebuild(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var rows viewRows
	err := r.whileRenewing(ctx, func(ctx context.Context) (err error) {
		rows, err = r.readRows(ctx, newWorkFollower(r.o.Store))
		return err
	})
	if err != nil {
		return err
	}
	before := r.view
	r.view = r.newView()
	r.fillView(rows)
	r.view.keepObservations(before)
	r.rebuiltVersion = rows.work.Version
	r.logView(eventViewRebuilt, rows)
	return nil
}

// newWorkFollower returns a follower of the work table.
func newWorkFollower(store sesamerows.Store) *sesamerows.Follower {
	return sesamerows.NewFollower(store, sesamerows.FollowOptions{
		Table:      sesamework.WorkTable,
		Wait:       feedWait,
		BatchDelay: feedGather,
	})
}

// readRuns reads the runs of all zones that have a target. The zones are found by
// the parts of the work table: an agent writes its target's row and the ends of
// its runs into a part of its zone. The row of a target stays while a run on it
// matters (see expiredTarget), so that its zone is in the list.
func (r *term) readRuns(ctx context.Context) ([]sesamerows.Row, error) {
	parts, err := r.o.Store.Parts(ctx, sesamework.WorkTable)
	if err != nil {
		return nil, err
	}
	var ranges []sesamerows.Range
	var zones []string
	known := map[string]bool{}
	for _, part := range parts {
		zone, ok := sesamework.ZoneOf(part)
		if !ok || known[zone] {
			continue
		}
		known[zone] = true
		zones = append(zones, zone)
		ranges = append(ranges, sesamerows.Range{
			Table: sesamework.RunTable(zone),
			Part:  sesamework.PlanPart,
		})
	}
	page, err := sesamerows.ReadRanges(ctx, r.o.Store, ranges)
	if err == nil {
		r.markers.noteRead(zones, page.Rows)
	}
	return page.Rows, err
}

// now returns the present time on each of the clocks; see Now.
func (r *term) now() Now {
	store := r.storeClock.Now()
	return Now{
		Steady: r.o.Clock.Steady(),
		Store:  store,
		Wall:   r.leaderRow.Epoch + store.Milliseconds(),
	}
}

// run plans until ctx ends or an error ends the term.
func (r *term) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	batches := make(chan sesamerows.Batch, feedBuffer)
	group.Go(func() error {
		return r.followChanges(ctx, batches)
	})
	if r.o.Inventory != nil {
		group.Go(func() error {
			return r.serveInventoryRequests(ctx)
		})
	}
	group.Go(func() error {
		return r.plan(ctx, batches)
	})
	return group.Wait()
}

// followChanges sends the changes of the work table to the planning loop. It
// backs off while the store fails, and returns the error of ctx when that ends.
func (r *term) followChanges(ctx context.Context, batches chan<- sesamerows.Batch) error {
	retry := sesamerows.NewShortBackoff()
	for ctx.Err() == nil {
		batch, err := r.follower.Next(ctx)
		if err != nil {
			retry.Wait(ctx)
			continue
		}
		retry.Reset()
		batch.Rows = slices.DeleteFunc(batch.Rows, r.observeLeaderRow)
		select {
		case batches <- batch:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// observeLeaderRow reports whether the row is the leader's, which the view does
// not need. It passes the leader's row to the fence: when the answer to a commit was
// lost, the row shows that the commit has taken effect.
func (r *term) observeLeaderRow(row sesamerows.Row) bool {
	if row.Key != sesamework.LeaderKey() {
		return false
	}
	r.fence.Observe(row)
	return true
}

// plan is the planning loop: it decides, writes, and waits for changes. It
// returns the first error of updateEvacuation, decideAndWrite, handOver, wait or
// awaitFeed.
func (r *term) plan(ctx context.Context, batches <-chan sesamerows.Batch) error {
	for {
		if err := r.awaitFeed(ctx, batches); err != nil {
			return err
		}
		r.view.SetPolicy(r.o.Policies.Current())
		if err := r.updateEvacuation(ctx); err != nil {
			return err
		}
		began := r.o.Clock.Steady()
		r.committing = 0
		if err := r.decideAndWrite(ctx); err != nil {
			return err
		}
		now := r.o.Clock.Steady()
		r.lag.observe(now, now-began-r.committing)
		if err := r.handOver(); err != nil {
			return err
		}
		r.reportUnits()
		r.requestInventory()
		if err := r.wait(ctx, batches); err != nil {
			return err
		}
	}
}

// wait returns nil once a decision may change: after changed rows that matter,
// an inventory, a newer policy, or a tick without any of these. It applies all
// batches that have come by then: a view that lags behind leads to conflicts,
// and these make decisions slow. Its errors are those of apply and of ctx.
func (r *term) wait(ctx context.Context, batches <-chan sesamerows.Batch) error {
	timer, cancel := context.WithTimeout(ctx, tick)
	defer cancel()
	for {
		select {
		case batch := <-batches:
			needsDecision, err := r.applyAll(ctx, batch, batches)
			if needsDecision || err != nil {
				return err
			}
			continue
		case list := <-r.inventories:
			r.view.ApplyInventory(list)
		case <-r.o.Policies.Changed():
		case <-timer.Done():
		}
		return ctx.Err()
	}
}

// applyAll updates the view by the batch and by those that wait already. It
// reports whether that may change a decision.
func (r *term) applyAll(ctx context.Context, batch sesamerows.Batch, batches <-chan sesamerows.Batch) (bool, error) {
	needsDecision, err := r.apply(ctx, batch)
	for err == nil {
		select {
		case batch = <-batches:
			var needed bool
			needed, err = r.apply(ctx, batch)
			needsDecision = needsDecision || needed
		default:
			return needsDecision, nil
		}
	}
	return false, err
}

// apply updates the view by a batch, without the changes that the view had when
// it was rebuilt, or rebuilds it if the batch is a newer snapshot. It reports
// whether that may change a decision. Errors are those of rebuild.
func (r *term) apply(ctx context.Context, batch sesamerows.Batch) (bool, error) {
	if batch.Snapshot && batch.Version > r.rebuiltVersion {
		return true, r.rebuild(ctx)
	}
	r.storeClock.AddSample(batch.Now)
	r.feedAnsweredAt = r.o.Clock.Steady()
	r.viewVersion = max(r.viewVersion, batch.Version)
	rows := slices.DeleteFunc(slices.Clone(batch.Rows), func(row sesamerows.Row) bool {
		return row.Version <= r.rebuiltVersion
	})
	return r.view.Apply(rows, r.now()), nil
}

// stepDown releases the leader's row, so that another process can take over
// without waiting for leaderTimeout. An error is logged, unless it says that
// another process has taken over already.
func (r *term) stepDown() {
	ctx, cancel := context.WithTimeout(context.Background(), stepDownTimeout)
	defer cancel()
	row := r.leaderRow
	row.Released = true
	value, err := json.Marshal(row)
	if err == nil {
		err = r.fence.Commit(ctx, value, sesamerows.Change{})
	}
	var lost *sesamerows.FenceLostError
	if err != nil && !errors.As(err, &lost) {
		r.o.Log.Emit(eventPlanningEnds, sesamelog.Fields{
			"error": err,
		})
	}
}

// stepDownTimeout bounds the last write of a term. If it fails, others wait for
// leaderTimeout.
const stepDownTimeout = 500 * time.Millisecond
