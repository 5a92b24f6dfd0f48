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

// openCountMaxAge is how long one reading of a team's open jobs is used. Entries
// that accept at the same time can together exceed the limit by what they
// accept within it.
const openCountMaxAge = time.Second

// limits applies each team's contract to its submissions.
type limits struct {
	clock  clockwork.Clock
	store  *sesamestore.Store
	region string
	mu     sync.Mutex
	teams  map[sesamemodel.TeamID]*teamLimits
}

type teamLimits struct {
	// contractNumber is the contract's version that the bucket follows.
	contractNumber uint64
	bucket         *rate.Limiter
	openJobs       *openCount
}

func newLimits(clock clockwork.Clock, store *sesamestore.Store, region string) *limits {
	return &limits{
		clock:  clock,
		store:  store,
		region: region,
		teams:  map[sesamemodel.TeamID]*teamLimits{},
	}
}

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

// takeToken uses one of the team's submissions on this entry.
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

// reserve counts one more open job of the team, or fails when it has as many
// as it may. The caller settles the reservation with release.
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

// refresh reads the team's open jobs when the last reading is too old.
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

// The loads from which an entry turns submissions away. Urgent work of a team
// with guarantees is served as long as the entry has room at all.
const (
	maxBatchLoad  = 0.70
	maxNormalLoad = 0.80
	maxUrgentLoad = 0.90
	maxLoad       = 1.00
)

// shedLoad turns away the least urgent submissions first when the entry is near
// its bounds.
func (h *Handler) shedLoad(s submission) error {
	load := h.load()
	limit := loadLimit(s)
	if load < limit {
		return nil
	}
	detail := fmt.Sprintf("load is %.2f, %s work is accepted below %.2f", load, s.class.Urgency, limit)
	return newProblem(Overloaded, detail)
}

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

// mayBeOwed reports whether the submission can be mayBeOwed by contract: requests to
// executors are served by order alone, work on workers by guarantees.
func mayBeOwed(s submission) bool {
	return s.request.Kind == sesamemodel.Executor || len(s.contract.Guarantees) > 0
}

// load is the fullest of the entry's bounds, from 0 to 1.
func (h *Handler) load() float64 {
	requests := float64(h.requests.Load()-1) / float64(h.options.MaxRequests)
	return max(requests, h.backend.Load())
}
