package sesameintake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Bounds of a submission's retries.
const (
	// refusedRetryTime is how long a submission that the store has refused is
	// retried: once, after a pause of 20 ms. A refusal should reach the caller
	// within a quarter of the latency objective, whose shortest value is 250 ms.
	refusedRetryTime = 15 * time.Millisecond
	// policyWait is how long a submission that failed because a newer policy
	// exists waits until this process has read that policy.
	policyWait = time.Second
	// maxPolicyAge is how old the store's last word on which policy is the newest
	// may be for a submission to be accepted without the condition that the
	// policy has not changed since. A newer one need be in force only 2 s later.
	maxPolicyAge = time.Second
	// maxReadmissions bounds how often one submission is tried, each time under
	// the policy that is the newest by then.
	maxReadmissions = 4
)

// Submit accepts the job under its ID, at most once: to submit the same body
// again is an idempotent retry and succeeds. Errors are a
// *sesamework.InvalidError, an *OverloadedError, a *JobConflictError, those of
// Admit, and those of Store.Commit; after all but an *sesamerows.UnknownError the job has not been
// accepted by this call and never will be.
func (in *Intake) Submit(ctx context.Context, a Admission, j sesamework.Job, specification string) error {
	if err := j.Validate(); err != nil {
		return err
	}
	if in.policies.isStoreLost() {
		if _, known := in.states.get(j.ID); known {
			in.recordAccepted(a, j, 0, true)
			return nil
		}
		// Nothing has been sent, so a refusal now is certain. A try that gets
		// no answer would leave the outcome unknown until the store is back.
		return &NotReadyError{
			Reason:     "the store does not answer",
			RetryAfter: retryAfter,
		}
	}
	if err := in.checkLoad(ctx, a, j); err != nil {
		return err
	}
	for range maxReadmissions {
		err := in.accept(ctx, a, j, specification)
		if !isPolicyChange(err) {
			return err
		}
		if a, err = in.readmit(ctx, a); err != nil {
			return err
		}
	}
	return &NotReadyError{
		Reason:     "the policy keeps changing",
		RetryAfter: time.Second,
	}
}

// readmit waits until this process has read another policy than the admission's,
// and admits the request under that one. Errors are a *NotReadyError after
// policyWait, a *NoQueueError or *UnknownKeyError.
func (in *Intake) readmit(ctx context.Context, a Admission) (Admission, error) {
	ctx, cancel := context.WithTimeout(ctx, policyWait)
	defer cancel()
	for in.policies.Current() == a.Policy {
		changed := in.policies.Changed()
		if in.policies.Current() != a.Policy {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Admission{}, &NotReadyError{
				Reason:     "a newer policy is in force that was not read yet",
				RetryAfter: time.Second,
			}
		}
	}
	return in.repeatAdmission(a)
}

// repeatAdmission returns the admission under the current policy. Errors are a
// *NoQueueError or *UnknownKeyError.
func (in *Intake) repeatAdmission(a Admission) (Admission, error) {
	policy := in.policies.Current()
	queue, ok := policy.Route(a.Queue.Host, a.Queue.Prefix)
	if !ok {
		return Admission{}, &NoQueueError{
			Host: a.Queue.Host,
			Path: a.Queue.Prefix,
		}
	}
	if _, ok := policy.TeamByKey(a.Key); !ok && !queue.Public {
		return Admission{}, &UnknownKeyError{}
	}
	a.Queue = queue
	a.Policy = policy
	return a, nil
}

