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
	// maxDrives bounds the attempts that are driven at the same time.
	maxDrives = 512
	// minDriveWait and maxDriveWait bound the jittered wait after a failed
	// step.
	minDriveWait = 50 * time.Millisecond
	maxDriveWait = time.Second
)

// Options is what a driver or a finisher is made of.
type Options struct {
	Rows   *RowCache
	Dialer Dialer
	// Grace is the time that a stopped task has for a checkpoint.
	Grace time.Duration
	Clock clockwork.Clock
	Log   *sesamelog.Logger
	Scope tally.Scope
	// RetryPolicy decides about repeatable jobs whose tasks failed.
	RetryPolicy sesamegang.RetryPolicy
	// OnChange is told of the jobs that were written: as they were, and as
	// they are.
	OnChange func(jobs ...sesamemodel.Job)
}

// Driver moves attempts on: it prepares, records and opens them, and stops
// those that are to end. Any entry may drive any attempt at any time: each
// step is either idempotent at the agent or a conditional write of the row.
type Driver struct {
	options Options
	members *memberClient

	ctx   context.Context
	group *errgroup.Group

	mu sync.Mutex
	// drives has true for a job whose drive must look again before it ends.
	drives map[sesamemodel.JobID]bool
	// opened has the attempts that all members confirmed to have opened.
	opened map[sesamemodel.JobID]uint32
}

// NewDriver returns a driver that drives nothing before Begin.
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

// Begin makes the drives run in the group until ctx ends.
func (d *Driver) Begin(ctx context.Context, group *errgroup.Group) {
	d.ctx = ctx
	d.group = group
}

// Drive moves the job's attempt on until the job is queued or has ended, or
// runs with every member opened.
func (d *Driver) Drive(id sesamemodel.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.drives[id]; ok {
		d.drives[id] = true
		return
	}
	if len(d.drives) >= maxDrives {
		return // the next reconciliation asks again
	}
	d.drives[id] = false
	d.group.Go(func() error {
		d.driveLoop(id)
		return nil
	})
}

// Requeue stops an attempt that has lost a target.
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

func (d *Driver) logDelay(id sesamemodel.JobID, err error) {
	d.options.Log.Emit(eventAttemptDelayed, sesamelog.Fields{
		"job":   id,
		"error": err,
	})
}

// driveLoop repeats steps until the attempt needs no more.
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

// tryEndDrive ends the drive unless it was asked for again meanwhile.
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

func (d *Driver) endDrive(id sesamemodel.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.drives, id)
}

// step moves the attempt on by one state; false means that it needs no more.
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

func (d *Driver) isOpened(job sesamemodel.Job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened[job.ID] == job.Attempt
}

func (d *Driver) forgetOpened(id sesamemodel.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.opened, id)
}

// start prepares every member, records the start, and opens the members.
func (d *Driver) start(job sesamemodel.Job) error {
	for i, a := range d.members.prepare(d.ctx, job) {
		if !a.accepted() {
			reason := fmt.Sprintf("target %q was not prepared: %s", job.Assignments[i].Target, a.reason())
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

// updateAttempt decides on the job while it is still at the same attempt.
func (d *Driver) updateAttempt(job sesamemodel.Job, update UpdateFunc) (sesamemodel.Job, error) {
	after, err := d.options.Rows.UpdateJob(d.ctx, job.ID, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		if j.Attempt != job.Attempt {
			return j, false
		}
		return update(j)
	})
	if err != nil {
		return after, err
	}
	d.options.Log.Emit(eventAttemptChanged, sesamelog.Fields{
		"job":     after.ID,
		"attempt": after.Attempt,
		"state":   after.State,
		"reason":  after.Reason,
	})
	d.options.OnChange(job, after)
	return after, nil
}

// requeueRefused stops an attempt that cannot start or go on.
func (d *Driver) requeueRefused(job sesamemodel.Job, reason string) error {
	_, err := d.updateAttempt(job, func(j sesamemodel.Job) (sesamemodel.Job, bool) {
		live := j.State == sesamemodel.Placed || j.State == sesamemodel.Running
		return j.WithStop(d.options.Clock.Now(), sesamemodel.Queued, reason), live
	})
	return err
}

// open tells every member to start. A member that refuses breaks the attempt;
// one that does not answer is told again.
func (d *Driver) open(job sesamemodel.Job) error {
	for i, a := range d.members.open(d.ctx, job) {
		if a.err != nil {
			return a.err
		}
		if !a.accepted() {
			reason := fmt.Sprintf("target %q did not open: %s", job.Assignments[i].Target, a.reason())
			return d.requeueRefused(job, reason)
		}
	}
	d.mu.Lock()
	d.opened[job.ID] = job.Attempt
	d.mu.Unlock()
	JobScope(d.options.Scope, job).Timer("submit_to_open").Record(d.options.Clock.Since(job.Submitted))
	return nil
}

// stop ends the attempt on every member, and concludes it once all have
// settled.
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

// targetLost reports whether the assignment's target was lost or its agent started
// anew, so that what it ran for the attempt has ended with its lease.
func (d *Driver) targetLost(a sesamemodel.Assignment) (bool, error) {
	cell, err := d.options.Rows.Cell(d.ctx, a.Cell)
	if err != nil {
		return false, err
	}
	target, ok := cell.Value.Target(a.Target)
	return !ok || target.Health == sesamemodel.Lost || target.Incarnation != a.Incarnation, nil
}

func driveBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minDriveWait
	b.MaxInterval = maxDriveWait
	return b
}
