package sesameapi

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// openCountMaxAge is how long an entry uses one reading of a team's open jobs.
// It doesn't see the jobs that other entries accept meanwhile, so all entries
// together can exceed the limit by what they accept within this time.
const openCountMaxAge = time.Second

// limits enforces the rate and the number of open jobs in each team's contract.
type limits struct {
	clock  clockwork.Clock
	store  *sesamestore.Store
	region string
	mu     sync.Mutex
	teams  map[sesamemodel.TeamID]*teamLimits
}

// teamLimits is the state of one team's limits on this entry.
type teamLimits struct {
	// contractNumber is the version of the contract that bucket is set to.
	contractNumber uint64
	// bucket is the token bucket that limits the team's submissions.
	bucket   *rate.Limiter
	openJobs *openCount
}

func newLimits(clock clockwork.Clock, store *sesamestore.Store, region string) *limits {
	return &limits{
		clock:  clock,
		store:  store,
		region: region,
		teams:  map[sesamemodel.TeamID]*teamLimits{},
	}
}

// forTeam returns the limits of the contract's team, after setting them to the
// contract if it is newer.
func (l *limits) forTeam(c sesamemodel.Contract) *teamLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.teams[c.Team]
	if !ok {
		t = &teamLimits{
			contractNumber: c.Number,
			bucket:         rate.NewLimiter(rate.Limit(c.Limits.Rate), c.Limits.Burst),
			openJobs:       newOpenCount(),
		}
		l.teams[c.Team] = t
	}
	if t.contractNumber < c.Number {
		t.contractNumber = c.Number
		t.bucket.SetLimitAt(l.clock.Now(), rate.Limit(c.Limits.Rate))
		t.bucket.SetBurstAt(l.clock.Now(), c.Limits.Burst)
	}
	return t
}

// takeToken takes one token from the team's bucket on this entry. It fails with
// RateLimited, which says when the next token will be there.
func (l *limits) takeToken(c sesamemodel.Contract) error {
	t := l.forTeam(c)
	now := l.clock.Now()
	reservation := t.bucket.ReserveN(now, 1)
	if !reservation.OK() {
		return newProblem(RateLimited, fmt.Sprintf("the contract of team %q allows no submissions", c.Team))
	}
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	detail := fmt.Sprintf("team %q may submit %g a second", c.Team, c.Limits.Rate)
	return newProblem(RateLimited, detail).withRetry(delay)
}

// reserve reserves a place for one more open job of the team. It fails with
// TooManyOpen when the team has as many as its contract allows. The caller ends
// the reservation with release on the returned count.
func (l *limits) reserve(ctx context.Context, c sesamemodel.Contract) (*openCount, error) {
	count := l.forTeam(c).openJobs
	if err := l.refresh(ctx, count, c.Team); err != nil {
		return nil, err
	}
	openJobs, ok := count.reserve(c.Limits.OpenJobs)
	if !ok {
		detail := fmt.Sprintf("team %q has %d open jobs, may have %d", c.Team, openJobs, c.Limits.OpenJobs)
		return nil, newProblem(TooManyOpen, detail)
	}
	return count, nil
}

// refresh reads the team's open jobs from the store when the last reading is
// older than openCountMaxAge. Only one request reads at a time.
func (l *limits) refresh(ctx context.Context, count *openCount, team sesamemodel.TeamID) error {
	select {
	case count.readLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() {
		<-count.readLock
	}()
	if !count.readBefore(l.clock.Now().Add(-openCountMaxAge)) {
		return nil
	}
	began, createdBefore := l.clock.Now(), count.createdJobs()
	jobs, err := l.store.TeamJobs(ctx, l.region, team)
	if err != nil {
		return err
	}
	count.setReading(began, len(jobs), createdBefore)
	return nil
}

// The loads (shares of the entry's capacity, see Handler.load) from which an
// entry refuses submissions of each urgency. Urgent work of a team with
// guarantees is accepted until the entry is full.
const (
	maxBatchLoad  = 0.70
	maxNormalLoad = 0.80
	maxUrgentLoad = 0.90
	maxLoad       = 1.00
)

// shedLoad refuses the submission as Overloaded when the load (the share of the
// entry's capacity in use, 0 to 1) is too high for its urgency, so the least
// urgent submissions are refused first.
func (h *Handler) shedLoad(s submission) error {
	load := h.load()
	limit := loadLimit(s)
	if load < limit {
		return nil
	}
	detail := fmt.Sprintf("load is %.2f, %s work is accepted below %.2f", load, s.class.Urgency, limit)
	return newProblem(Overloaded, detail)
}

// loadLimit returns the load from which the submission is refused.
func loadLimit(s submission) float64 {
	switch s.class.Urgency {
	case sesamemodel.Urgent:
		if mayBeOwed(s) {
			return maxLoad
		}
		return maxUrgentLoad
	case sesamemodel.Normal:
		return maxNormalLoad
	}
	return maxBatchLoad
}

// mayBeOwed reports whether the job could be owed, that is placed within a
// guarantee of its team's contract. Jobs on executors count as owed, since
// guarantees are for workers only and executors serve jobs in order alone.
func mayBeOwed(s submission) bool {
	return s.request.Kind == sesamemodel.Executor || len(s.contract.Guarantees) > 0
}

// load is how near the entry is to its capacity, from 0 to 1: the higher of the
// load by requests in progress, without the request at hand, and the planner's.
func (h *Handler) load() float64 {
	requests := float64(h.requests.Load()-1) / float64(h.options.MaxRequests)
	return max(requests, h.backend.Load())
}
