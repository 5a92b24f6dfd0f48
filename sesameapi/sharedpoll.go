package sesameapi

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// The interval between two readings of an awaited job grows from minPollInterval
// to maxPollInterval by pollMultiplier. Each is varied at random by up to the
// share pollJitter of itself.
const (
	minPollInterval = time.Second
	maxPollInterval = 5 * time.Second
	pollMultiplier  = 1.5
	pollJitter      = 0.1
	// pollReadTimeout bounds one reading of an awaited job.
	pollReadTimeout = 3 * time.Second
)

// sharedPolls serves long polls. The requests that wait for the same job share
// one reader, so the reads of the store don't grow with the number of waiters.
type sharedPolls struct {
	clock      clockwork.Clock
	store      *sesamestore.Store
	maxWaiters int
	// drainStarted is closed when the entry starts to drain.
	drainStarted <-chan struct{}

	mu sync.Mutex
	// waiters is the number of long polls in progress, over all jobs.
	waiters int
	// jobs are the jobs that at least one long poll waits for.
	jobs map[sesamemodel.JobID]*sharedPoll
}

// newSharedPolls returns polls without waiters, for at most maxWaiters long polls in
// progress over all jobs.
func newSharedPolls(clock clockwork.Clock, store *sesamestore.Store, maxWaiters int, drainStarted <-chan struct{}) *sharedPolls {
	return &sharedPolls{
		clock:        clock,
		store:        store,
		maxWaiters:   maxWaiters,
		drainStarted: drainStarted,
		jobs:         map[sesamemodel.JobID]*sharedPoll{},
	}
}

// sharedPoll is one job that long polls wait for, as it was last read.
type sharedPoll struct {
	// waiters is the number of long polls for the job; sharedPolls.mu guards
	// it.
	waiters int
	// readerToken holds one token. The waiter that takes it reads the job for
	// all waiters and puts it back when it leaves.
	readerToken chan struct{}
	// wakeup holds a value after a notification that the job's row changed.
	wakeup chan struct{}
	// interval gives the times between two readings.
	interval *backoff.ExponentialBackOff

	mu sync.Mutex
	// job is the job as last read; only valid if hasRead is true.
	job     sesamemodel.Job
	hasRead bool
	// lastError is the error of the last try to read; nil if it succeeded.
	lastError error
	// changed is closed and replaced after each successful reading.
	changed chan struct{}
}

// newSharedPoll returns the poll of a job that has not been read yet.
func newSharedPoll() *sharedPoll {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = minPollInterval
	interval.MaxInterval = maxPollInterval
	interval.Multiplier = pollMultiplier
	interval.RandomizationFactor = pollJitter
	interval.Reset()
	p := &sharedPoll{
		readerToken: make(chan struct{}, 1),
		wakeup:      make(chan struct{}, 1),
		interval:    interval,
		changed:     make(chan struct{}),
	}
	p.readerToken <- struct{}{}
	return p
}

// lastReading returns the job as last read, whether there was a reading, and a
// channel that is closed at the next one.
func (p *sharedPoll) lastReading() (sesamemodel.Job, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.job, p.hasRead, p.changed
}

// publish stores a reading and wakes the other waiters.
func (p *sharedPoll) publish(job sesamemodel.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.job = job
	p.hasRead = true
	p.lastError = nil
	close(p.changed)
	p.changed = make(chan struct{})
}

// recordError stores the error of a try to read, until the next reading.
func (p *sharedPoll) recordError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastError = err
}

// lastReadingOrError returns the job as last read, whether there was a reading,
// and the error of a later try.
func (p *sharedPoll) lastReadingOrError() (sesamemodel.Job, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.job, p.hasRead, p.lastError
}

