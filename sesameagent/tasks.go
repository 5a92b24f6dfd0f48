package sesameagent

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// startRetryDelay is the pause before a start, or the recovery of the
	// target's tasks, is tried again.
	startRetryDelay = 50 * time.Millisecond
	// maxStartTries bounds the tries of a start that the target refuses for want
	// of a lease, because the renewal that grants it may still be on its way.
	maxStartTries = 10
	// haltSlack is how much longer than its grace a Stop call at the target may
	// take.
	haltSlack = 2 * time.Second
	// maxParallelHalts bounds the concurrent Stop calls for one attempt.
	maxParallelHalts = 16
)

// taskTracker records which starts have been tried and which background work is
// in progress, so that no work is done twice at the same time.
type taskTracker struct {
	mu sync.Mutex
	// startsDone has a channel for each attempt that was opened. It closes when
	// the start of each of its tasks has been tried.
	startsDone map[sesamegang.AttemptKey]chan struct{}
	// inProgress has the names of the work claimed at present; see claim.
	inProgress map[string]bool
}

// newTaskTracker returns a tracker that knows no attempts and no claims.
func newTaskTracker() *taskTracker {
	return &taskTracker{
		startsDone: map[sesamegang.AttemptKey]chan struct{}{},
		inProgress: map[string]bool{},
	}
}

// beginStarts records that an attempt's tasks are about to be started.
func (t *taskTracker) beginStarts(k sesamegang.AttemptKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startsDone[k] == nil {
		t.startsDone[k] = make(chan struct{})
	}
}

// finishStarts records that the start of each of the attempt's tasks has been
// tried.
func (t *taskTracker) finishStarts(k sesamegang.AttemptKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := t.startsDone[k]
	if done == nil {
		return
	}
	select {
	case <-done:
	default:
		close(done)
	}
}

// startsDoneChan returns a channel that closes when the start of each of the
// attempt's tasks has been tried. It returns nil for an attempt that this
// process did not open.
func (t *taskTracker) startsDoneChan(k sesamegang.AttemptKey) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startsDone[k]
}

// startsFinished reports whether the start of each of the attempt's tasks has
// been tried.
func (t *taskTracker) startsFinished(k sesamegang.AttemptKey) bool {
	done := t.startsDoneChan(k)
	if done == nil {
		return false
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// claim returns true if no other goroutine holds the claim on the work, which is
// named by a unique string. The caller may then do the work, and afterwards ends
// the claim with release.
func (t *taskTracker) claim(work string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inProgress[work] {
		return false
	}
	t.inProgress[work] = true
	return true
}

// release ends the claim on the work.
func (t *taskTracker) release(work string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inProgress, work)
}

// prune drops the channels of attempts that the agent no longer holds. It reads
// the attempts while it holds the lock: beginStarts follows the change that
// adds an attempt, so an older reading could drop the channel of a new attempt.
func (t *taskTracker) prune(st *state) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, _, _ := st.read()
	for k := range t.startsDone {
		if _, ok := s.Member(k); !ok {
			delete(t.startsDone, k)
		}
	}
}

// taskID returns the target's identifier of one task of an attempt.
func taskID(k sesamegang.AttemptKey, rank int32) sesametarget.TaskID {
	return sesametarget.NewTaskID(sesamemodel.JobID(k.Job), k.Attempt, int(rank))
}

// parseTaskID is the inverse of taskID. It returns false for an identifier of
// another form.
func parseTaskID(id sesametarget.TaskID) (sesamegang.AttemptKey, int32, bool) {
	parts := strings.Split(string(id), ":")
	if len(parts) != 3 {
		return sesamegang.AttemptKey{}, 0, false
	}
	attempt, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return sesamegang.AttemptKey{}, 0, false
	}
	rank, err := strconv.ParseInt(parts[2], 10, 32)
	return sesamegang.AttemptKey{
		Job:     parts[0],
		Attempt: uint32(attempt),
	}, int32(rank), err == nil
}

// resourcesOf converts resources from an RPC message.
func resourcesOf(r *sesamewire.Resources) sesamemodel.Resources {
	return sesamemodel.Resources{
		Cores:        int(r.GetCores()),
		Memory:       int(r.GetMemory()),
		Accelerators: int(r.GetAccelerators()),
		Slots:        int(r.GetSlots()),
	}
}

// taskAccelerators returns the mask of the accelerators for one of the member's
// tasks. The member's accelerators go to its tasks in order of rank, each task
// taking the lowest bits that are left.
func taskAccelerators(m sesamegang.Member, rank int32) uint64 {
	perTask := int(m.Need.GetAccelerators())
	skip := (int(rank) - m.FirstRank) * perTask
	var mask uint64
	for i := range sesamemodel.MaxTargetAccelerators {
		bit := uint64(1) << i
		if m.AcceleratorMask&bit == 0 {
			continue
		}
		if skip <= 0 && skip > -perTask {
			mask |= bit
		}
		skip--
	}
	return mask
}

