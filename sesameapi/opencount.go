package sesameapi

import (
	"sync"
	"time"
)

// openCount is the number of a team's open jobs, as last read and with what
// this entry accepted since.
type openCount struct {
	// reading is held by the one reading of the store in progress.
	reading chan struct{}

	mu       sync.Mutex
	readAt   time.Time
	count    int
	created  int
	reserved int
}

func newOpenCount() *openCount {
	return &openCount{
		reading: make(chan struct{}, 1),
	}
}

func (o *openCount) older(t time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readAt.IsZero() || o.readAt.Before(t)
}

// added returns how many jobs this entry has created so far.
func (o *openCount) added() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.created
}

// set takes a reading that began when added jobs had been created here; jobs
// created since count on top, as the reading may have missed them.
func (o *openCount) set(began time.Time, count, added int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readAt = began
	o.count = count + o.created - added
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
