package sesameattempt

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesametable"
)

const (
	// maxDrives limits the jobs that are driven at the same time, each by a
	// goroutine.
	maxDrives = 512
	// minDriveWait and maxDriveWait bound the jittered exponential back-off
	// after a failed step.
	minDriveWait = 50 * time.Millisecond
	maxDriveWait = time.Second
)

// Options are the dependencies and settings of a driver or a finisher.
type Options struct {
	Rows   *RowCache
	Dialer Dialer
	// Grace is the time that a stopped task has to write a checkpoint.
	Grace time.Duration
	Clock clockwork.Clock
	Log   *sesamelog.Logger
	Scope tally.Scope
	// RetryPolicy decides whether a repeatable job whose tasks failed is queued
	// again or fails.
	RetryPolicy sesamegang.RetryPolicy
	// OnChange is called after each update of a job with the job as it is
	// afterwards. If the caller has the job as it was before, that comes first.
	// It is called also when nothing changed: the update then read the row anew,
	// and other readers may hold an older one.
	OnChange func(jobs ...sesamemodel.Job)
}

// Driver moves attempts from state to state: it prepares them on their targets,
// records their start, opens them, and stops those that are to end. Any entry
// (a process that serves callers and plans) may drive any attempt at any time,
// because each step is either an idempotent call to an agent or a conditional
// write of the job's row.
type Driver struct {
	options Options
	members *memberClient

	// ctx and group are set by Begin.
	ctx   context.Context
	group *errgroup.Group

	mu sync.Mutex
	// drives has the jobs that a goroutine drives. True means that Drive was
	// called again meanwhile, so the goroutine must look at the job once more
	// before it ends.
	drives map[sesamemodel.JobID]bool
	// opened has, by job, the number of the attempt that all members confirmed
	// to have opened.
	opened map[sesamemodel.JobID]uint32
}

// NewDriver returns a driver, which moves attempts from state to state. Begin
// must be called before Drive.
func NewDriver(o Options) *Driver {
	return &Driver{
		options: o,
		members: &memberClient{
			dialer: o.Dialer,
			grace:  o.Grace,
		},
		drives: map[sesamemodel.JobID]bool{},
		opened: map[sesamemodel.JobID]uint32{},
	}
}

// Begin sets the group in which Drive starts goroutines, and the context that
// ends them. It must be called before Drive.
func (d *Driver) Begin(ctx context.Context, group *errgroup.Group) {
	d.ctx = ctx
	d.group = group
}

// Drive starts a goroutine that moves the job's attempt on until the job is
// queued or has ended, or runs with every member opened. If the job is being
// driven already, that goroutine looks at it once more.
func (d *Driver) Drive(id sesamemodel.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.drives[id]; ok {
		d.drives[id] = true
		return
	}
	if len(d.drives) >= maxDrives {
		return // the next reconciliation calls Drive again
	}
	d.drives[id] = false
	d.group.Go(func() error {
		d.driveLoop(id)
		return nil
	})
}

// Requeue stops an attempt that has lost a target and queues its job again. If
// the attempt is stopping already, it only drives the stop. It does not wait
// for either.
func (d *Driver) Requeue(id sesamemodel.JobID, attempt uint32, reason string) {
	if job, ok := d.options.Rows.CachedJob(id); ok && job.State == sesamemodel.Stopping {
		d.Drive(id)
		return
	}
	d.group.Go(func() error {
		d.requeue(id, attempt, reason)
		return nil
	})
}

// requeue records that the attempt is to stop, unless it has ended or is
// stopping already, and drives the stop. An error is logged and not retried.
func (d *Driver) requeue(id sesamemodel.JobID, attempt uint32, reason string) {
	job, err := d.options.Rows.UpdateJob(d.ctx, id, func(job sesamemodel.Job) (sesamemodel.Job, bool) {
		if job.Attempt != attempt || !job.State.Active() || job.State == sesamemodel.Stopping {
			return job, false
		}
		return job.WithStop(d.options.Clock.Now(), sesamemodel.Queued, reason), true
	})
	if err != nil {
		d.logDelay(id, err)
		return
	}
	d.options.OnChange(job)
	if job.State == sesamemodel.Stopping {
		d.Drive(id)
	}
}

// logDelay logs an error that delays the job's attempt.
func (d *Driver) logDelay(id sesamemodel.JobID, err error) {
	d.options.Log.Emit(eventAttemptDelayed, sesamelog.Fields{
		"job":   id,
		"error": err,
	})
}

// driveLoop repeats steps, with a back-off after errors, until the attempt
// needs no more of them, the job no longer exists or the driver's context ends.
func (d *Driver) driveLoop(id sesamemodel.JobID) {
	wait := driveBackOff()
	for {
		more, err := d.step(id)
		var missing *sesametable.NotFoundError
		switch {
		case d.ctx.Err() != nil || errors.As(err, &missing):
			d.endDrive(id)
			return
		case err != nil:
			d.logDelay(id, err)
			if sleep(d.ctx, d.options.Clock, wait.NextBackOff()) != nil {
				d.endDrive(id)
				return
			}
		case more:
			wait.Reset()
		case d.tryEndDrive(id):
			return
		}
	}
}

// tryEndDrive removes the job from the driven ones and returns true, unless
// Drive was called again meanwhile.
func (d *Driver) tryEndDrive(id sesamemodel.JobID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drives[id] {
		d.drives[id] = false
		return false
	}
	delete(d.drives, id)
	return true
}