// startAttempt starts the tasks of an opened attempt one after the other, and
// then requests a lease renewal at the target.
func (a *Agent) startAttempt(ctx context.Context, k sesamegang.AttemptKey) {
	defer a.tasks.finishStarts(k)
	s, _, _ := a.state.read()
	m, ok := s.Member(k)
	if !ok {
		return
	}
	for _, rank := range m.UnfinishedRanks() {
		if end, failed := a.startTask(ctx, m, rank); failed {
			a.taskEnded(k, end)
		}
	}
	a.requestLeaseRenewal()
}

// startTask starts one task. While the target can't be reached, it repeats the
// call until the attempt is stopped, its lease expires or ctx ends; while the
// target has no lease for the agent, until maxStartTries calls were made. If no
// call succeeds, it returns the task's end and true. The end says that the task
// never started only if the target refused every call: a call without an answer
// may have started it, whatever later calls return.
func (a *Agent) startTask(ctx context.Context, m sesamegang.Member, rank int32) (sesamegang.TaskEnd, bool) {
	task := sesametarget.Task{
		ID:              taskID(m.Key, rank),
		Holder:          a.leaseHolder,
		Rank:            int(rank),
		TotalTasks:      m.TotalTasks,
		Need:            resourcesOf(m.Need),
		AcceleratorMask: taskAccelerators(m, rank),
		OutlivesLease:   m.OutlivesLease(),
		Payload:         m.Input,
	}
	end := sesamegang.TaskEnd{
		Rank:     rank,
		Progress: sesamewire.Progress_PROGRESS_NEVER,
	}
	for try := 1; ; try++ {
		if end.Detail = a.startRefusal(m.Key); end.Detail != "" {
			return end, true
		}
		err := a.callTarget(ctx, func(ctx context.Context) error {
			return a.deps.Target.Start(ctx, task)
		})
		if err == nil {
			a.haltIfStopped(m.Key)
			return end, false
		}
		end.Detail = err.Error()
		a.deps.Log.Emit(eventStartFailed, sesamelog.Fields{
			"task":  task.ID,
			"error": err,
		})
		var unreachable *sesametarget.UnreachableError
		var lease *sesametarget.LeaseError
		switch {
		case errors.As(err, &unreachable):
			end.Progress = sesamewire.Progress_PROGRESS_UNKNOWN
		case !errors.As(err, &lease) || try >= maxStartTries:
			return end, true
		}
		if a.sleep(ctx, startRetryDelay) != nil {
			return end, true
		}
	}
}

// startRefusal returns why a task of the attempt must not be started now, or an
// empty string.
func (a *Agent) startRefusal(k sesamegang.AttemptKey) string {
	s, now, _ := a.state.read()
	m, ok := s.Member(k)
	switch {
	case !ok || m.Phase != sesamegang.Running:
		return "the attempt was stopped before the task started"
	case s.TaskRemaining(m, now) == 0:
		return "the lease expired before the task started"
	}
	return ""
}

// haltIfStopped stops a task that was just started, if its attempt was stopped
// or its lease expired during the start.
func (a *Agent) haltIfStopped(k sesamegang.AttemptKey) {
	if a.startRefusal(k) == "" {
		return
	}
	a.dispatchEffects(sesamegang.Effects{
		Halt: []sesamegang.Halt{
			{
				Key: k,
			},
		},
	})
}

// haltAttempt stops the unfinished tasks of an attempt. It does nothing while
// an earlier call for the attempt is in progress.
func (a *Agent) haltAttempt(ctx context.Context, h sesamegang.Halt) {
	work := "halt:" + string(taskID(h.Key, 0))
	if !a.tasks.claim(work) {
		return
	}
	defer a.tasks.release(work)
	s, _, _ := a.state.read()
	m, ok := s.Member(h.Key)
	if !ok {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxParallelHalts)
	for _, rank := range m.UnfinishedRanks() {
		group.Go(func() error {
			a.haltTask(ctx, m, rank, h.Grace)
			return nil
		})
	}
	_ = group.Wait() // haltTask logs its own failure
}

// haltTask stops one task within grace and records its end. A failed call is
// repeated by tick.
func (a *Agent) haltTask(ctx context.Context, m sesamegang.Member, rank int32, grace time.Duration) {
	id := taskID(m.Key, rank)
	ctx, cancel := context.WithTimeout(ctx, grace+haltSlack)
	defer cancel()
	status, err := a.deps.Target.Stop(ctx, id, grace)
	var missing *sesametarget.NotFoundError
	if errors.As(err, &missing) {
		return // not started yet, or the next poll finds it missing
	}
	if err != nil {
		a.deps.Log.Emit(eventHaltFailed, sesamelog.Fields{
			"task":  id,
			"error": err,
		})
		return
	}
	a.handleStatus(m, rank, status)
}
