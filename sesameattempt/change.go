package sesameattempt

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

const (
	// maxConflicts is how often one change is decided anew after a conflict.
	maxConflicts = 20
	// minConflictWait and maxConflictWait bound the jittered wait between.
	minConflictWait = 2 * time.Millisecond
	maxConflictWait = 100 * time.Millisecond
	// maxChanges is how many changes share one transaction.
	maxChanges = 32
)

// Decision computes a job's next value; false means that nothing changes. It
// may be called more than once, and with an older value first.
type Decision func(job sesamemodel.Job) (sesamemodel.Job, bool)

// request is one change that waits for the write turn.
type request struct {
	id     sesamemodel.JobID
	decide Decision
	done   chan struct{}
	// job and err are the outcome, once done is closed.
	job sesamemodel.Job
	err error
}

func (r *request) end(job sesamemodel.Job, err error) {
	r.job = job
	r.err = err
	close(r.done)
}

// Change decides on one job and commits the result together with the cells
// that lose the allocations of an attempt which is over. Changes that wait at
// the same time share a transaction. It returns the job as it then is. Errors
// are those of sesametable.Table.
func (l *Ledger) Change(ctx context.Context, id sesamemodel.JobID, decide Decision) (sesamemodel.Job, error) {
	r := &request{
		id:     id,
		decide: decide,
		done:   make(chan struct{}),
	}
	l.enqueue(r)
	for {
		select {
		case <-r.done:
			return r.job, r.err
		case l.writing <- struct{}{}:
			l.serve(context.WithoutCancel(ctx))
			<-l.writing
		}
	}
}

func (l *Ledger) enqueue(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, r)
}

// serve commits the changes that wait; the caller has the write turn.
func (l *Ledger) serve(ctx context.Context) {
	l.mu.Lock()
	n := min(len(l.pending), maxChanges)
	batch := l.pending[:n]
	l.pending = l.pending[n:]
	l.mu.Unlock()
	wait := conflictBackOff()
	for try := 0; len(batch) > 0; try++ {
		next, err := l.attempt(ctx, batch)
		var conflict *sesametable.ConflictError
		if errors.As(err, &conflict) && try < maxConflicts {
			batch = next
			_ = sleep(ctx, l.clock, wait.NextBackOff()) // the context has no end
			continue
		}
		for _, r := range next {
			r.end(sesamemodel.Job{}, err)
		}
		return
	}
}

// attempt decides on the batch and commits it once. It ends the requests that
// need no commit, and all others when the commit took effect; it returns those
// that are left and why.
func (l *Ledger) attempt(ctx context.Context, batch []*request) ([]*request, error) {
	d := &draft{
		ledger: l,
		jobs:   map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]{},
		cells:  map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]{},
	}
	var left []*request
	for _, r := range batch {
		ended, err := d.add(ctx, r)
		if err != nil {
			r.end(sesamemodel.Job{}, err)
			continue
		}
		if !ended {
			left = append(left, r)
		}
	}
	if len(left) == 0 {
		return nil, nil
	}
	if err := l.write(ctx, d.batch()); err != nil {
		return left, err
	}
	for _, r := range left {
		r.end(d.jobs[r.id].Value, nil)
	}
	return nil, nil
}

// draft is a transaction that is being put together.
type draft struct {
	ledger *Ledger
	jobs   map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]
	cells  map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]
}

func (d *draft) batch() sesamestore.Batch {
	var b sesamestore.Batch
	for _, job := range d.jobs {
		b.Jobs = append(b.Jobs, job)
	}
	for _, cell := range d.cells {
		b.Cells = append(b.Cells, cell)
	}
	return b
}

// add takes in what the request decides. It returns true when the request has
// no part in the transaction: it has ended, or waits for the next one because
// this one changes its job already.
func (d *draft) add(ctx context.Context, r *request) (bool, error) {
	if _, drafted := d.jobs[r.id]; drafted {
		d.ledger.enqueue(r)
		return true, nil
	}
	before, err := d.ledger.Job(ctx, r.id)
	if err != nil {
		return false, err
	}
	after, changed := r.decide(before.Value)
	if !changed {
		before, after, changed, err = d.confirm(ctx, r)
	}
	if err != nil {
		return false, err
	}
	if !changed {
		r.end(before.Value, nil)
		return true, nil
	}
	if before.Value.State.Ended() {
		r.end(after, d.ledger.store.Resolve(ctx, before.With(after)))
		return true, nil
	}
	if before.Value.State.Active() && !after.State.Active() {
		if err := d.release(ctx, before.Value, after.State == sesamemodel.Done); err != nil {
			return false, err
		}
	}
	d.jobs[r.id] = before.With(after)
	return false, nil
}

// confirm decides on a fresh row, since the decision that nothing changes may
// rest on an old one.
func (d *draft) confirm(ctx context.Context, r *request) (sesamestore.Versioned[sesamemodel.Job], sesamemodel.Job, bool, error) {
	d.ledger.DropJob(r.id)
	fresh, err := d.ledger.Job(ctx, r.id)
	if err != nil {
		return fresh, fresh.Value, false, err
	}
	after, changed := r.decide(fresh.Value)
	return fresh, after, changed, nil
}

// release takes what the job's attempt holds out of its cells, and notes there
// what its success tells of the targets.
func (d *draft) release(ctx context.Context, job sesamemodel.Job, succeeded bool) error {
	for _, id := range job.Cells() {
		cell, err := d.cell(ctx, id)
		if err != nil {
			return err
		}
		freed := cell.Value.WithoutAttempt(job.ID, job.Attempt, "")
		if len(freed.Allocations) == len(cell.Value.Allocations) && !d.drafted(id) {
			d.ledger.DropCell(id) // the known row may be older than the placement
			if cell, err = d.cell(ctx, id); err != nil {
				return err
			}
			freed = cell.Value.WithoutAttempt(job.ID, job.Attempt, "")
		}
		if len(freed.Allocations) == len(cell.Value.Allocations) {
			continue
		}
		if succeeded {
			freed = d.ledger.succeed(freed, job)
		}
		d.cells[id] = cell.With(freed)
	}
	return nil
}

func (d *draft) drafted(id sesamemodel.CellID) bool {
	_, ok := d.cells[id]
	return ok
}

func (d *draft) cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error) {
	if cell, ok := d.cells[id]; ok {
		return cell, nil
	}
	return d.ledger.Cell(ctx, id)
}

func conflictBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minConflictWait
	b.MaxInterval = maxConflictWait
	return b
}

// sleep waits for d, or returns the context's error.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-clock.After(d):
		return nil
	}
}
