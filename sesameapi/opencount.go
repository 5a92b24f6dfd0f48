package sesameapi

import (
	"sync"
	"time"
)

// openCount counts a team's open (not ended) jobs: the number last read from
// the store plus the jobs that this entry created since.
type openCount struct {
	// readLock holds a value while a request reads the store, so that only
	// one does at a time.
	readLock chan struct{}

	mu sync.Mutex
	// readBegan is when the last reading of the store began.
	readBegan time.Time
	// count is the team's open jobs as far as this entry knows.
	count int
	// created is the number of jobs that this entry has ever created.
	created int
	// reserved is the number of submissions that are being written.
	reserved int
}

// newOpenCount returns a count that has no reading of the store yet.
func newOpenCount() *openCount {
	return &openCount{
		readLock: make(chan struct{}, 1),
	}
}

// readBefore reports whether the last reading began before t, or there was none.
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

// setReading takes the number of open jobs that a reading of the store found.
// createdBefore is the value of createdJobs when the reading began: jobs created
// since are added, because the reading may have missed them.
func (o *openCount) setReading(began time.Time, stored, createdBefore int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readBegan = began
	o.count = stored + o.created - createdBefore
}

// reserve holds a place for one more job unless the open jobs and reservations
// have reached the limit. It returns their number, with the new reservation if
// there is one, and whether the place was reserved.
func (o *openCount) reserve(limit int) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count+o.reserved >= limit {
		return o.count + o.reserved, false
	}
	o.reserved++
	return o.count + o.reserved, true
}

// release ends a reservation; created says whether its job was created, which
// then counts as open.
func (o *openCount) release(created bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reserved--
	if created {
		o.count++
		o.created++
	}
}
