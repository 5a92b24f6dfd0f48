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

const (
	minPollInterval = time.Second
	maxPollInterval = 5 * time.Second
	pollMultiplier  = 1.5
	pollJitter      = 0.1
	// pollReadTimeout bounds one reading of an awaited job.
	pollReadTimeout = 3 * time.Second
)

// sharedPolls reads awaited jobs: one reader a job, however many wait for it.
type sharedPolls struct {
	clock        clockwork.Clock
	store        *sesamestore.Store
	maxWaiters   int
	drainStarted <-chan struct{}

	mu      sync.Mutex
	waiters int
	jobs    map[sesamemodel.JobID]*sharedPoll
}

func newSharedPolls(clock clockwork.Clock, store *sesamestore.Store, maxWaiters int, drainStarted <-chan struct{}) *sharedPolls {
	return &sharedPolls{
		clock:        clock,
		store:        store,
		maxWaiters:   maxWaiters,
		drainStarted: drainStarted,
		jobs:         map[sesamemodel.JobID]*sharedPoll{},
	}
}

// sharedPoll is one awaited job.
type sharedPoll struct {
	waiters int
	// readerToken holds one token; the waiter that has it reads the job for all.
	readerToken chan struct{}
	// wakeup holds a token after a hint that the job's row changed.
	wakeup   chan struct{}
	interval *backoff.ExponentialBackOff

	mu sync.Mutex
	// job is the newest reading, once read is true.
	job     sesamemodel.Job
	hasRead bool
	// lastError is that of the newest try to read; nil when it succeeded.
	lastError error
	// changed is closed at the next reading.
	changed chan struct{}
}

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

func (p *sharedPoll) lastReading() (sesamemodel.Job, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.job, p.hasRead, p.changed
}

func (p *sharedPoll) publish(job sesamemodel.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.job = job
	p.hasRead = true
	p.lastError = nil
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *sharedPoll) recordError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastError = err
}

func (p *sharedPoll) lastReadingOrError() (sesamemodel.Job, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.job, p.hasRead, p.lastError
}

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

func (s *sharedPolls) leave(id sesamemodel.JobID, p *sharedPoll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters--
	p.waiters--
	if p.waiters == 0 {
		delete(s.jobs, id)
	}
}

// rowsChanged makes the readers of those rows read at once.
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

// awaitEnd returns the job once it has ended, and otherwise as it was last read
// when the wait is over or the entry stops.
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

// pollForAll reads the job for all waiters until this one leaves, and then hands the
// turn to another.
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

// latestJob returns the newest reading, or the failure of a later try: an old state
// is never passed off as the present one. Without either it reads the job.
func (s *sharedPolls) latestJob(ctx context.Context, id sesamemodel.JobID, p *sharedPoll) (sesamemodel.Job, error) {
	job, read, err := p.lastReadingOrError()
	if read || err != nil {
		return job, err
	}
	return s.readJob(ctx, id, p)
}
