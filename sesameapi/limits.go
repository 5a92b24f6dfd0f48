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

// openCountAge is how long one reading of a team's open jobs is used. Entries
// that accept at the same time can together exceed the limit by what they
// accept within it.
const openCountAge = time.Second

// limits applies each team's contract to its submissions.
type limits struct {
	clock  clockwork.Clock
	store  *sesamestore.Store
	region string
	mu     sync.Mutex
	teams  map[sesamemodel.TeamID]*teamLimits
}

type teamLimits struct {
	// number is the contract's version that the bucket follows.
	number uint64
	bucket *rate.Limiter
	open   *openCount
}

func newLimits(clock clockwork.Clock, store *sesamestore.Store, region string) *limits {
	return &limits{
		clock:  clock,
		store:  store,
		region: region,
		teams:  map[sesamemodel.TeamID]*teamLimits{},
	}
}

func (l *limits) team(c sesamemodel.Contract) *teamLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.teams[c.Team]
	if !ok {
		t = &teamLimits{
			number: c.Number,
			bucket: rate.NewLimiter(rate.Limit(c.Limits.Rate), c.Limits.Burst),
			open:   newOpenCount(),
		}
		l.teams[c.Team] = t
	}
	if t.number < c.Number {
		t.number = c.Number
		t.bucket.SetLimitAt(l.clock.Now(), rate.Limit(c.Limits.Rate))
		t.bucket.SetBurstAt(l.clock.Now(), c.Limits.Burst)
	}
	return t
}

// take uses one of the team's submissions on this entry.
func (l *limits) take(c sesamemodel.Contract) error {
	t := l.team(c)
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
	count := l.team(c).open
	if err := l.refresh(ctx, count, c.Team); err != nil {
		return nil, err
	}
	found, ok := count.reserve(c.Limits.OpenJobs)
	if !ok {
		detail := fmt.Sprintf("team %q has %d open jobs, may have %d", c.Team, found, c.Limits.OpenJobs)
		return nil, newProblem(TooManyOpen, detail)
	}
	return count, nil
}

// refresh reads the team's open jobs when the last reading is too old.
func (l *limits) refresh(ctx context.Context, count *openCount, team sesamemodel.TeamID) error {
	select {
	case count.reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() {
		<-count.reading
	}()
	if !count.older(l.clock.Now().Add(-openCountAge)) {
		return nil
	}
	began, added := l.clock.Now(), count.added()
	jobs, err := l.store.TeamJobs(ctx, l.region, team)
	if err != nil {
		return err
	}
	count.set(began, len(jobs), added)
	return nil
}

// The loads from which an entry turns submissions away. Urgent work of a team
// with guarantees is served as long as the entry has room at all.
const (
	batchLoad  = 0.70
	normalLoad = 0.80
	urgentLoad = 0.90
	fullLoad   = 1.00
)

// shed turns away the least urgent submissions first when the entry is near
// its bounds.
func (h *Handler) shed(s submission) error {
	load := h.load()
	most := loadLimit(s)
	if load < most {
		return nil
	}
	detail := fmt.Sprintf("load is %.2f, %s work is accepted below %.2f", load, s.class.Urgency, most)
	return newProblem(Overloaded, detail)
}

func loadLimit(s submission) float64 {
	switch s.class.Urgency {
	case sesamemodel.Urgent:
		if owed(s) {
			return fullLoad
		}
		return urgentLoad
	case sesamemodel.Normal:
		return normalLoad
	}
	return batchLoad
}

// owed reports whether the submission can be owed by contract: requests to
// executors are served by order alone, work on workers by guarantees.
func owed(s submission) bool {
	return s.request.Kind == sesamemodel.Executor || len(s.contract.Guarantees) > 0
}

// load is the fullest of the entry's bounds, from 0 to 1.
func (h *Handler) load() float64 {
	requests := float64(h.requests.Load()-1) / float64(h.options.MaxRequests)
	return max(requests, h.backend.Load())
}