// endDrive removes the job from the driven ones, even if Drive was called again
// meanwhile.
func (d *Driver) endDrive(id sesamemodel.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.drives, id)
}

// step moves the attempt on by one state; false means that it needs no further
// step. After an error the step can be repeated, unless the job no longer
// exists (a *sesametable.NotFoundError).
func (d *Driver) step(id sesamemodel.JobID) (bool, error) {
	row, err := d.options.Rows.Job(d.ctx, id)
	if err != nil {
		return false, err
	}
	job := row.Value
	switch job.State {
	case sesamemodel.Placed:
		return true, d.start(job)
	case sesamemodel.Running:
		if d.isOpened(job) {
			return false, nil
		}
		return true, d.open(job)
	case sesamemodel.Stopping:
		return true, d.stop(job)
	}
	d.forgetOpened(id)
	return false, nil
}

// isOpened reports whether all members confirmed to this driver that they
// opened the job's attempt.
func (d *Driver) isOpened(job sesamemodel.Job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened[job.ID] == job.Attempt
}

// forgetOpened drops the opened attempt of a job that has no active attempt.
func (d *Driver) forgetOpened(id sesamemodel.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.opened, id)
}

// start prepares every member, records the start, and opens the members; if a
// member can't be prepared, it queues the job again. The start is recorded
// before the first member is opened, so that an attempt with a member that may
// run is never taken for one that did not start.
func (d *Driver) start(job sesamemodel.Job) error {
	for i, r := range d.members.prepare(d.ctx, job) {
		if !r.accepted() {
			reason := fmt.Sprintf("target %q was not prepared: %s", job.Assignments[i].Target, r.reason())
			return d.requeueRefused(job, reason)
		}
	}
	recorded, err := d.updateAttempt(job, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		return j.WithStart(d.options.Clock.Now()), j.State == sesamemodel.Placed
	})
	if err != nil || recorded.State != sesamemodel.Running || recorded.Attempt != job.Attempt {
		return err
	}
	return d.open(recorded)
}

// updateAttempt updates the job if it still has the same attempt. It passes the
// job as it is afterwards to OnChange and returns it, also when nothing changed,
// and logs a change.
func (d *Driver) updateAttempt(job sesamemodel.Job, update UpdateFunc) (sesamemodel.Job, error) {
	changed := false
	after, err := d.options.Rows.UpdateJob(d.ctx, job.ID, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		next := j
		changed = false
		if j.Attempt == job.Attempt {
			next, changed = update(j)
		}
		return next, changed
	})
	if err != nil {
		return after, err
	}
	if changed {
		d.options.Log.Emit(eventAttemptChanged, sesamelog.Fields{
			"job":     after.ID,
			"attempt": after.Attempt,
			"state":   after.State,
			"reason":  after.Reason,
		})
	}
	d.options.OnChange(job, after)
	return after, nil
}

// requeueRefused stops an attempt with a member that was not prepared or that
// refused to open, and queues its job again.
func (d *Driver) requeueRefused(job sesamemodel.Job, reason string) error {
	_, err := d.updateAttempt(job, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		live := j.State == sesamemodel.Placed || j.State == sesamemodel.Running
		return j.WithStop(d.options.Clock.Now(), sesamemodel.Queued, reason), live
	})
	return err
}

// open tells every member to start its tasks. If a member refuses, the attempt
// is stopped and the job queued again. If a call fails, its error is returned,
// so that the driver repeats the calls after a back-off.
func (d *Driver) open(job sesamemodel.Job) error {
	for i, r := range d.members.open(d.ctx, job) {
		if r.err != nil {
			return r.err
		}
		if !r.accepted() {
			reason := fmt.Sprintf("target %q did not open: %s", job.Assignments[i].Target, r.reason())
			return d.requeueRefused(job, reason)
		}
	}
	d.mu.Lock()
	d.opened[job.ID] = job.Attempt
	d.mu.Unlock()
	JobScope(d.options.Scope, job).Timer("submit_to_open").Record(d.options.Clock.Since(job.Submitted))
	return nil
}

// stop stops the attempt on every member and, once all have settled (no task
// runs and none ever will), moves the job to the state that follows. Until then
// it returns an *UnsettledError.
func (d *Driver) stop(job sesamemodel.Job) error {
	reports := d.members.stop(d.ctx, job)
	for i, a := range job.Assignments {
		lost, err := d.targetLost(a)
		if err != nil {
			return err
		}
		reports[i].TargetLost = lost
	}
	settled := false
	after, err := d.updateAttempt(job, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		if j.State != sesamemodel.Stopping {
			return j, false
		}
		var next sesamemodel.Job
		next, settled = sesamegang.Conclude(d.options.Clock.Now(), j, reports, d.options.RetryPolicy)
		return next, settled
	})
	if err != nil {
		return err
	}
	if after.State == sesamemodel.Stopping && !settled {
		return &UnsettledError{
			Job:     job.ID,
			Attempt: job.Attempt,
		}
	}
	return nil
}

// targetLost reports whether the assignment's target was lost or its agent
// restarted. What the target ran for the attempt has then ended with its lease.
func (d *Driver) targetLost(a sesamemodel.Assignment) (bool, error) {
	cell, err := d.options.Rows.Cell(d.ctx, a.Cell)
	if err != nil {
		return false, err
	}
	target, ok := cell.Value.Target(a.Target)
	return !ok || target.Health == sesamemodel.Lost || target.Incarnation != a.Incarnation, nil
}

// driveBackOff returns the back-off between failed steps of one job.
func driveBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minDriveWait
	b.MaxInterval = maxDriveWait
	return b
}
