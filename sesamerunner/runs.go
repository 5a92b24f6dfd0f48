package sesamerunner

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Timing of the view of runs.
const (
	// feedWait is how long one call for changes of runs waits for one.
	feedWait = time.Second
	// feedBatchDelay is the pause after a change, so that changes that follow
	// shortly come with one call: each change costs a call of every agent.
	feedBatchDelay = 20 * time.Millisecond
	// maxRunsAge is how old the view of the runs may be when a run is started:
	// with an older view the run may have been cancelled meanwhile.
	maxRunsAge = 2500 * time.Millisecond
)

// wantedRun is one task of a run that the planner has ordered from a target.
type wantedRun struct {
	task sesamework.TaskID
	run  int
	// reservation is what the task takes from the target's capacity.
	reservation sesamework.Resources
	// stopReason is why the planner wants the run stopped, empty if it doesn't.
	stopReason string
	// checkpoint is the saved state to resume from, empty for none.
	checkpoint string
	// version is that of the run's row.
	version sesamerows.Version
	// startBy is until when a start may be sent, on the store's clock; 0 means at
	// any time.
	startBy time.Duration
}

// runRow is what one row of a run holds for the targets of this node.
type runRow struct {
	// Run has only the members on those targets.
	sesamework.Run
	unit sesamework.UnitID
	// version is that of the row.
	version sesamerows.Version
}

// key returns what identifies the run on the target.
func (w wantedRun) key() runKey {
	return runKey{
		task: w.task.String(),
		run:  w.run,
	}
}

// runView holds the runs that the planner has ordered on the targets of this
// node, as last read. It follows the store's feed of changes.
type runView struct {
	store sesamerows.Store
	clock sesameclock.Clock
	log   *sesamelog.Logger
	zone  string
	// prefix is what the row names of this node's targets begin with.
	prefix string

	mu sync.Mutex
	// confirmedAt is when the last call was sent whose answer confirmed or
	// changed the view, on the steady clock; 0 before the first answer.
	confirmedAt time.Duration
	// rows holds the runs by the names of their rows; a run of a gang may have
	// several.
	rows map[string]runRow
	// evacuation is the row that says that the zone is evacuated, or its
	// tombstone; its Version is 0 when neither was read.
	evacuation sesamerows.Row
	// storeNow is the store's clock as of the newest answer, which came at
	// storeNowAt.
	storeNow   time.Duration
	storeNowAt time.Duration
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// newRuns returns a view without runs; follow adds them from the store.
func newRuns(o Options) *runView {
	return &runView{
		store:   o.Store,
		clock:   o.Clock,
		log:     o.Log,
		zone:    o.Zone,
		prefix:  sesamework.TargetKey(o.Zone, o.Node, "").Name,
		rows:    map[string]runRow{},
		changed: make(chan struct{}),
	}
}

// follow keeps the view up to date until ctx ends, and then returns nil. Failed
// calls to the store are retried.
func (r *runView) follow(ctx context.Context) error {
	part := sesamework.PlanPart
	follower := sesamerows.NewFollower(r.store, sesamerows.FollowOptions{
		Table:      sesamework.RunTable(r.zone),
		Part:       &part,
		Wait:       feedWait,
		BatchDelay: feedBatchDelay,
	})
	backoff := sesamerows.NewBackoff()
	for ctx.Err() == nil {
		asked := r.clock.Steady()
		batch, err := follower.Next(ctx)
		if err != nil {
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		r.apply(batch, asked)
	}
	return nil
}

// apply updates the view from the changed rows in b, or from all rows if b is a
// snapshot. asked is when the batch was requested, on the steady clock.
func (r *runView) apply(b sesamerows.Batch, asked time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Now > 0 {
		r.storeNow = b.Now
		r.storeNowAt = r.clock.Steady()
	}
	wasEvacuated := r.isEvacuated()
	if b.Snapshot {
		clear(r.rows)
		r.evacuation = sesamerows.Row{}
	}
	for _, row := range b.Rows {
		if row.Key == sesamework.EvacuationKey(r.zone) {
			r.setEvacuation(row)
			continue
		}
		r.set(row)
	}
	r.logEvacuation(wasEvacuated)
	r.confirmedAt = max(r.confirmedAt, asked)
	if b.Snapshot || len(b.Rows) > 0 {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// set stores the run of a row, unless a newer one is known. It drops the run when
// the row was removed or can't be decoded, or when none of its members is on a
// target of this node. The caller holds the lock.
func (r *runView) set(row sesamerows.Row) {
	if row.Version < r.rows[row.Key.Name].version {
		return
	}
	delete(r.rows, row.Key.Name)
	if row.Removed {
		return
	}
	var run sesamework.Run
	unit, _, err := sesamework.ParseRunKey(row.Key)
	if err == nil {
		err = json.Unmarshal(row.Value, &run)
	}
	if err != nil {
		r.log.Emit(eventBadRow, sesamelog.Fields{
			"row":   row.Key.String(),
			"error": err,
		})
		return
	}
	run.Members = slices.Clip(slices.DeleteFunc(run.Members, func(m sesamework.Member) bool {
		return !strings.HasPrefix(m.Target, r.prefix)
	}))
	if len(run.Members) > 0 {
		r.rows[row.Key.Name] = runRow{
			Run:     run,
			unit:    unit,
			version: row.Version,
		}
	}
}

// wantedBy returns the runs that the planner wants on one life of a target, and
// a channel that is closed at the next change. fresh is false while the view is
// older than maxRunsAge, so that nothing may be started from it.
func (r *runView) wantedBy(target string, life int64) (all []wantedRun, changed <-chan struct{}, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.rows {
		for _, m := range run.Members {
			if m.Target != target || m.Life != life {
				continue
			}
			all = append(all, wantedRun{
				task:        run.unit.Task(m.Index),
				run:         run.Number,
				reservation: run.Reservation,
				stopReason:  run.StopReason,
				checkpoint:  run.Checkpoint,
				version:     run.version,
				startBy:     time.Duration(run.StartBy) * time.Millisecond,
			})
		}
	}
	fresh = r.confirmedAt > 0 && r.clock.Steady()-r.confirmedAt < maxRunsAge
	return all, r.changed, fresh
}
