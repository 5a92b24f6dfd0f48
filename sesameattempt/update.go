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
	// maxConflictRetries is how often a batch of updates is computed and
	// committed again after its transaction conflicted with another write.
	maxConflictRetries = 20
	// minConflictWait and maxConflictWait bound the jittered exponential
	// back-off between these retries.
	minConflictWait = 2 * time.Millisecond
	maxConflictWait = 100 * time.Millisecond
	// maxBatchUpdates is the most updates that share one transaction.
	maxBatchUpdates = 32
)

// UpdateFunc computes the new value of a job; false means no change. It may be
// called more than once for one update: the first value may be a stale cached
// one, and after a conflict the update is computed again.
type UpdateFunc func(job sesamemodel.Job) (sesamemodel.Job, bool)

// jobUpdate is an update of one job that waits to be committed.
type jobUpdate struct {
	id    sesamemodel.JobID
	apply UpdateFunc
	done  chan struct{}
	// job and err are the outcome, valid once done is closed.
	job sesamemodel.Job
	err error
}

// complete sets the outcome and wakes the caller that waits for it.
func (u *jobUpdate) complete(job sesamemodel.Job, err error) {
	u.job = job
	u.err = err
	close(u.done)
}

// UpdateJob applies the update to one job and commits the result. If the update
// ends the job's attempt, the same transaction frees the attempt's allocations
// in its cells. Updates that wait at the same time share a transaction, written
// by one of their callers. It returns the job as it is afterwards, and does not
// return earlier when the context ends. Errors are those of sesametable.Table.
func (c *RowCache) UpdateJob(ctx context.Context, id sesamemodel.JobID, update UpdateFunc) (sesamemodel.Job, error) {
	u := &jobUpdate{
		id:    id,
		apply: update,
		done:  make(chan struct{}),
	}
	c.enqueue(u)
	for {
		select {
		case <-u.done:
			return u.job, u.err
		case c.writeLock <- struct{}{}:
			// Not cancelled: the batch holds the updates of other callers too.
			c.commitPending(context.WithoutCancel(ctx))
			<-c.writeLock
		}
	}
}

// enqueue adds an update to those that wait for the next transaction.
func (c *RowCache) enqueue(u *jobUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, u)
}

// commitPending commits the waiting updates, at most maxBatchUpdates, and
// retries after conflicts, at most maxConflictRetries times. It completes each
// update with its own outcome, which may be the last error. The caller holds
// the write lock, and ctx must not be cancelled.
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
			_ = sleep(ctx, c.clock, wait.NextBackOff()) // ctx is never cancelled
			continue
		}
		for _, u := range left {
			u.complete(sesamemodel.Job{}, err)
		}
		return
	}
}

// commitOnce applies the batch's updates and commits the result once. It
// completes the updates that need no commit, and all others if the commit took
// effect; otherwise it returns those that are left and the error.
func (c *RowCache) commitOnce(ctx context.Context, batch []*jobUpdate) ([]*jobUpdate, error) {
	b := &batchBuilder{
		rows:  c,
		jobs:  map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]{},
		cells: map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]{},
	}
	var left []*jobUpdate
	for _, u := range batch {
		excluded, err := b.add(ctx, u)
		if err != nil {
			u.complete(sesamemodel.Job{}, err)
			continue
		}
		if !excluded {
			left = append(left, u)
		}
	}
	if len(left) == 0 {
		return nil, nil
	}
	if err := c.write(ctx, b.batch()); err != nil {
		return left, err
	}
	for _, u := range left {
		u.complete(b.jobs[u.id].Value, nil)
	}
	return nil, nil
}

// batchBuilder collects the changed rows that one transaction writes, each with
// the version that it is expected to have.
type batchBuilder struct {
	rows  *RowCache
	jobs  map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]
	cells map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]
}

// batch returns the collected rows in the form that the store takes.
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

// add applies one update and collects the rows that it changes. It returns true
// when the update has no part in this transaction: it changes nothing, its job
// had ended before and is written at once by itself, or it waits for the next
// transaction because this one changes its job already.
func (b *batchBuilder) add(ctx context.Context, u *jobUpdate) (bool, error) {
	if _, included := b.jobs[u.id]; included {
		b.rows.enqueue(u)
		return true, nil
	}
	before, err := b.rows.Job(ctx, u.id)
	if err != nil {
		return false, err
	}
	after, changed := u.apply(before.Value)
	if !changed {
		before, after, changed, err = b.applyToFreshRow(ctx, u)
	}
	if err != nil {
		return false, err
	}
	if !changed {
		u.complete(before.Value, nil)
		return true, nil
	}
	if before.Value.State.Ended() {
		u.complete(after, b.rows.store.Resolve(ctx, before.With(after)))
		return true, nil
	}
	if before.Value.State.Active() && !after.State.Active() {
		if err := b.release(ctx, before.Value, after.State == sesamemodel.Done); err != nil {
			return false, err
		}
	}
	b.jobs[u.id] = before.With(after)
	return false, nil
}

// applyToFreshRow reads the job's row from the store and applies the update to
// it, because the result that nothing changes may come from a stale cached row.
// It returns the row, the job's new value and whether that differs.
func (b *batchBuilder) applyToFreshRow(ctx context.Context, u *jobUpdate) (sesamestore.Versioned[sesamemodel.Job], sesamemodel.Job, bool, error) {
	b.rows.InvalidateJob(u.id)
	fresh, err := b.rows.Job(ctx, u.id)
	if err != nil {
		return fresh, fresh.Value, false, err
	}
	after, changed := u.apply(fresh.Value)
	return fresh, after, changed, nil
}

// release removes the allocations of the job's attempt from its cells. If the
// job succeeded, it also applies onSuccess to these cells.
func (b *batchBuilder) release(ctx context.Context, job sesamemodel.Job, succeeded bool) error {
	for _, id := range job.Cells() {
		cell, err := b.cell(ctx, id)
		if err != nil {
			return err
		}
		freed := cell.Value.WithoutAttempt(job.ID, job.Attempt, "")
		if len(freed.Allocations) == len(cell.Value.Allocations) && !b.hasCell(id) {
			b.rows.InvalidateCell(id) // the cached row may be older than the placement
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

// hasCell reports whether the transaction changes the cell already.
func (b *batchBuilder) hasCell(id sesamemodel.CellID) bool {
	_, ok := b.cells[id]
	return ok
}

// cell returns the cell as this transaction changes it, or else the cached or
// stored row.
func (b *batchBuilder) cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error) {
	if cell, ok := b.cells[id]; ok {
		return cell, nil
	}
	return b.rows.Cell(ctx, id)
}

// conflictBackOff returns the back-off between retries after conflicts.
func conflictBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minConflictWait
	b.MaxInterval = maxConflictWait
	return b
}

// sleep waits for d, or returns the context's error if the context ends first.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-clock.After(d):
		return nil
	}
}
