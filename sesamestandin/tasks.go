package sesamestandin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesametarget"
)

// tasks is the state of a target: a lease and the tasks that run under it. It
// does no input or output, and each call passes the current time.
type tasks struct {
	description sesametarget.Description

	// holder is the incarnation of the agent that holds the lease until
	// leaseEnd.
	holder   string
	leaseEnd time.Time
	// taskDeadlines holds the ends of leases of single tasks, such as members
	// of gangs, which replace leaseEnd for these.
	taskDeadlines map[sesametarget.TaskID]time.Time

	// all are the tasks that were started, including ended ones; starts counts
	// the starts of each, and violations describes those that asked for
	// accelerators in use.
	all        map[sesametarget.TaskID]*task
	starts     map[sesametarget.TaskID]int
	violations []string
}

// newTasks returns a target without tasks and without a lease.
func newTasks(d sesametarget.Description) *tasks {
	return &tasks{
		description: d,
		all:         map[sesametarget.TaskID]*task{},
		starts:      map[sesametarget.TaskID]int{},
	}
}

// endDue ends the tasks that are due.
func (s *tasks) endDue(now time.Time) {
	for _, t := range s.all {
		t.endIfDue(now)
	}
}

// renew extends the lease of its holder, or returns a *sesametarget.LeaseError
// while another holder has one.
func (s *tasks) renew(l sesametarget.Lease, now time.Time) error {
	s.endDue(now)
	if s.leaseEnd.After(now) && s.holder != l.Holder {
		return &sesametarget.LeaseError{
			Holder: l.Holder,
			Detail: fmt.Sprintf("lease of %q has not ended", s.holder),
		}
	}
	s.holder = l.Holder
	s.leaseEnd = now.Add(milliseconds(l.RemainingMs))
	s.taskDeadlines = make(map[sesametarget.TaskID]time.Time, len(l.TaskRemainingMs))
	for id, remaining := range l.TaskRemainingMs {
		s.taskDeadlines[id] = now.Add(milliseconds(remaining))
	}
	for _, t := range s.all {
		s.extend(t)
	}
	return nil
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// extend sets the deadline of a running task to the end of its lease, unless
// the task outlives its lease.
func (s *tasks) extend(t *task) {
	if t.running() && !t.OutlivesLease {
		t.deadline = s.deadlineOf(t.ID)
	}
}

// deadlineOf returns the end of the lease for this task.
func (s *tasks) deadlineOf(id sesametarget.TaskID) time.Time {
	if own, ok := s.taskDeadlines[id]; ok {
		return own
	}
	return s.leaseEnd
}

// start starts the task and returns true. It returns false without an error when
// the task was started before, so that repeated calls are harmless. The error is a
// *sesametarget.LeaseError without a valid lease, or that of admit.
func (s *tasks) start(t sesametarget.Task, now time.Time) (bool, error) {
	s.endDue(now)
	if _, ok := s.all[t.ID]; ok {
		return false, nil
	}
	if s.holder != t.Holder || !s.leaseEnd.After(now) || !s.deadlineOf(t.ID).After(now) {
		return false, &sesametarget.LeaseError{
			Holder: t.Holder,
			Detail: "no valid lease for this task",
		}
	}
	if err := s.admit(t); err != nil {
		return false, err
	}
	started := newTask(t, now)
	s.all[t.ID] = started
	s.extend(started)
	s.starts[t.ID]++
	return true, nil
}

// admit returns a *sesametarget.BusyError unless the task's accelerators are
// free and its resources fit. A task that asks for accelerators in use is also
// recorded as a violation.
func (s *tasks) admit(t sesametarget.Task) error {
	used := t.Need
	for _, id := range slices.Sorted(maps.Keys(s.all)) {
		other := s.all[id]
		if !other.running() {
			continue
		}
		used = used.Plus(other.Need)
		if both := other.AcceleratorMask & t.AcceleratorMask; both != 0 {
			detail := fmt.Sprintf("task %q asks for accelerators %b, which task %q uses", t.ID, both, id)
			s.violations = append(s.violations, detail)
			return busyError(t.ID, detail)
		}
	}
	if !used.Fits(s.description.Capacity) {
		return busyError(t.ID, fmt.Sprintf("tasks would use %+v, the capacity is %+v", used, s.description.Capacity))
	}
	return nil
}

// busyError returns the error of a task for which the target has no capacity.
func busyError(id sesametarget.TaskID, detail string) error {
	return &sesametarget.BusyError{
		Task:   id,
		Detail: detail,
	}
}

// find returns the task, or a *sesametarget.NotFoundError.
func (s *tasks) find(id sesametarget.TaskID, now time.Time) (*task, error) {
	s.endDue(now)
	t, ok := s.all[id]
	if !ok {
		return nil, &sesametarget.NotFoundError{
			Task: id,
		}
	}
	return t, nil
}

// list returns the status of all tasks, sorted by ID.
func (s *tasks) list(now time.Time) []sesametarget.Status {
	s.endDue(now)
	statuses := make([]sesametarget.Status, 0, len(s.all))
	for _, id := range slices.Sorted(maps.Keys(s.all)) {
		statuses = append(statuses, s.all[id].status)
	}
	return statuses
}

// output returns the output of a task, or a *sesametarget.NotDoneError unless
// it is done.
func (s *tasks) output(id sesametarget.TaskID, now time.Time) ([]byte, error) {
	t, err := s.find(id, now)
	if err != nil {
		return nil, err
	}
	if t.status.Phase != sesametarget.PhaseDone {
		return nil, &sesametarget.NotDoneError{
			Task:   id,
			Detail: string(t.status.Phase),
		}
	}
	return t.output(), nil
}

// used returns the resources of the running tasks.
func (s *tasks) used() sesamemodel.Resources {
	var used sesamemodel.Resources
	for _, t := range s.all {
		if t.running() {
			used = used.Plus(t.Need)
		}
	}
	return used
}
