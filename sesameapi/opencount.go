package sesameapi

import (
	"sync"
	"time"
)

// openCount is the number of a team's open jobs, as last read and with what
// this entry accepted since.
type openCount struct {
	// readLock is held by the one readLock of the store in progress.
	readLock chan struct{}

	mu        sync.Mutex
	readBegan time.Time
	count     int
	created   int
	reserved  int
}

func newOpenCount() *openCount {
	return &openCount{
		readLock: make(chan struct{}, 1),
	}
}

func (o *openCount) readBefore(t time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readBegan.IsZero() || o.readBegan.Before(t)
}

// createdJobs returns how many jobs this entry has created so far.
func (o *openCount) createdJobs() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.created
}

// setReading takes a reading that began when added jobs had been created here; jobs
// created since count on top, as the reading may have missed them.
func (o *openCount) setReading(began time.Time, stored, createdBefore int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readBegan = began
	o.count = stored + o.created - createdBefore
}

// reserve holds one place below the limit, and returns the number of jobs.
func (o *openCount) reserve(limit int) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count+o.reserved >= limit {
		return o.count + o.reserved, false
	}
	o.reserved++
	return o.count + o.reserved, true
}

// release gives the place back; a created job keeps it.
func (o *openCount) release(created bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reserved--
	if created {
		o.count++
		o.created++
	}
}
