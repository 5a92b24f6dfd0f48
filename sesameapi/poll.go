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
	firstPoll  = time.Second
	slowPoll   = 5 * time.Second
	pollGrowth = 1.5
	pollJitter = 0.1
	// pollTimeout bounds one reading of an awaited job.
	pollTimeout = 3 * time.Second
)

// polls reads awaited jobs: one reader a job, however many wait for it.
type polls struct {
	clock   clockwork.Clock
	store   *sesamestore.Store
	most    int
	drained <-chan struct{}

	mu      sync.Mutex
	waiters int
	jobs    map[sesamemodel.JobID]*poll
}

func newPolls(clock clockwork.Clock, store *sesamestore.Store, most int, drained <-chan struct{}) *polls {
	return &polls{
		clock:   clock,
		store:   store,
		most:    most,
		drained: drained,
		jobs:    map[sesamemodel.JobID]*poll{},
	}
}

// poll is one awaited job.
type poll struct {
	waiters int
	// turn holds one token; the waiter that has it reads the job for all.
	turn chan struct{}
	// woken holds a token after a hint that the job's row changed.
	woken    chan struct{}
	interval *backoff.ExponentialBackOff

	mu sync.Mutex
	// job is the newest reading, once read is true.
	job  sesamemodel.Job
	read bool
	// failure is that of the newest try to read; nil when it succeeded.
	failure error
	// changed is closed at the next reading.
	changed chan struct{}
}

func newPoll() *poll {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = firstPoll
	interval.MaxInterval = slowPoll
	interval.Multiplier = pollGrowth
	interval.RandomizationFactor = pollJitter
	interval.Reset()
	p := &poll{
		turn:     make(chan struct{}, 1),
		woken:    make(chan struct{}, 1),
		interval: interval,
		changed:  make(chan struct{}),
	}
	p.turn <- struct{}{}
	return p
}

func (p *poll) newest() (sesamemodel.Job, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.job, p.read, p.changed
}

func (p *poll) publish(job sesamemodel.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.job = job
	p.read = true
	p.failure = nil
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *poll) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = err
}

func (p *poll) outcome() (sesamemodel.Job, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.job, p.read, p.failure
}

func (s *polls) join(id sesamemodel.JobID) (*poll, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters >= s.most {
		return nil, newProblem(Overloaded, "too many requests wait for jobs")
	}
	p, ok := s.jobs[id]
	if !ok {
		p = newPoll()
		s.jobs[id] = p
	}
	s.waiters++
	p.waiters++
	return p, nil
}

func (s *polls) leave(id sesamemodel.JobID, p *poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters--
	p.waiters--
	if p.waiters == 0 {
		delete(s.jobs, id)
	}
}

// wake makes the readers of those rows read at once.
func (s *polls) wake(keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		id := sesamemodel.JobID(key[strings.LastIndex(key, "/")+1:])
		p, ok := s.jobs[id]
		if !ok {
			continue
		}
		select {
		case p.woken <- struct{}{}:
		default:
		}
	}
}

// await returns the job once it has ended, and otherwise as it was last read
// when the wait is over or the entry stops.
func (s *polls) await(ctx context.Context, id sesamemodel.JobID, wait time.Duration) (sesamemodel.Job, error) {
	p, err := s.join(id)
	if err != nil {
		return sesamemodel.Job{}, err
	}
	defer s.leave(id, p)
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		job, read, changed := p.newest()
		if read && job.State.Ended() {
			return job, nil
		}
		select {
		case <-changed:
		case <-p.turn:
			return s.lead(ctx, id, p, timer.Chan())
		case <-timer.Chan():
			return s.last(ctx, id, p)
		case <-s.drained:
			return s.last(ctx, id, p)
		case <-ctx.Done():
			return sesamemodel.Job{}, ctx.Err()
		}
	}
}

// lead reads the job for all waiters until this one leaves, and then hands the
// turn to another.
func (s *polls) lead(ctx context.Context, id sesamemodel.JobID, p *poll, end <-chan time.Time) (sesamemodel.Job, error) {
	defer func() {
		p.turn <- struct{}{}
	}()
	if job, read, _ := p.newest(); !read || job.State.Ended() {
		job, err := s.read(ctx, id, p)
		if err != nil || job.State.Ended() {
			return job, err
		}
	}
	for {
		pause := s.clock.NewTimer(p.interval.NextBackOff())
		select {
		case <-pause.Chan():
		case <-p.woken:
		case <-end:
			pause.Stop()
			return s.last(ctx, id, p)
		case <-s.drained:
			pause.Stop()
			return s.last(ctx, id, p)
		case <-ctx.Done():
			pause.Stop()
			return sesamemodel.Job{}, ctx.Err()
		}
		pause.Stop()
		job, err := s.read(ctx, id, p)
		if err == nil && job.State.Ended() {
			return job, nil
		}
	}
}

func (s *polls) read(ctx context.Context, id sesamemodel.JobID, p *poll) (sesamemodel.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	job, err := s.store.Job(ctx, id)
	if err != nil {
		p.fail(err)
		return sesamemodel.Job{}, err
	}
	p.publish(job.Value)
	return job.Value, nil
}

// last returns the newest reading, or the failure of a later try: an old state
// is never passed off as the present one. Without either it reads the job.
func (s *polls) last(ctx context.Context, id sesamemodel.JobID, p *poll) (sesamemodel.Job, error) {
	job, read, err := p.outcome()
	if read || err != nil {
		return job, err
	}
	return s.read(ctx, id, p)
}
