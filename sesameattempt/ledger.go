package sesameattempt

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
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
	store     Store
	clock     clockwork.Clock
	onSuccess SuccessFunc

	// writeLock holds one token while a commit is computed and written.
	writeLock chan struct{}

	mu      sync.Mutex
	pending []*jobUpdate
	jobs    map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]
	cells   map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]
}

// SuccessFunc returns a cell of a job that is done, with what that tells of the
// cell's targets.
type SuccessFunc func(cell sesamemodel.Cell, job sesamemodel.Job) sesamemodel.Cell

// NewLedger returns a ledger that has seen nothing yet.
func NewLedger(store Store, clock clockwork.Clock, onSuccess SuccessFunc) *Ledger {
	return &Ledger{
		store:     store,
		clock:     clock,
		onSuccess: onSuccess,
		writeLock: make(chan struct{}, 1),
		jobs:      map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]{},
		cells:     map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]{},
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

// invalidate forgets every row that the batch touches.
func (l *Ledger) invalidate(b sesamestore.Batch) {
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
// The batch is computed under the ledger's write turn, so that no other change
// of this process comes between. An empty batch is not written.
func (l *Ledger) Commit(ctx context.Context, compute func() (sesamestore.Batch, error)) (sesamestore.Batch, error) {
	select {
	case l.writeLock <- struct{}{}:
	case <-ctx.Done():
		return sesamestore.Batch{}, ctx.Err()
	}
	defer func() {
		<-l.writeLock
	}()
	b, err := compute()
	if err != nil || len(b.Jobs)+len(b.Cells) == 0 {
		return b, err
	}
	return b, l.write(ctx, b)
}

// write commits the batch; the caller has the write turn.
func (l *Ledger) write(ctx context.Context, b sesamestore.Batch) error {
	if err := l.store.Update(ctx, b); err != nil {
		l.invalidate(b)
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

// NewerCells returns the cells that are known at newer versions than given.
func (l *Ledger) NewerCells(versions map[sesamemodel.CellID]uint64) []sesamestore.Versioned[sesamemodel.Cell] {
	l.mu.Lock()
	defer l.mu.Unlock()
	return newer(versions, l.cells)
}

// NewerJobs returns the jobs that are known at newer versions than given.
func (l *Ledger) NewerJobs(versions map[sesamemodel.JobID]uint64) []sesamestore.Versioned[sesamemodel.Job] {
	l.mu.Lock()
	defer l.mu.Unlock()
	return newer(versions, l.jobs)
}

func newer[K comparable, T any](versions map[K]uint64, known map[K]sesamestore.Versioned[T]) []sesamestore.Versioned[T] {
	var rows []sesamestore.Versioned[T]
	for id, version := range versions {
		if row, ok := known[id]; ok && row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows
}

// CommitCell writes one cell; see Commit.
func (l *Ledger) CommitCell(ctx context.Context, cell sesamestore.Versioned[sesamemodel.Cell]) error {
	_, err := l.Commit(ctx, func() (sesamestore.Batch, error) {
		return sesamestore.Batch{
			Cells: []sesamestore.Versioned[sesamemodel.Cell]{cell},
		}, nil
	})
	return err
}
