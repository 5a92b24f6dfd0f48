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
	// minPoll and maxPoll bound the pause between two looks at the target's
	// tasks; work that runs long is looked at less often.
	minPoll = 20 * time.Millisecond
	maxPoll = time.Second
	// pollShare is the part of a task's run time so far that its end may go
	// unnoticed.
	pollShare = 10
	// minRetry and maxRetry bound the jittered pause after a failed call to
	// the object store or to an entry.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

func retries() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetry
	b.MaxInterval = maxRetry
	return b
}

// watching looks at the target's tasks until ctx ends.
func (a *Agent) watching(ctx context.Context) error {
	for ctx.Err() == nil {
		s, now, changed := a.state.read()
		a.tasks.prune(a.state)
		pause, runs := pollPause(s, now)
		if !runs {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if a.pause(ctx, pause) != nil {
			return nil
		}
		a.poll(ctx)
	}
	return nil
}

// pollPause returns when the tasks are to be looked at again; false means that
// none runs.
func pollPause(s sesamegang.Agent, now time.Duration) (time.Duration, bool) {
	pause, runs := maxPoll, false
	for _, m := range s.Members() {
		if m.Phase == sesamegang.Running || m.Phase == sesamegang.Stopping {
			runs = true
			pause = min(pause, max((now-m.Opened)/pollShare, minPoll))
		}
	}
	return pause, runs
}

// poll compares the target's tasks with those that should run.
func (a *Agent) poll(ctx context.Context) {
	members := a.watched()
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
				a.missing(m, rank)
				continue
			}
			a.observe(m, rank, status)
		}
	}
}

// watched returns the members whose starts have all been tried, so that the
// target must know those of their tasks that have not ended.
func (a *Agent) watched() []sesamegang.Member {
	s, _, _ := a.state.read()
	var members []sesamegang.Member
	for _, m := range s.Members() {
		live := m.Phase == sesamegang.Running || m.Phase == sesamegang.Stopping
		if live && (m.Adopted || a.tasks.hasBegun(m.Key)) {
			members = append(members, m)
		}
	}
	return members
}

// missing ends a task that the target no longer knows.
func (a *Agent) missing(m sesamegang.Member, rank int32) {
	a.taskEnded(m.Key, sesamegang.TaskEnd{
		Rank:     rank,
		Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
		Detail:   "the target no longer knows the task",
	})
}

// observe acts on what the target says of a task.
func (a *Agent) observe(m sesamegang.Member, rank int32, status sesametarget.Status) {
	end := sesamegang.TaskEnd{
		Rank:   rank,
		Detail: status.Detail,
	}
	switch status.Phase {
	case sesametarget.PhaseDone:
		a.save(m.Key, rank)
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

// taskEnded records the end of a task.
func (a *Agent) taskEnded(k sesamegang.AttemptKey, end sesamegang.TaskEnd) {
	a.state.apply(func(now time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		before, _ := s.Member(k)
		s, effects := s.TaskEnded(now, k, end)
		if after, _ := s.Member(k); before.Phase != sesamegang.Ended && after.Phase == sesamegang.Ended {
			a.noteEnd(now, after)
		}
		return s, effects
	})
}

func (a *Agent) noteEnd(now time.Duration, m sesamegang.Member) {
	a.histogram(m.Team, metricRun).RecordDuration(now - m.Opened)
	a.deps.Log.Emit(eventEnded, sesamelog.Fields{
		"job":      m.Key.Job,
		"attempt":  m.Key.Attempt,
		"progress": m.Progress(),
		"detail":   m.Report().GetDetail(),
	})
}

// save stores a task's output by itself and ends the task once it is stored.
func (a *Agent) save(k sesamegang.AttemptKey, rank int32) {
	work := "save:" + string(taskID(k, rank))
	if !a.tasks.claim(work) {
		return
	}
	a.group.Go(func() error {
		defer a.tasks.release(work)
		a.saveTask(a.ctx, k, rank)
		return nil
	})
}

func (a *Agent) saveTask(ctx context.Context, k sesamegang.AttemptKey, rank int32) {
	wait := retries()
	for {
		result, err := a.store(ctx, k, rank)
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
		var lost *sesametarget.NotFoundError
		if errors.As(err, &lost) || a.pause(ctx, wait.NextBackOff()) != nil {
			return // watching ends a task that the target no longer knows
		}
	}
}

// store copies a task's output to the object store.
func (a *Agent) store(ctx context.Context, k sesamegang.AttemptKey, rank int32) (*sesamewire.Result, error) {
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

// settle deals with the tasks of earlier incarnations: those that outlive a
// lease are watched, the others stopped. Then it waits until the target takes
// this process for its holder.
func (a *Agent) settle(ctx context.Context) error {
	for {
		a.renew(ctx)
		if err := a.inherit(ctx); err == nil && a.reachable.Load() {
			a.settled.Store(true)
			return nil
		}
		if err := a.pause(ctx, startPause); err != nil {
			return err
		}
	}
}

func (a *Agent) inherit(ctx context.Context) error {
	statuses, err := a.deps.Target.Tasks(ctx)
	if err != nil {
		return err
	}
	kept := map[sesamegang.AttemptKey]sesamegang.AdoptedAttempt{}
	for _, status := range statuses {
		k, rank, ok := parseTaskID(status.ID)
		switch {
		case !ok:
		case status.Keep:
			kept[k] = withStatus(kept[k], k, int(rank), status)
		case status.Phase == sesametarget.PhaseRunning:
			a.clear(ctx, status.ID)
		}
	}
	for _, legacy := range kept {
		a.adopt(legacy)
	}
	return nil
}

// withStatus returns the attempt with one more of its tasks.
func withStatus(l sesamegang.AdoptedAttempt, k sesamegang.AttemptKey, rank int, s sesametarget.Status) sesamegang.AdoptedAttempt {
	if l.Tasks == 0 {
		l.Key, l.FirstRank = k, rank
	}
	l.FirstRank = min(l.FirstRank, rank)
	l.Tasks++
	if s.Phase == sesametarget.PhaseRunning {
		l.Slots += s.Used.Slots
		l.Accelerators |= s.Accelerators
	}
	return l
}

// clear stops a task that does not outlive its agent.
func (a *Agent) clear(ctx context.Context, id sesametarget.TaskID) {
	_, err := a.deps.Target.Stop(ctx, id, 0)
	a.deps.Log.Emit(eventCleared, sesamelog.Fields{
		"task":  id,
		"error": err,
	})
}

func (a *Agent) adopt(l sesamegang.AdoptedAttempt) {
	a.state.apply(func(_ time.Duration, s sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects) {
		return s.Adopt(l), sesamegang.Effects{}
	})
	a.deps.Log.Emit(eventAdopted, sesamelog.Fields{
		"job":     l.Key.Job,
		"attempt": l.Key.Attempt,
		"tasks":   l.Tasks,
	})
}
