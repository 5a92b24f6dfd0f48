package sesameintake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Options are what an Intake needs.
type Options struct {
	Store  sesamerows.Store
	Source PolicySource
	Clock  sesameclock.Clock
	Log    *sesamelog.Logger
	Scope  tally.Scope
}

// Intake serves callers.
type Intake struct {
	store      sesamerows.Store
	clock      sesameclock.Clock
	log        *sesamelog.Logger
	scope      tally.Scope
	policies   *Policies
	states     *states
	storeClock sesamerows.StoreClock
}

// New returns an intake; Run keeps its views up to date.
func New(o Options) *Intake {
	return &Intake{
		store:      o.Store,
		clock:      o.Clock,
		log:        o.Log,
		scope:      o.Scope,
		policies:   NewPolicies(o.Source, o.Clock, o.Log),
		states:     newStates(o.Log),
		storeClock: sesamerows.NewStoreClock(o.Clock),
	}
}

// Policies returns the policies in force here.
func (in *Intake) Policies() *Policies {
	return in.policies
}

// Run follows the store until ctx ends.
func (in *Intake) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return in.policies.Run(ctx)
	})
	group.Go(func() error {
		return in.states.run(ctx, in.store, in.storeClock)
	})
	return group.Wait()
}

// maxSilence is how old the store's last answer may be before callers are
// sent to other entries: two calls for changes with their timeouts.
const maxSilence = 3 * time.Second

// Ready returns a *NotReadyError while this process can't accept jobs.
func (in *Intake) Ready() error {
	if in.policies.Current() == nil {
		return &NotReadyError{
			Reason:     "no policy was read yet",
			RetryAfter: time.Second,
		}
	}
	if age := in.policies.Age(); in.policies.isStoreLost() || age > maxSilence {
		return &NotReadyError{
			Reason:     "the store has not answered for " + age.Round(time.Millisecond).String(),
			RetryAfter: time.Second,
		}
	}
	return nil
}

// Admission says what a caller may use.
type Admission struct {
	Queue sesamework.Queue
	Team  string
	// Key is the caller's access key, which newer policies may withdraw.
	Key    string
	Policy *sesamework.Policy
}

// LimitWait returns how long a caller that waits for so long may be kept waiting.
func (a Admission) LimitWait(asked time.Duration) time.Duration {
	if a.Queue.Timeout > 0 {
		return min(asked, a.Queue.Timeout)
	}
	return asked
}

// Admit returns what the access key may do at the path. Errors are a
// *NotReadyError, *NoQueueError or *UnknownKeyError.
func (in *Intake) Admit(host, path, key string) (Admission, error) {
	policy := in.policies.Current()
	if policy == nil {
		return Admission{}, in.Ready()
	}
	queue, ok := policy.Route(host, path)
	if !ok {
		return Admission{}, &NoQueueError{
			Host: host,
			Path: path,
		}
	}
	team, known := policy.TeamByKey(key)
	if !known && !queue.Public {
		return Admission{}, &UnknownKeyError{}
	}
	return Admission{
		Queue:  queue,
		Team:   team.Name,
		Key:    key,
		Policy: policy,
	}, nil
}

// State returns the state of a job. Errors are a *MissingError and those of
// Store.Read.
func (in *Intake) State(ctx context.Context, a Admission, id string) (sesamework.JobState, error) {
	found, err := in.lookup(ctx, a, id)
	return found.State, err
}

func (in *Intake) lookup(ctx context.Context, a Admission, id string) (sesamework.JobStatus, error) {
	found, ok := in.states.get(id)
	if !ok {
		var err error
		if found, err = in.readState(ctx, id); err != nil {
			return sesamework.JobStatus{}, err
		}
	}
	if found.Queue != a.Queue.Name || isOtherTeam(found.Team, a.Team) {
		return sesamework.JobStatus{}, &JobNotFoundError{
			ID: id,
		}
	}
	return found, nil
}

// isOtherTeam reports whether the job is another team's.
func isOtherTeam(owner, caller string) bool {
	return owner != "" && caller != "" && owner != caller
}

func (in *Intake) readState(ctx context.Context, id string) (sesamework.JobStatus, error) {
	for _, part := range []string{sesamework.EntryPart, sesamework.PlanPart} {
		_, page, err := sesamerows.ReadRow(ctx, in.store, sesamework.StateKey(part, id))
		if err != nil {
			return sesamework.JobStatus{}, err
		}
		in.states.apply(sesamerows.Batch{
			Rows: page.Rows,
		})
	}
	found, ok := in.states.get(id)
	if !ok {
		return sesamework.JobStatus{}, &JobNotFoundError{
			ID: id,
		}
	}
	return found, nil
}

// QueuedJobs returns how many accepted jobs of a queue no task has started of.
func (in *Intake) QueuedJobs(queue string) int {
	return in.states.queuedJobs(queue)
}

// Cancel accepts the cancelling of a job. Errors are a *MissingError and those
// of Store.Commit.
func (in *Intake) Cancel(ctx context.Context, a Admission, id string) error {
	found, err := in.lookup(ctx, a, id)
	if err != nil || found.State.Ended() {
		return err
	}
	_, err = sesamerows.CommitWithRetry(ctx, in.store, sesamerows.Transaction{
		Writes: []sesamerows.Write{{
			Key:   sesamework.CancelKey(id),
			Value: []byte("{}"),
		}},
	}, func(c *sesamerows.ConflictError) (sesamerows.Version, error) {
		return 0, c
	})
	if err != nil {
		return err
	}
	in.log.Emit(eventCancelled, sesamelog.Fields{
		"job":   id,
		"queue": found.Queue,
		"state": found.State,
	})
	in.count("cancelled", a)
	return nil
}

func (in *Intake) count(outcome string, a Admission) {
	in.scope.Tagged(map[string]string{
		"outcome": outcome,
		"queue":   a.Queue.Name,
		"team":    a.Team,
	}).Counter("submissions").Inc(1)
}

// RecordRefusal logs a request that got no success, so that its end can be found by
// the job's ID.
func (in *Intake) RecordRefusal(id, method string, status int, err error) {
	in.log.Emit(eventRefused, sesamelog.Fields{
		"job":    id,
		"method": method,
		"status": status,
		"error":  err,
		"age":    in.policies.Age().Milliseconds(),
	})
	in.scope.Tagged(map[string]string{
		"method": method,
	}).Counter("refusals").Inc(1)
}

// isPolicyChange reports whether the transaction failed only because another
// policy is in force now.
func isPolicyChange(err error) bool {
	return errors.HasType(err, (*policyChangedError)(nil))
}
