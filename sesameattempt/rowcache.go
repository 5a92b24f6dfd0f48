package sesameattempt

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// Store is the part of the store that RowCache uses.
type Store interface {
	// Job and Cell read a row. If there is none, the error is a
	// *sesametable.NotFoundError.
	Job(ctx context.Context, id sesamemodel.JobID) (sesamestore.Versioned[sesamemodel.Job], error)
	Cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error)
	// Update commits the batch in one transaction.
	Update(ctx context.Context, b sesamestore.Batch) error
	// Resolve replaces the row of a job that has ended.
	Resolve(ctx context.Context, job sesamestore.Versioned[sesamemodel.Job]) error
}

// RowCache caches the newest versions of jobs and cells that this entry (a
// process that serves callers and plans) has seen, and commits changes of them.
// It relies on optimistic concurrency: the versions in the table decide, so a
// change that started from a stale version conflicts and is computed again from
// fresh rows.
type RowCache struct {
	store     Store
	clock     clockwork.Clock
	onSuccess SuccessFunc

	// writeLock holds one token while a transaction is computed and written. It
	// is a channel so that waiting for it can be part of a select.
	writeLock chan struct{}

	mu sync.Mutex
	// pending are the updates that wait for the next transaction.
	pending []*jobUpdate
	// jobs and cells have the newest rows seen, except jobs that have ended.
	jobs  map[sesamemodel.JobID]sesamestore.Versioned[sesamemodel.Job]
	cells map[sesamemodel.CellID]sesamestore.Versioned[sesamemodel.Cell]
}

// SuccessFunc returns the cell, changed by what the success of the job shows
// about the cell's targets.
type SuccessFunc func(cell sesamemodel.Cell, job sesamemodel.Job) sesamemodel.Cell

// NewRowCache returns an empty cache. onSuccess is applied to the cells of each
// job that is done.
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

// CacheJob keeps the row if it is newer than the cached one. A job that has
// ended is removed from the cache.
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

// CacheCell keeps the row if it is newer than the cached one.
func (c *RowCache) CacheCell(cell sesamestore.Versioned[sesamemodel.Cell]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := cell.Value.ID
	if known, ok := c.cells[id]; !ok || known.Version < cell.Version {
		c.cells[id] = cell
	}
}

// InvalidateJob removes the job from the cache, so that the next use reads its
// row.
func (c *RowCache) InvalidateJob(id sesamemodel.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, id)
}

// InvalidateCell removes the cell from the cache, so that the next use reads
// its row.
func (c *RowCache) InvalidateCell(id sesamemodel.CellID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cells, id)
}

// invalidate removes every row of the batch from the cache.
func (c *RowCache) invalidate(b sesamestore.Batch) {
	for _, job := range b.Jobs {
		c.InvalidateJob(job.Value.ID)
	}
	for _, cell := range b.Cells {
		c.InvalidateCell(cell.Value.ID)
	}
}

// Job returns the cached job, which may be stale, or reads it from the store.
// If there is none, the error is a *sesametable.NotFoundError.
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

// CachedJob returns the job, which may be stale, and true if it is cached. It
// never reads the store.
func (c *RowCache) CachedJob(id sesamemodel.JobID) (sesamemodel.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.jobs[id]
	return job.Value, ok
}

// Cell returns the cached cell, which may be stale, or reads it from the store.
// If there is none, the error is a *sesametable.NotFoundError.
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

// Commit writes the batch that compute returns, caches the written rows, and
// returns the batch. compute runs under the write lock, so that no other change
// of this process comes between. After an error of the write the batch's rows
// are removed from the cache, to be read again. An empty batch is not written.
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

// write commits the batch and updates the cache; the caller holds the write
// lock.
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

// NewerCells returns, for the cells in versions, the cached rows whose version
// is newer than the one given there.
func (c *RowCache) NewerCells(versions map[sesamemodel.CellID]uint64) []sesamestore.Versioned[sesamemodel.Cell] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newer(versions, c.cells)
}

// NewerJobs returns, for the jobs in versions, the cached rows whose version is
// newer than the one given there.
func (c *RowCache) NewerJobs(versions map[sesamemodel.JobID]uint64) []sesamestore.Versioned[sesamemodel.Job] {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newer(versions, c.jobs)
}

// newer returns, for the IDs in versions, the known rows whose version is newer
// than the one given there.
func newer[K comparable, T any](versions map[K]uint64, known map[K]sesamestore.Versioned[T]) []sesamestore.Versioned[T] {
	var rows []sesamestore.Versioned[T]
	for id, version := range versions {
		if row, ok := known[id]; ok && row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows
}

// CommitCell writes one cell if its row still has the version that was read.
// Errors are those of Commit.
func (c *RowCache) CommitCell(ctx context.Context, cell sesamestore.Versioned[sesamemodel.Cell]) error {
	_, err := c.Commit(ctx, func() (sesamestore.Batch, error) {
		return sesamestore.Batch{
			Cells: []sesamestore.Versioned[sesamemodel.Cell]{cell},
		}, nil
	})
	return err
}
