package sesameattempt

import (
	"context"
	"sync"
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
)

// Store is what the ledger needs of the store.
type Store interface {
	Job(ctx context.Context, id sesamemodel.JobID) (sesamestore.Versioned[sesamemodel.Job], error)
	Cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error)
	Update(ctx context.Context, b sesamestore.Batch) error
	Resolve(ctx context.Context, job sesamestore.Versioned[sesamemodel.Job]) error
}

// Ledger keeps the newest versions of jobs and cells that this entry has seen
// and commits changes of them. The rows in the table decide: a change that
// started from an old version conflicts, and is decided anew from fresh rows.
type Ledger struct {
	store Store
	clock clockwork.Clock

	mu    sync.Mutex
	jobs  map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]
	cells map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]
}

// NewLedger returns a ledger that has seen nothing yet.
func NewLedger(store Store, clock clockwork.Clock) *Ledger {
	return &Ledger{
		store: store,
		clock: clock,
		jobs:  map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]{},
		cells: map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]{},
	}
}

// NoteJob keeps the job if it is newer than what is known.
func (l *Ledger) NoteJob(job sesamestore.Versioned[sesamemodel.Job]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := job.Value.ID
	if job.Value.State.Ended() {
		delete(l.jobs, id)
		return
	}
	if known, ok := l.jobs[id]; !ok || known.Version < job.Version {
		l.jobs[id] = job
	}
}

// NoteCell keeps the cell if it is newer than what is known.
func (l *Ledger) NoteCell(cell sesamestore.Versioned[sesamemodel.Cell]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := cell.Value.ID
	if known, ok := l.cells[id]; !ok || known.Version < cell.Version {
		l.cells[id] = cell
	}
}

// DropJob forgets the job, so that the next use reads its row.
func (l *Ledger) DropJob(id sesamemodel.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.jobs, id)
}

// DropCell forgets the cell, so that the next use reads its row.
func (l *Ledger) DropCell(id sesamemodel.CellID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cells, id)
}

// drop forgets every row that the batch touches.
func (l *Ledger) drop(b sesamestore.Batch) {
	for _, j := range b.Jobs {
		l.DropJob(j.Value.ID)
	}
	for _, c := range b.Cells {
		l.DropCell(c.Value.ID)
	}
}

// Job returns the job as known, or reads it.
func (l *Ledger) Job(ctx context.Context, id sesamemodel.JobID) (sesamestore.Versioned[sesamemodel.Job], error) {
	l.mu.Lock()
	known, ok := l.jobs[id]
	l.mu.Unlock()
	if ok {
		return known, nil
	}
	job, err := l.store.Job(ctx, id)
	if err == nil {
		l.NoteJob(job)
	}
	return job, err
}

// Known returns the job as last seen, without reading it.
func (l *Ledger) Known(id sesamemodel.JobID) (sesamemodel.Job, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, ok := l.jobs[id]
	return job.Value, ok
}

// Cell returns the cell as known, or reads it.
func (l *Ledger) Cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error) {
	l.mu.Lock()
	known, ok := l.cells[id]
	l.mu.Unlock()
	if ok {
		return known, nil
	}
	cell, err := l.store.Cell(ctx, id)
	if err == nil {
		l.NoteCell(cell)
	}
	return cell, err
}

// Commit writes the batch and keeps what it wrote. After any error but one
// that says that nothing took effect, the rows are forgotten, to be read anew.
func (l *Ledger) Commit(ctx context.Context, b sesamestore.Batch) error {
	if err := l.store.Update(ctx, b); err != nil {
		l.drop(b)
		return err
	}
	for _, job := range b.Jobs {
		job.Version++
		l.NoteJob(job)
	}
	for _, cell := range b.Cells {
		cell.Version++
		l.NoteCell(cell)
	}
	return nil
}

// CommitCell writes one cell; see Commit.
func (l *Ledger) CommitCell(ctx context.Context, cell sesamestore.Versioned[sesamemodel.Cell]) error {
	return l.Commit(ctx, sesamestore.Batch{
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{cell},
	})
}

// Decision computes a job's next value; false means that nothing changes.
type Decision func(job sesamemodel.Job) (sesamemodel.Job, bool)

// Change decides on one job and commits the result together with the cells
// that lose the allocations of an attempt which is over. It returns the job as
// it then is. Errors are those of sesametable.Table.
func (l *Ledger) Change(ctx context.Context, id sesamemodel.JobID, decide Decision) (sesamemodel.Job, error) {
	wait := conflictBackOff()
	for try := 0; ; try++ {
		job, err := l.tryChange(ctx, id, decide)
		var conflict *sesametable.ConflictError
		if !errors.As(err, &conflict) || try == maxConflicts {
			return job, err
		}
		if err := sleep(ctx, l.clock, wait.NextBackOff()); err != nil {
			return job, err
		}
	}
}

func (l *Ledger) tryChange(ctx context.Context, id sesamemodel.JobID, decide Decision) (sesamemodel.Job, error) {
	before, err := l.Job(ctx, id)
	if err != nil {
		return sesamemodel.Job{}, err
	}
	after, changed := decide(before.Value)
	if !changed {
		return l.confirm(ctx, before, decide)
	}
	if before.Value.State.Ended() {
		return after, l.store.Resolve(ctx, before.With(after))
	}
	b := sesamestore.Batch{
		Jobs: []sesamestore.Versioned[sesamemodel.Job]{before.With(after)},
	}
	if before.Value.State.Active() && !after.State.Active() {
		b.Cells, err = l.release(ctx, before.Value)
		if err != nil {
			return before.Value, err
		}
	}
	if err := l.Commit(ctx, b); err != nil {
		return before.Value, err
	}
	return after, nil
}

// confirm reads the row when the decision that nothing changes may rest on an
// old version of it.
func (l *Ledger) confirm(ctx context.Context, seen sesamestore.Versioned[sesamemodel.Job], decide Decision) (sesamemodel.Job, error) {
	id := seen.Value.ID
	fresh, err := l.store.Job(ctx, id)
	if err != nil {
		return seen.Value, err
	}
	l.DropJob(id)
	l.NoteJob(fresh)
	if _, changed := decide(fresh.Value); changed {
		return fresh.Value, &sesametable.ConflictError{
			Key:      sesamestore.OpenKey(id),
			Expected: seen.Version,
			Found:    fresh.Version,
		}
	}
	return fresh.Value, nil
}

// release returns the cells of the job without what its attempt held.
func (l *Ledger) release(ctx context.Context, job sesamemodel.Job) ([]sesamestore.Versioned[sesamemodel.Cell], error) {
	var cells []sesamestore.Versioned[sesamemodel.Cell]
	for _, id := range job.Cells() {
		cell, holds, err := l.freed(ctx, id, job)
		if err != nil {
			return nil, err
		}
		if !holds {
			// The known row may be older than the placement.
			l.DropCell(id)
			cell, holds, err = l.freed(ctx, id, job)
		}
		if err != nil {
			return nil, err
		}
		if holds {
			cells = append(cells, cell)
		}
	}
	return cells, nil
}

// freed returns the cell without what the job's attempt holds, and whether it
// holds anything.
func (l *Ledger) freed(ctx context.Context, id sesamemodel.CellID, job sesamemodel.Job) (sesamestore.Versioned[sesamemodel.Cell], bool, error) {
	cell, err := l.Cell(ctx, id)
	if err != nil {
		return cell, false, err
	}
	freed := cell.Value.WithoutAttempt(job.ID, job.Attempt, "")
	return cell.With(freed), len(freed.Allocations) != len(cell.Value.Allocations), nil
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
