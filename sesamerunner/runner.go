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

// Options configures a Runner.
type Options struct {
	// Node is the name of the VM and Zone its availability zone.
	Node string
	Zone string
	// Store holds the runs that the planner orders, and takes the targets' rows
	// and the ends of runs.
	Store sesamerows.Store
	// Dial returns an Executor for one life of the target with the ID at the
	// address (host:port); see Report.Life.
	Dial  func(address, id string, life int64) Executor
	Clock sesameclock.Clock
	Log   *sesamelog.Logger
	Scope tally.Scope
	// MaxLease is the longest lease that targets accept; the runner grants none
	// that is longer.
	MaxLease time.Duration
	// TargetReportInterval is how often a target reports to the runner.
	TargetReportInterval time.Duration
}

// Runner serves the targets of one node, each in a session of its own.
type Runner struct {
	o Options
	// runs holds the runs that the planner has ordered on this node, as last
	// read from the store.
	runs *runView
	// newSessions hands sessions to Run, which owns their goroutines.
	newSessions chan *session
	// specifications caches what the tasks of a job execute, by job ID.
	specifications *lru.Cache[string, string]

	mu sync.Mutex
	// sessions are the current sessions, by target ID.
	sessions map[string]*session
}

// maxNewSessions bounds the sessions (each serves one target) that wait for Run
// to start them. Above it a new one is dropped, and the target's next report
// tries again.
const maxNewSessions = 16

// maxSpecifications bounds the cached specifications, each of at most 4 KB.
const maxSpecifications = 512

// New returns a runner that serves no target until Run is called.
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

// Run serves targets until ctx ends, and then returns nil; failures are retried.
// It begins with those that the store lists for this node, which an earlier
// process served.
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

// resume begins sessions with the targets that an earlier process on this node
// served, without waiting for their reports.
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

// resumeRow begins a session with the target of a row unless the target is gone
// or has a session already.
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
		}, 0, t.Crash)
	}
}

// Report passes a target's report about itself to the target's session, and
// begins a session if the report is the first of the target's life. It doesn't
// wait for the store. It returns false for a report that is older than the newest
// one and is therefore ignored.
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
	var crash *sesamework.Crash
	if ok {
		s.finish("another life of the target reports")
		crash = s.knownCrash()
	}
	r.add(report, r.o.Clock.Steady(), crash)
	return true
}

// add begins a session with the target that sent the report; capacityAt and crash
// are those of the session. When maxNewSessions sessions wait already, it only
// logs that, and the target's next report tries again. The caller holds the lock.
func (r *Runner) add(report Report, capacityAt time.Duration, crash *sesamework.Crash) {
	s := newSession(r, report, capacityAt, crash)
	select {
	case r.newSessions <- s:
		r.sessions[report.ID] = s
	default:
		// The target's next report tries again.
		r.o.Log.Emit(eventSessionEnd, sesamelog.Fields{
			"target": report.ID,
			"reason": "too many sessions begin at once",
		})
	}
}

// EndSession ends the session with the target of that ID, which is shutting
// down. Without a session it does nothing.
func (r *Runner) EndSession(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sessions[id]; ok {
		s.finish("target has left")
	}
}

// dropSession removes an ended session, unless the target has a new one.
func (r *Runner) dropSession(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[s.id] == s {
		delete(r.sessions, s.id)
	}
}
