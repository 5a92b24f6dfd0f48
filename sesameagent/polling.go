package sesameagent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// minPollInterval and maxPollInterval bound the pause between two listings of
	// the target's tasks; attempts that have run for long are polled less often.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = time.Second
	// pollDivisor limits the delay until the end of a task is noticed: the poll
	// interval is an attempt's time since its start, divided by pollDivisor.
	pollDivisor = 10
	// minRetryDelay and maxRetryDelay bound the back-off, with jitter, after a
	// failed call to the object store or to an entry.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// newRetryBackOff returns an exponential back-off with jitter.
func newRetryBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

// pollLoop polls the target's tasks until ctx ends. While no attempt runs, it
// only waits for a change.
func (a *Agent) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		s, now, changed := a.state.read()
		a.tasks.prune(a.state)
		interval, anyRunning := pollInterval(s, now)
		if !anyRunning {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if a.sleep(ctx, interval) != nil {
			return nil
		}
		a.poll(ctx)
	}
	return nil
}

// pollInterval returns how long to wait before the target's tasks are listed
// again: the shortest time since an attempt that still runs was opened, divided
// by pollDivisor, within minPollInterval and maxPollInterval. now is a reading
// of the agent's clock. It returns false if no attempt runs.
func pollInterval(s sesamegang.Agent, now time.Duration) (time.Duration, bool) {
	interval, anyRunning := maxPollInterval, false
	for _, m := range s.Members() {
		if m.Phase == sesamegang.Running || m.Phase == sesamegang.Stopping {
			anyRunning = true
			interval = min(interval, max((now-m.Opened)/pollDivisor, minPollInterval))
		}
	}
	return interval, anyRunning
}

// poll lists the target's tasks. It records the end of each task that failed,
// was stopped, or is unknown to the target although it was adopted or its start
// was tried, and begins to save the output of each that is done. A failed call
// is only logged.
func (a *Agent) poll(ctx context.Context) {
	members := a.membersToPoll()
	var statuses []sesametarget.Status
	err := a.callTarget(ctx, func(ctx context.Context) error {
		var err error
		statuses, err = a.deps.Target.Tasks(ctx)
		return err
	})
	if err != nil {
		a.deps.Log.Emit(eventPollFailed, sesamelog.Fields{
			"error": err,
		})
		return
	}
	byID := make(map[sesametarget.TaskID]sesametarget.Status, len(statuses))
	for _, status := range statuses {
		byID[status.ID] = status
	}
	for _, m := range members {
		for _, rank := range m.UnfinishedRanks() {
			status, ok := byID[taskID(m.Key, rank)]
			if !ok {
				a.taskMissing(m, rank)
				continue
			}
			a.handleStatus(m, rank, status)
		}
	}
}

// membersToPoll returns the members (this target's parts of attempts) whose
// unfinished tasks the target must know: those that run, and were adopted or
// have had all their starts tried.
func (a *Agent) membersToPoll() []sesamegang.Member {
	s, _, _ := a.state.read()
	var members []sesamegang.Member
	for _, m := range s.Members() {
		live := m.Phase == sesamegang.Running || m.Phase == sesamegang.Stopping
		if live && (m.Adopted || a.tasks.startsFinished(m.Key)) {
			members = append(members, m)
		}
	}
	return members
}

// taskMissing records the end of a task that the target no longer knows, for
// instance after the target restarted. How far the task came is unknown.
func (a *Agent) taskMissing(m sesamegang.Member, rank int32) {
	a.taskEnded(m.Key, sesamegang.TaskEnd{
		Rank:     rank,
		Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
		Detail:   "the target no longer knows the task",
	})
}

// handleStatus acts on a listed task's status. If the task is done, it begins to
// save the output, which also records the end; if the task failed or was stopped,
// it records the end. It ignores a task that still runs.
func (a *Agent) handleStatus(m sesamegang.Member, rank int32, status sesametarget.Status) {
	end := sesamegang.TaskEnd{
		Rank:   rank,
		Detail: status.Detail,
	}
	switch status.Phase {
	case sesametarget.PhaseDone:
		a.saveOutput(m.Key, rank)
		return
	case sesametarget.PhaseFailed:
		end.Progress = sesamewire.Progress_PROGRESS_FAILED
	case sesametarget.PhaseStopped:
		end.Progress = sesamewire.Progress_PROGRESS_STOPPED
	default:
		return
	}
	a.taskEnded(m.Key, end)
}

// taskEnded records the end of a task, and the end of the member if that was
// its last task.
func (a *Agent) taskEnded(k sesamegang.AttemptKey, end sesamegang.TaskEnd) {
	a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		before, _ := s.Member(k)
		s, effects := s.TaskEnded(now, k, end)
		if after, _ := s.Member(k); before.Phase != sesamegang.Ended && after.Phase == sesamegang.Ended {
			a.reportEnd(now, after)
		}
		return s, effects
	})
}

// reportEnd adds the time since the member's attempt was opened to the metric
// metricRun, unless an earlier incarnation opened it, and logs the member's end.
// now is on the clock of Member.Opened.
func (a *Agent) reportEnd(now time.Duration, m sesamegang.Member) {
	if !m.Adopted {
		a.histogram(m.Team, metricRun).RecordDuration(now - m.Opened)
	}
	a.deps.Log.Emit(eventEnded, sesamelog.Fields{
		"job":      m.Key.Job,
		"attempt":  m.Key.Attempt,
		"progress": m.Progress(),
		"detail":   m.Report().GetDetail(),
	})
}

