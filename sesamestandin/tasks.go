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
// does no input or output; every call brings the time.
type tasks struct {
	description sesametarget.Description

	holder   string
	leaseEnd time.Time
	// taskDeadlines of tasks with a lease of their own.
	taskDeadlines map[sesametarget.TaskID]time.Time

	all        map[sesametarget.TaskID]*task
	starts     map[sesametarget.TaskID]int
	violations []string
}

func newTasks(d sesametarget.Description) *tasks {
	return &tasks{
		description: d,
		all:         map[sesametarget.TaskID]*task{},
		starts:      map[sesametarget.TaskID]int{},
	}
}

// endDue ends what has ended by now.
func (s *tasks) endDue(now time.Time) {
	for _, t := range s.all {
		t.endIfDue(now)
	}
}

// renew extends the holder's lease, or returns a *sesametarget.LeaseError.
func (s *tasks) renew(l sesametarget.Lease, now time.Time) error {
	s.endDue(now)
	if s.leaseEnd.After(now) && s.holder != l.Holder {
		return &sesametarget.LeaseError{
			Holder: l.Holder,
			Detail: fmt.Sprintf("lease of %q lives", s.holder),
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

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// extend moves the end of a running task's lease.
func (s *tasks) extend(t *task) {
	if t.running() && !t.OutlivesLease {
		t.deadline = s.deadlineOf(t.ID)
	}
}

func (s *tasks) deadlineOf(id sesametarget.TaskID) time.Time {
	if own, ok := s.taskDeadlines[id]; ok {
		return own
	}
	return s.leaseEnd
}

// start starts the task; false means that it exists already.
func (s *tasks) start(t sesametarget.Task, now time.Time) (bool, error) {
	s.endDue(now)
	if _, ok := s.all[t.ID]; ok {
		return false, nil
	}
	if s.holder != t.Holder || !s.leaseEnd.After(now) || !s.deadlineOf(t.ID).After(now) {
		return false, &sesametarget.LeaseError{
			Holder: t.Holder,
			Detail: "it has no live lease for this task",
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

// admit checks that the target has room for the task.
func (s *tasks) admit(t sesametarget.Task) error {
	used := t.Need
	for _, id := range slices.Sorted(maps.Keys(s.all)) {
		other := s.all[id]
		if !other.running() {
			continue
		}
		used = used.Plus(other.Need)
		if both := other.AcceleratorMask & t.AcceleratorMask; both != 0 {
			detail := fmt.Sprintf("task %q wants accelerators %b of task %q", t.ID, both, id)
			s.violations = append(s.violations, detail)
			return busyError(t.ID, detail)
		}
	}
	if !used.Fits(s.description.Capacity) {
		return busyError(t.ID, fmt.Sprintf("%+v would be used of %+v", used, s.description.Capacity))
	}
	return nil
}

func busyError(id sesametarget.TaskID, detail string) error {
	return &sesametarget.BusyError{
		Task:   id,
		Detail: detail,
	}
}

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

func (s *tasks) list(now time.Time) []sesametarget.Status {
	s.endDue(now)
	statuses := make([]sesametarget.Status, 0, len(s.all))
	for _, id := range slices.Sorted(maps.Keys(s.all)) {
		statuses = append(statuses, s.all[id].status)
	}
	return statuses
}

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

// used returns what the running tasks take.
func (s *tasks) used() sesamemodel.Resources {
	var used sesamemodel.Resources
	for _, t := range s.all {
		if t.running() {
			used = used.Plus(t.Need)
		}
	}
	return used
}
