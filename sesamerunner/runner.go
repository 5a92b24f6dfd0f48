package sesamerunner

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Options are what a Runner needs.
type Options struct {
	// Node is the machine's name and Zone its availability zone.
	Node  string
	Zone  string
	Store sesamerows.Store
	// Dial returns the way to one life of a target.
	Dial  func(address, id string) Executor
	Clock sesameclock.Clock
	Log   *sesamelog.Logger
	Scope tally.Scope
	// MaxLease is the longest lease that targets grant.
	MaxLease time.Duration
}

// Runner serves the targets beside it.
type Runner struct {
	o    Options
	runs *runView
	// newSessions hands new sessions to Run, which owns their goroutines.
	newSessions chan *session
	// specifications caches what jobs' tasks are told to run, by job.
	specifications *lru.Cache[string, string]

	mu       sync.Mutex
	sessions map[string]*session
}

// maxNewSessions bounds the sessions that wait to begin.
const maxNewSessions = 16

// maxSpecifications bounds the cached specifications, of 4 KB each at most.
const maxSpecifications = 512

// New returns a runner; Run makes it work.
func New(o Options) *Runner {
	specifications, err := lru.New[string, string](maxSpecifications)
	if err != nil {
		panic(err)
	}
	return &Runner{
		specifications: specifications,
		o:              o,
		runs:           newRuns(o),
		newSessions:    make(chan *session, maxNewSessions),
		sessions:       map[string]*session{},
	}
}

// Run serves targets until ctx ends. It begins with those that the store says
// were served from here.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return r.runs.follow(ctx)
	})
	group.Go(func() error {
		return r.resume(ctx)
	})
	group.Go(func() error {
		for {
			select {
			case s := <-r.newSessions:
				group.Go(func() error {
					return s.run(ctx)
				})
			case <-ctx.Done():
				return nil
			}
		}
	})
	return group.Wait()
}

// resume begins sessions with the targets that an earlier process served.
func (r *Runner) resume(ctx context.Context) error {
	key := sesamework.TargetKey(r.o.Zone, r.o.Node, "")
	backoff := sesamerows.NewBackoff()
	for ctx.Err() == nil {
		page, err := sesamerows.ReadAll(ctx, r.o.Store, sesamerows.Range{
			Table: key.Table,
			Part:  key.Part,
			From:  key.Name,
			To:    strings.TrimSuffix(key.Name, "/") + "0",
		})
		if err != nil {
			backoff.Wait(ctx)
			continue
		}
		for _, row := range page.Rows {
			r.resumeRow(row)
		}
		return nil
	}
	return nil
}

func (r *Runner) resumeRow(row sesamerows.Row) {
	var t sesamework.Target
	if err := json.Unmarshal(sesamerows.DecodeFenceValue(row.Value), &t); err != nil {
		r.o.Log.Emit(eventBadRow, sesamelog.Fields{
			"row":   row.Key.String(),
			"error": err,
		})
		return
	}
	if t.State == sesamework.TargetGone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.sessions[t.ID]; !ok {
		r.add(Report{
			ID:           t.ID,
			Service:      t.Service,
			Address:      t.Address,
			Rack:         t.Rack,
			Labels:       t.Labels,
			Capacity:     t.Capacity,
			Draining:     t.State == sesamework.TargetDraining,
			MinRemaining: time.Duration(t.MinRemaining) * time.Millisecond,
			Life:         t.Life,
		})
	}
}

// Report takes what a target says of itself. It returns at once, and false for
// a report that is older than what is known.
func (r *Runner) Report(report Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.sessions[report.ID]
	if ok && s.isStale(report) {
		r.o.Log.Emit(eventStale, sesamelog.Fields{
			"target":   report.ID,
			"life":     report.Life,
			"sequence": report.Sequence,
		})
		return false
	}
	if ok && s.life() == report.Life {
		s.update(report)
		return true
	}
	if ok {
		s.finish("another life of the target reports")
	}
	r.add(report)
	return true
}

// add begins a session; the caller holds the lock.
func (r *Runner) add(report Report) {
	s := newSession(r, report)
	select {
	case r.newSessions <- s:
		r.sessions[report.ID] = s
	default:
		// The next report of the target tries again.
		r.o.Log.Emit(eventSessionEnd, sesamelog.Fields{
			"target": report.ID,
			"reason": "too many sessions begin at once",
		})
	}
}

// EndSession takes note that a target has ended.
func (r *Runner) EndSession(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sessions[id]; ok {
		s.finish("target has left")
	}
}

// dropSession drops a session that has ended for good.
func (r *Runner) dropSession(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[s.id] == s {
		delete(r.sessions, s.id)
	}
}