// saveOutput stores the output of a done task in the background and then
// records the task's end. It does nothing while an earlier call for the task is
// in progress.
func (a *Agent) saveOutput(k sesamegang.AttemptKey, rank int32) {
	work := "save:" + string(taskID(k, rank))
	if !a.tasks.claim(work) {
		return
	}
	a.group.Go(func() error {
		defer a.tasks.release(work)
		a.saveOutputWithRetries(a.ctx, k, rank)
		return nil
	})
}

// saveOutputWithRetries stores a task's output with back-off until that
// succeeds, the target no longer knows the task, or ctx ends. A task whose output
// is too large to be stored whole ends as failed.
func (a *Agent) saveOutputWithRetries(ctx context.Context, k sesamegang.AttemptKey, rank int32) {
	wait := newRetryBackOff()
	for {
		result, err := a.copyOutput(ctx, k, rank)
		if err == nil {
			a.taskEnded(k, sesamegang.TaskEnd{
				Rank:     rank,
				Progress: sesamewire.Progress_PROGRESS_DONE,
				Result:   result,
			})
			return
		}
		a.deps.Log.Emit(eventSaveFailed, sesamelog.Fields{
			"task":  taskID(k, rank),
			"error": err,
		})
		var tooLarge *sesametarget.OutputTooLargeError
		if errors.As(err, &tooLarge) {
			a.taskEnded(k, sesamegang.TaskEnd{
				Rank:     rank,
				Progress: sesamewire.Progress_PROGRESS_FAILED,
				Detail:   err.Error(),
			})
			return
		}
		var lost *sesametarget.NotFoundError
		if errors.As(err, &lost) || a.sleep(ctx, wait.NextBackOff()) != nil {
			return // poll ends a task that the target no longer knows
		}
	}
}

// copyOutput copies a task's output from the target to the object store and
// returns where it is stored, its length in bytes and its SHA-256 digest.
func (a *Agent) copyOutput(ctx context.Context, k sesamegang.AttemptKey, rank int32) (*sesamewire.Result, error) {
	output, err := a.deps.Target.Output(ctx, taskID(k, rank))
	if err != nil {
		return nil, err
	}
	object := sesamestore.ResultKey(sesamemodel.JobID(k.Job), k.Attempt, int(rank))
	if err := a.deps.Objects.PutObject(ctx, object, output); err != nil {
		return nil, err
	}
	digest := sha256.Sum256(output)
	return &sesamewire.Result{
		Rank:   rank,
		Object: object,
		Length: int64(len(output)),
		Digest: hex.EncodeToString(digest[:]),
	}, nil
}

// recoverTasks adopts or stops the tasks that earlier incarnations left on the
// target. It retries until that is done and the target has accepted a lease
// renewal of this process, or returns the context's error.
func (a *Agent) recoverTasks(ctx context.Context) error {
	for {
		a.renewTargetLease(ctx)
		if err := a.reconcileTasks(ctx); err == nil && a.targetReachable.Load() {
			a.tasksRecovered.Store(true)
			return nil
		}
		if err := a.sleep(ctx, startRetryDelay); err != nil {
			return err
		}
	}
}

// reconcileTasks lists the tasks that an earlier agent process left on the
// target. It adopts the attempts whose tasks may run on without a lease
// (Status.OutlivesLease) and stops the other running tasks. Tasks whose ID is
// not of the form that taskID makes are left alone. It fails only if the tasks
// can't be listed.
func (a *Agent) reconcileTasks(ctx context.Context) error {
	statuses, err := a.deps.Target.Tasks(ctx)
	if err != nil {
		return err
	}
	adopted := map[sesamegang.AttemptKey]sesamegang.AdoptedAttempt{}
	for _, status := range statuses {
		k, rank, ok := parseTaskID(status.ID)
		switch {
		case !ok:
		case status.OutlivesLease:
			adopted[k] = withTask(adopted[k], k, int(rank), status)
		case status.Phase == sesametarget.PhaseRunning:
			a.stopOrphan(ctx, status.ID)
		}
	}
	for _, attempt := range adopted {
		a.adoptAttempt(attempt)
	}
	return nil
}

// withTask returns the attempt with the key k, to which the task with that rank
// and status was added. Only a task that runs holds slots and accelerators.
func withTask(attempt sesamegang.AdoptedAttempt, k sesamegang.AttemptKey, rank int, s sesametarget.Status) sesamegang.AdoptedAttempt {
	if attempt.Tasks == 0 {
		attempt.Key, attempt.FirstRank = k, rank
	}
	attempt.FirstRank = min(attempt.FirstRank, rank)
	attempt.Tasks++
	if s.Phase == sesametarget.PhaseRunning {
		attempt.Slots += s.PeakUsage.Slots
		attempt.AcceleratorMask |= s.AcceleratorMask
	}
	return attempt
}

// stopOrphan stops a running task of an earlier incarnation that does not
// outlive its lease.
func (a *Agent) stopOrphan(ctx context.Context, id sesametarget.TaskID) {
	_, err := a.deps.Target.Stop(ctx, id, 0)
	a.deps.Log.Emit(eventOrphanStopped, sesamelog.Fields{
		"task":  id,
		"error": err,
	})
}

// adoptAttempt adds an attempt of an earlier incarnation to the agent's state,
// so that its tasks are polled until they end.
func (a *Agent) adoptAttempt(attempt sesamegang.AdoptedAttempt) {
	a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		return s.Adopt(now, attempt), sesamegang.Effects{}
	})
	a.deps.Log.Emit(eventAdopted, sesamelog.Fields{
		"job":     attempt.Key.Job,
		"attempt": attempt.Key.Attempt,
		"tasks":   attempt.Tasks,
	})
}
