package sesameattempt

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// Store is what the row cache needs of the store.
type Store interface {
	Job(ctx context.Context, id sesamemodel.JobID) (sesamestore.Versioned[sesamemodel.Job], error)
	Cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error)
	Update(ctx context.Context, b sesamestore.Batch) error
	Resolve(ctx context.Context, job sesamestore.Versioned[sesamemodel.Job]) error
}

// RowCache keeps the newest versions of jobs and cells that this entry has seen
// and commits changes of them. The rows in the table decide: a change that
// started from an old version conflicts, and is decided anew from fresh rows.
type RowCache struct {
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

// NewRowCache returns a row cache that has seen nothing yet.
func NewRowCache(store Store, clock clockwork.Clock, onSuccess SuccessFunc) *RowCache {
	return &RowCache{
		store:     store,
		clock:     clock,
		onSuccess: onSuccess,
		writeLock: make(chan struct{}, 1),
		jobs:      map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]{},
		cells:     map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]{},
	}
}

// CacheJob keeps the job if it is newer than what is known.
func (c *RowCache) CacheJob(job sesamestore.Versioned[sesamemodel.Job]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := job.Value.ID
	if job.Value.State.Ended() {
		delete(c.jobs, id)
		return
	}
	if known, ok := c.jobs[id]; !ok || known.Version < job.Version {
		c.jobs[id] = job
	}
}

// CacheCell keeps the cell if it is newer than what is known.
func (c *RowCache) CacheCell(cell sesamestore.Versioned[sesamemodel.Cell]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := cell.Value.ID
	if known, ok := c.cells[id]; !ok || known.Version < cell.Version {
		c.cells[id] = cell
	}
}

// InvalidateJob forgets the job, so that the next use reads its row.
func (c *RowCache) InvalidateJob(id sesamemodel.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, id)
}

// InvalidateCell forgets the cell, so that the next use reads its row.
func (c *RowCache) InvalidateCell(id sesamemodel.CellID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cells, id)
}

// invalidate forgets every row that the batch touches.
func (c *RowCache) invalidate(b sesamestore.Batch) {
	for _, job := range b.Jobs {
		c.InvalidateJob(job.Value.ID)
	}
	for _, cell := range b.Cells {
		c.InvalidateCell(cell.Value.ID)
	}
}

// Job returns the job as known, or reads it.
func (c *RowCache) Job(ctx context.Context, id sesamemodel.JobID) (sesamestore.Versioned[sesamemodel.Job], error) {
	c.mu.Lock()
	known, ok := c.jobs[id]
	c.mu.Unlock()
	if ok {
		return known, nil
	}
	job, err := c.store.Job(ctx, id)
	if err == nil {
		c.CacheJob(job)
	}
	return job, err
}

// CachedJob returns the job as last seen, without reading it.
func (c *RowCache) CachedJob(id sesamemodel.JobID) (sesamemodel.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.jobs[id]
	return job.Value, ok
}

// Cell returns the cell as known, or reads it.
func (c *RowCache) Cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error) {
	c.mu.Lock()
	known, ok := c.cells[id]
	c.mu.Unlock()
	if ok {
		return known, nil
	}
	cell, err := c.store.Cell(ctx, id)
	if err == nil {
		c.CacheCell(cell)
	}
	return cell, err
}

// Commit writes the batch and keeps what it wrote. After any error but one
// that says that nothing took effect, the rows are forgotten, to be read anew.
// The batch is computed under the cache's write lock, so that no other change
// of this process comes between. An empty batch is not written.
func (c *RowCache) Commit(ctx context.Context, compute func() (sesamestore.Batch, error)) (sesamestore.Batch, error) {
	select {
	case c.writeLock <- struct{}{}:
	case <-ctx.Done():
		return sesamestore.Batch{}, ctx.Err()
	}
	defer func() {
		<-c.writeLock
	}()
	b, err := compute()
	if err != nil || len(b.Jobs)+len(b.Cells) == 0 {
		return b, err
	}
	return b, c.write(ctx, b)
}

// write commits the batch; the caller holds the write lock.
func (c *RowCache) write(ctx context.Context, b sesamestore.Batch) error {
	if err := c.store.Update(ctx, b); err != nil {
		c.invalidate(b)
		return err
	}
	for _, job := range b.Jobs {
		job.Version++
		c.CacheJob(job)
	}
	for _, cell := range b.Cells {
		cell.Version++
		c.CacheCell(cell)
	}
	return nil
}

// NewerCells returns the cells that are known at newer versions than given.
func (c *RowCache) NewerCells(versions map[sesamemodel.CellID]uint64) []sesamestore.Versioned[sesamemodel.Cell] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newer(versions, c.cells)
}

// NewerJobs returns the jobs that are known at newer versions than given.
func (c *RowCache) NewerJobs(versions map[sesamemodel.JobID]uint64) []sesamestore.Versioned[sesamemodel.Job] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newer(versions, c.jobs)
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
func (c *RowCache) CommitCell(ctx context.Context, cell sesamestore.Versioned[sesamemodel.Cell]) error {
	_, err := c.Commit(ctx, func() (sesamestore.Batch, error) {
		return sesamestore.Batch{
			Cells: []sesamestore.Versioned[sesamemodel.Cell]{cell},
		}, nil
	})
	return err
}
