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
	// startPause is the wait before a start is tried again.
	startPause = 50 * time.Millisecond
	// maxLeaseTries bounds the starts that the target refuses for want of a
	// lease that it is about to be told of.
	maxLeaseTries = 10
	// haltSlack is how much longer than its grace a stop may take.
	haltSlack = 2 * time.Second
	// maxParallelHalts bounds the open stops of one attempt.
	maxParallelHalts = 16
)

// tasks notes what is under way for the tasks of attempts.
type tasks struct {
	mu sync.Mutex
	// starting has a channel for each attempt that was opened; it closes when
	// all starts have been tried.
	starting map[sesamegang.AttemptKey]chan struct{}
	busy     map[string]bool
}

func newTasks() *tasks {
	return &tasks{
		starting: map[sesamegang.AttemptKey]chan struct{}{},
		busy:     map[string]bool{},
	}
}

// begin notes that an attempt's tasks are about to be started.
func (t *tasks) begin(k sesamegang.AttemptKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.starting[k] == nil {
		t.starting[k] = make(chan struct{})
	}
}

// begun notes that all starts of the attempt have been tried.
func (t *tasks) begun(k sesamegang.AttemptKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := t.starting[k]
	if done == nil {
		return
	}
	select {
	case <-done:
	default:
		close(done)
	}
}

// started returns a channel that closes when all starts have been tried, or
// nil for an attempt that this process did not open.
func (t *tasks) started(k sesamegang.AttemptKey) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starting[k]
}

// hasBegun reports whether all starts of the attempt have been tried.
func (t *tasks) hasBegun(k sesamegang.AttemptKey) bool {
	done := t.started(k)
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

// claim reports whether the caller may do a piece of work that nobody else
// does now; release ends the claim.
func (t *tasks) claim(work string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[work] {
		return false
	}
	t.busy[work] = true
	return true
}

func (t *tasks) release(work string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, work)
}

// prune drops what belongs to attempts that are no longer held. The attempts
// are read under the lock, since begin follows the change that it belongs to.
func (t *tasks) prune(st *state) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, _, _ := st.read()
	for k := range t.starting {
		if _, ok := s.Member(k); !ok {
			delete(t.starting, k)
		}
	}
}

func taskID(k sesamegang.AttemptKey, rank int32) sesametarget.TaskID {
	return sesametarget.NewTaskID(sesamemodel.JobID(k.Job), k.Attempt, int(rank))
}

// parseTaskID reverses taskID.
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

func resourcesOf(r *sesamewire.Resources) sesamemodel.Resources {
	return sesamemodel.Resources{
		Cores:        int(r.GetCores()),
		Memory:       int(r.GetMemory()),
		Accelerators: int(r.GetAccelerators()),
		Slots:        int(r.GetSlots()),
	}
}

// share returns the accelerators of one of a member's tasks: each takes as many
// as it needs, in the order of the bits.
func share(m sesamegang.Member, rank int32) uint64 {
	each := int(m.Need.GetAccelerators())
	skip := (int(rank) - m.FirstRank) * each
	var bits uint64
	for i := range sesamemodel.MaxTargetAccelerators {
		bit := uint64(1) << i
		if m.Accelerators&bit == 0 {
			continue
		}
		if skip <= 0 && skip > -each {
			bits |= bit
		}
		skip--
	}
	return bits
}

// startAttempt starts the tasks of an attempt that was just opened.
func (a *Agent) startAttempt(ctx context.Context, k sesamegang.AttemptKey) {
	defer a.tasks.begun(k)
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
	a.ringLease()
}

// startTask starts one task and returns how it ended if it did not start.
func (a *Agent) startTask(ctx context.Context, m sesamegang.Member, rank int32) (sesamegang.TaskEnd, bool) {
	task := sesametarget.Task{
		ID:           taskID(m.Key, rank),
		Holder:       a.holder,
		Rank:         int(rank),
		Tasks:        m.TotalTasks,
		Need:         resourcesOf(m.Need),
		Accelerators: share(m, rank),
		Keep:         m.OutlivesLease(),
		Payload:      m.Input,
	}
	end := sesamegang.TaskEnd{
		Rank:     rank,
		Progress: sesamewire.Progress_PROGRESS_NEVER,
	}
	for try := 1; ; try++ {
		if end.Detail = a.mayStart(m.Key); end.Detail != "" {
			return end, true
		}
		err := a.callTarget(ctx, func(ctx context.Context) error {
			return a.deps.Target.Start(ctx, task)
		})
		if err == nil {
			a.haltLate(m.Key)
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
		case !errors.As(err, &lease) || try >= maxLeaseTries:
			end.Progress = sesamewire.Progress_PROGRESS_NEVER
			return end, true
		}
		if a.pause(ctx, startPause) != nil {
			return end, true
		}
	}
}

// mayStart returns why a task of the attempt must not be started now, or an
// empty string.
func (a *Agent) mayStart(k sesamegang.AttemptKey) string {
	s, now, _ := a.state.read()
	m, ok := s.Member(k)
	switch {
	case !ok || m.Phase != sesamegang.Running:
		return "stopped before it started"
	case s.TaskRemaining(m, now) == 0:
		return "the lease ended before the start"
	}
	return ""
}

// haltLate stops an attempt that was stopped while its tasks were started.
func (a *Agent) haltLate(k sesamegang.AttemptKey) {
	if a.mayStart(k) == "" {
		return
	}
	a.emit(sesamegang.Effects{
		Halt: []sesamegang.Halt{
			{
				Key: k,
			},
		},
	})
}

// haltAttempt stops the tasks of an attempt that have not ended.
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
	_ = group.Wait() // each stop notes its own failure
}

func (a *Agent) haltTask(ctx context.Context, m sesamegang.Member, rank int32, grace time.Duration) {
	id := taskID(m.Key, rank)
	ctx, cancel := context.WithTimeout(ctx, grace+haltSlack)
	defer cancel()
	status, err := a.deps.Target.Stop(ctx, id, grace)
	var missing *sesametarget.NotFoundError
	if errors.As(err, &missing) {
		return // its start is still to come, or watching finds it missing
	}
	if err != nil {
		a.deps.Log.Emit(eventHaltFailed, sesamelog.Fields{
			"task":  id,
			"error": err,
		})
		return
	}
	a.observe(m, rank, status)
}