// accept writes the rows of the job in one conditional transaction: no job may
// have the ID, and the admission's policy must be the newest. The latter is a
// condition only while that is uncertain: all submissions would have its row in
// common, which a slow store handles one after another. A job that exists with
// the same body counts as accepted before. Errors are a
// *policyChangedError, a *JobConflictError, a *NotReadyError and those of
// Store.Commit.
func (in *Intake) accept(ctx context.Context, a Admission, j sesamework.Job, specification string) error {
	j.Queue = a.Queue.Name
	j.Team = a.Team
	j.Terms = a.Queue.Terms
	now := in.storeClock.Now()
	j.Accepted = now.Milliseconds()
	writes, err := jobRows(j, specification)
	if err != nil {
		return err
	}
	t := sesamerows.Transaction{
		Expects: []sesamerows.Expect{{
			Key: sesamework.JobKey(j.ID),
		}},
		Writes: writes,
	}
	if err := checkLimits(t); err != nil {
		return err
	}
	if in.policies.Age() > maxPolicyAge {
		t.Expects = append(t.Expects, a.Policy.Guard)
	}
	repeated := false
	version, err := in.commitWithRetry(ctx, t, func(c *sesamerows.ConflictError) (sesamerows.Version, error) {
		row, ok := c.Row(sesamework.JobKey(j.ID))
		if !ok {
			return 0, &policyChangedError{}
		}
		repeated = true
		return row.Version, sameJob(row, j)
	})
	if err != nil {
		return err
	}
	in.recordAccepted(a, j, version, repeated)
	return nil
}

// commitWithRetry retries a refused transaction for refusedRetryTime only, and
// one that may have taken effect until ctx ends, since its outcome is unknown.
// When a condition fails, onConflict returns the version at which the
// transaction took effect before, or else the error to return.
func (in *Intake) commitWithRetry(
	ctx context.Context, t sesamerows.Transaction,
	onConflict func(*sesamerows.ConflictError) (sesamerows.Version, error),
) (sesamerows.Version, error) {
	return sesamerows.CommitWithRetry(ctx, &boundedRetryStore{
		Store:      in.store,
		retryUntil: in.clock.Steady() + refusedRetryTime,
		clock:      in.clock,
	}, t, onConflict)
}

// recordAccepted logs and counts an accepted job. version is that of the job's
// row, 0 if unknown; repeated says that the job was accepted before.
func (in *Intake) recordAccepted(a Admission, j sesamework.Job, version sesamerows.Version, repeated bool) {
	event := eventAccepted
	outcome := "accepted"
	if repeated {
		event = eventRepeated
		outcome = "repeated"
	}
	in.log.Emit(event, sesamelog.Fields{
		"job":     j.ID,
		"queue":   j.Queue,
		"team":    j.Team,
		"policy":  a.Policy.Number,
		"version": version,
		"steps":   j.Steps,
		"times":   j.Recurrences,
	})
	in.count(outcome, a)
}

// jobRows returns the rows of a new job: the job, its specification and its
// status.
func jobRows(j sesamework.Job, specification string) ([]sesamerows.Write, error) {
	job, err := json.Marshal(j)
	if err != nil {
		return nil, err
	}
	state, err := json.Marshal(sesamework.JobStatus{
		State:     sesamework.JobQueued,
		Queue:     j.Queue,
		Team:      j.Team,
		Recurring: j.Recurs(),
	})
	if err != nil {
		return nil, err
	}
	return []sesamerows.Write{
		{
			Key:   sesamework.JobKey(j.ID),
			Value: job,
		},
		{
			Key:   sesamework.SpecKey(j.ID),
			Value: []byte(specification),
		},
		{
			Key:   sesamework.StateKey(sesamework.EntryPart(j.ID), j.ID),
			Value: state,
		},
	}, nil
}

// checkLimits returns a *sesamework.InvalidError for a job whose rows are larger
// than the store takes.
func checkLimits(t sesamerows.Transaction) error {
	err := t.CheckLimits()
	var limit *sesamerows.LimitError
	if !errors.As(err, &limit) {
		return err
	}
	return &sesamework.InvalidError{
		Field:   "job",
		Problem: "is too large to be stored: " + limit.Error(),
	}
}

// sameJob returns nil when the row holds a job with the same body as j, and a
// *JobConflictError when the bodies differ.
func sameJob(row sesamerows.Row, j sesamework.Job) error {
	var earlier sesamework.Job
	if err := json.Unmarshal(row.Value, &earlier); err != nil {
		return err
	}
	if earlier.Digest != j.Digest {
		return &JobConflictError{
			ID: j.ID,
		}
	}
	return nil
}
