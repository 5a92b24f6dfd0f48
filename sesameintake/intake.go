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

// Options configures an Intake.
type Options struct {
	// Store holds the jobs, and Source supplies the policies.
	Store  sesamerows.Store
	Source PolicySource
	Clock  sesameclock.Clock
	Log    *sesamelog.Logger
	Scope  tally.Scope
}

// Intake accepts, cancels and looks up jobs for callers.
type Intake struct {
	store    sesamerows.Store
	clock    sesameclock.Clock
	log      *sesamelog.Logger
	scope    tally.Scope
	policies *Policies
	states   *states
	// storeClock estimates the store's clock, which stamps accepted jobs.
	storeClock sesamerows.StoreClock
}

// New returns an intake that serves nobody until Run has read a policy.
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

// Policies returns the reader of policies, which holds the newest policy that
// this process has read.
func (in *Intake) Policies() *Policies {
	return in.policies
}

// Run follows the policies and the states of jobs in the store until ctx ends,
// and then returns nil; failed reads are retried.
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

// maxSilence is how long the store may leave this process without an answer
// before Ready sends callers to other entries: two calls for changes with their
// timeouts.
const maxSilence = 3 * time.Second

// Ready returns a *NotReadyError while this process can't accept jobs: it has
// read no policy yet, or the store does not answer.
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

// Admission says in which queue and for which team a caller may act.
type Admission struct {
	Queue sesamework.Queue
	// Team is the team's name, empty for a caller of a public queue whose key
	// belongs to no team.
	Team string
	// Key is the caller's access key, which a newer policy may withdraw.
	Key string
	// Policy is the policy that admitted the caller.
	Policy *sesamework.Policy
}

// LimitWait returns how long a caller may be kept waiting for an answer: the
// time that it asked for, at most the queue's timeout if that isn't 0.
func (a Admission) LimitWait(asked time.Duration) time.Duration {
	if a.Queue.Timeout > 0 {
		return min(asked, a.Queue.Timeout)
	}
	return asked
}

// Admit returns the queue for the host and path and the team of the access key.
// Errors are a *NotReadyError, *NoQueueError or *UnknownKeyError.
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

// State returns the state of a job. Errors are a *JobNotFoundError and those of
// Store.Read.
func (in *Intake) State(ctx context.Context, a Admission, id string) (sesamework.JobState, error) {
	found, err := in.lookup(ctx, a, id)
	return found.State, err
}

// lookup returns the status of a job that the caller may see, from in.states or,
// if that has none, from the store. Errors are a
// *JobNotFoundError and those of Store.Read.
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

// isOtherTeam reports whether the job belongs to another team than the caller's.
// Without a team on either side, as in a public queue, it reports false.
func isOtherTeam(owner, caller string) bool {
	return owner != "" && caller != "" && owner != caller
}

// readState reads the status of a job from the store and adds it to in.states.
// The entry that accepted the job and the planner write a row each, in parts of
// their own; the newer one counts. Errors are a *JobNotFoundError when there is
// neither, and those of Store.Read.
func (in *Intake) readState(ctx context.Context, id string) (sesamework.JobStatus, error) {
	for _, part := range []string{sesamework.EntryPart(id), sesamework.PlanPart} {
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

// QueuedJobs returns how many accepted jobs of a queue have no task started.
// Jobs that recur are not counted.
func (in *Intake) QueuedJobs(queue string) int {
	return in.states.queuedJobs(queue)
}

// Cancel records that a job is to be cancelled; a job that has ended is left as
// it is, and so is one whose cancellation is recorded already. Errors are a
// *JobNotFoundError and those of Store.Commit.
func (in *Intake) Cancel(ctx context.Context, a Admission, id string) error {
	found, err := in.lookup(ctx, a, id)
	if err != nil || found.State.Ended() {
		return err
	}
	key := sesamework.CancelKey(id)
	_, err = sesamerows.CommitWithRetry(ctx, in.store, sesamerows.Transaction{
		// With the condition, a repeated or late try changes nothing, and so
		// wakes no reader of the feed.
		Expects: []sesamerows.Expect{{
			Key: key,
		}},
		Writes: []sesamerows.Write{{
			Key:   key,
			Value: []byte("{}"),
		}},
	}, func(c *sesamerows.ConflictError) (sesamerows.Version, error) {
		row, _ := c.Row(key)
		return row.Version, nil
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

// count adds one to the metric of submissions with that outcome.
func (in *Intake) count(outcome string, a Admission) {
	in.scope.Tagged(map[string]string{
		"outcome": outcome,
		"queue":   a.Queue.Name,
		"team":    a.Team,
	}).Counter("submissions").Inc(1)
}

// RecordRefusal logs and counts a request that did not succeed, so that its
// outcome can be found by the job's ID. method and status are those of HTTP.
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

// isPolicyChange reports whether a submission failed only because another policy
// is in force now.
func isPolicyChange(err error) bool {
	return errors.HasType(err, (*policyChangedError)(nil))
}
