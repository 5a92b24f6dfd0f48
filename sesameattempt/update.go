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
	// maxConflictRetries is how often one change is decided anew after a conflict.
	maxConflictRetries = 20
	// minConflictWait and maxConflictWait bound the jittered wait between.
	minConflictWait = 2 * time.Millisecond
	maxConflictWait = 100 * time.Millisecond
	// maxBatchUpdates is how many changes share one transaction.
	maxBatchUpdates = 32
)

// UpdateFunc computes a job's next value; false means that nothing changes. It
// may be called more than once, and with an older value first.
type UpdateFunc func(job sesamemodel.Job) (sesamemodel.Job, bool)

// jobUpdate is one change that waits for the write turn.
type jobUpdate struct {
	id    sesamemodel.JobID
	apply UpdateFunc
	done  chan struct{}
	// job and err are the outcome, once done is closed.
	job sesamemodel.Job
	err error
}

func (r *jobUpdate) complete(job sesamemodel.Job, err error) {
	r.job = job
	r.err = err
	close(r.done)
}

// UpdateJob decides on one job and commits the result together with the cells
// that lose the allocations of an attempt which is over. Changes that wait at
// the same time share a transaction. It returns the job as it then is. Errors
// are those of sesametable.Table.
func (c *RowCache) UpdateJob(ctx context.Context, id sesamemodel.JobID, update UpdateFunc) (sesamemodel.Job, error) {
	r := &jobUpdate{
		id:    id,
		apply: update,
		done:  make(chan struct{}),
	}
	c.enqueue(r)
	for {
		select {
		case <-r.done:
			return r.job, r.err
		case c.writeLock <- struct{}{}:
			c.commitPending(context.WithoutCancel(ctx))
			<-c.writeLock
		}
	}
}

func (c *RowCache) enqueue(r *jobUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, r)
}

// commitPending commits the changes that wait; the caller holds the write lock.
func (c *RowCache) commitPending(ctx context.Context) {
	c.mu.Lock()
	n := min(len(c.pending), maxBatchUpdates)
	batch := c.pending[:n]
	c.pending = c.pending[n:]
	c.mu.Unlock()
	wait := conflictBackOff()
	for try := 0; len(batch) > 0; try++ {
		left, err := c.commitOnce(ctx, batch)
		var conflict *sesametable.ConflictError
		if errors.As(err, &conflict) && try < maxConflictRetries {
			batch = left
			_ = sleep(ctx, c.clock, wait.NextBackOff()) // the context has no end
			continue
		}
		for _, r := range left {
			r.complete(sesamemodel.Job{}, err)
		}
		return
	}
}

// commitOnce decides on the batch and commits it once. It ends the requests that
// need no commit, and all others when the commit took effect; it returns those
// that are left and why.
func (c *RowCache) commitOnce(ctx context.Context, batch []*jobUpdate) ([]*jobUpdate, error) {
	b := &batchBuilder{
		rows:  c,
		jobs:  map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]{},
		cells: map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]{},
	}
	var left []*jobUpdate
	for _, r := range batch {
		ended, err := b.add(ctx, r)
		if err != nil {
			r.complete(sesamemodel.Job{}, err)
			continue
		}
		if !ended {
			left = append(left, r)
		}
	}
	if len(left) == 0 {
		return nil, nil
	}
	if err := c.write(ctx, b.batch()); err != nil {
		return left, err
	}
	for _, r := range left {
		r.complete(b.jobs[r.id].Value, nil)
	}
	return nil, nil
}

// batchBuilder is a transaction that is being put together.
type batchBuilder struct {
	rows  *RowCache
	jobs  map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]
	cells map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]
}

func (b *batchBuilder) batch() sesamestore.Batch {
	var out sesamestore.Batch
	for _, job := range b.jobs {
		out.Jobs = append(out.Jobs, job)
	}
	for _, cell := range b.cells {
		out.Cells = append(out.Cells, cell)
	}
	return out
}

// add takes in what the request decides. It returns true when the request has
// no part in the transaction: it has ended, or waits for the next one because
// this one changes its job already.
func (b *batchBuilder) add(ctx context.Context, r *jobUpdate) (bool, error) {
	if _, included := b.jobs[r.id]; included {
		b.rows.enqueue(r)
		return true, nil
	}
	before, err := b.rows.Job(ctx, r.id)
	if err != nil {
		return false, err
	}
	after, changed := r.apply(before.Value)
	if !changed {
		before, after, changed, err = b.applyToFreshRow(ctx, r)
	}
	if err != nil {
		return false, err
	}
	if !changed {
		r.complete(before.Value, nil)
		return true, nil
	}
	if before.Value.State.Ended() {
		r.complete(after, b.rows.store.Resolve(ctx, before.With(after)))
		return true, nil
	}
	if before.Value.State.Active() && !after.State.Active() {
		if err := b.release(ctx, before.Value, after.State == sesamemodel.Done); err != nil {
			return false, err
		}
	}
	b.jobs[r.id] = before.With(after)
	return false, nil
}

// applyToFreshRow decides on a fresh row, since the decision that nothing changes may
// rest on an old one.
func (b *batchBuilder) applyToFreshRow(ctx context.Context, r *jobUpdate) (sesamestore.Versioned[sesamemodel.Job], sesamemodel.Job, bool, error) {
	b.rows.InvalidateJob(r.id)
	fresh, err := b.rows.Job(ctx, r.id)
	if err != nil {
		return fresh, fresh.Value, false, err
	}
	after, changed := r.apply(fresh.Value)
	return fresh, after, changed, nil
}

// release takes what the job's attempt holds out of its cells, and notes there
// what its success tells of the targets.
func (b *batchBuilder) release(ctx context.Context, job sesamemodel.Job, succeeded bool) error {
	for _, id := range job.Cells() {
		cell, err := b.cell(ctx, id)
		if err != nil {
			return err
		}
		freed := cell.Value.WithoutAttempt(job.ID, job.Attempt, "")
		if len(freed.Allocations) == len(cell.Value.Allocations) && !b.hasCell(id) {
			b.rows.InvalidateCell(id) // the known row may be older than the placement
			if cell, err = b.cell(ctx, id); err != nil {
				return err
			}
			freed = cell.Value.WithoutAttempt(job.ID, job.Attempt, "")
		}
		if len(freed.Allocations) == len(cell.Value.Allocations) {
			continue
		}
		if succeeded {
			freed = b.rows.onSuccess(freed, job)
		}
		b.cells[id] = cell.With(freed)
	}
	return nil
}

func (b *batchBuilder) hasCell(id sesamemodel.CellID) bool {
	_, ok := b.cells[id]
	return ok
}

func (b *batchBuilder) cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error) {
	if cell, ok := b.cells[id]; ok {
		return cell, nil
	}
	return b.rows.Cell(ctx, id)
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