// join adds a waiter for the job. It fails with Overloaded at maxWaiters.
func (s *sharedPolls) join(id sesamemodel.JobID) (*sharedPoll, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters >= s.maxWaiters {
		return nil, newProblem(Overloaded, "too many requests wait for jobs")
	}
	p, ok := s.jobs[id]
	if !ok {
		p = newSharedPoll()
		s.jobs[id] = p
	}
	s.waiters++
	p.waiters++
	return p, nil
}

// leave removes a waiter, and forgets the job after its last one.
func (s *sharedPolls) leave(id sesamemodel.JobID, p *sharedPoll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters--
	p.waiters--
	if p.waiters == 0 {
		delete(s.jobs, id)
	}
}

// rowsChanged makes the readers of the jobs with those row keys read at once. The
// last part of a job's key is its ID.
func (s *sharedPolls) rowsChanged(keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		id := sesamemodel.JobID(key[strings.LastIndex(key, "/")+1:])
		p, ok := s.jobs[id]
		if !ok {
			continue
		}
		select {
		case p.wakeup <- struct{}{}:
		default:
		}
	}
}

// awaitEnd returns the job once it has ended. If the wait is over or the entry
// drains before that, it returns the job as last read.
func (s *sharedPolls) awaitEnd(ctx context.Context, id sesamemodel.JobID, wait time.Duration) (sesamemodel.Job, error) {
	p, err := s.join(id)
	if err != nil {
		return sesamemodel.Job{}, err
	}
	defer s.leave(id, p)
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		job, read, changed := p.lastReading()
		if read && job.State.Ended() {
			return job, nil
		}
		select {
		case <-changed:
		case <-p.readerToken:
			return s.pollForAll(ctx, id, p, timer.Chan())
		case <-timer.Chan():
			return s.latestJob(ctx, id, p)
		case <-s.drainStarted:
			return s.latestJob(ctx, id, p)
		case <-ctx.Done():
			return sesamemodel.Job{}, ctx.Err()
		}
	}
}

// pollForAll reads the job at growing intervals for all its waiters. It ends when
// the job has ended or when its own wait is over, and then puts the reader token
// back for another waiter.
func (s *sharedPolls) pollForAll(ctx context.Context, id sesamemodel.JobID, p *sharedPoll, waitOver <-chan time.Time) (sesamemodel.Job, error) {
	defer func() {
		p.readerToken <- struct{}{}
	}()
	if job, read, _ := p.lastReading(); !read || job.State.Ended() {
		job, err := s.readJob(ctx, id, p)
		if err != nil || job.State.Ended() {
			return job, err
		}
	}
	for {
		pause := s.clock.NewTimer(p.interval.NextBackOff())
		select {
		case <-pause.Chan():
		case <-p.wakeup:
		case <-waitOver:
			pause.Stop()
			return s.latestJob(ctx, id, p)
		case <-s.drainStarted:
			pause.Stop()
			return s.latestJob(ctx, id, p)
		case <-ctx.Done():
			pause.Stop()
			return sesamemodel.Job{}, ctx.Err()
		}
		pause.Stop()
		job, err := s.readJob(ctx, id, p)
		if err == nil && job.State.Ended() {
			return job, nil
		}
	}
}

// readJob reads the job from the store and publishes the result or the error.
func (s *sharedPolls) readJob(ctx context.Context, id sesamemodel.JobID, p *sharedPoll) (sesamemodel.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, pollReadTimeout)
	defer cancel()
	job, err := s.store.Job(ctx, id)
	if err != nil {
		p.recordError(err)
		return sesamemodel.Job{}, err
	}
	p.publish(job.Value)
	return job.Value, nil
}

// latestJob returns the job as last read. If a later try to read it failed, it
// returns that error instead, so that an old state is never presented as the
// current one. If there was no try yet, it reads the job.
func (s *sharedPolls) latestJob(ctx context.Context, id sesamemodel.JobID, p *sharedPoll) (sesamemodel.Job, error) {
	job, read, err := p.lastReadingOrError()
	if read || err != nil {
		return job, err
	}
	return s.readJob(ctx, id, p)
}
