package sesamegang

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// AttemptKey identifies one attempt, which is one placement of a job.
type AttemptKey struct {
	Job string
	// Attempt is the number of the attempt, which grows within a job.
	Attempt uint32
}

// KeyOf returns the key of the attempt that a message names.
func KeyOf(id *sesamewire.AttemptID) AttemptKey {
	return AttemptKey{
		Job:     id.GetJob(),
		Attempt: id.GetAttempt(),
	}
}

// ID returns the key in the form that messages carry.
func (k AttemptKey) ID() *sesamewire.AttemptID {
	return &sesamewire.AttemptID{
		Job:     k.Job,
		Attempt: k.Attempt,
	}
}

// Phase is the state of an attempt on one agent.
type Phase int

// The phases, in the order in which an attempt goes through them.
const (
	// Prepared means that resources are held and no task was started.
	Prepared Phase = iota
	// Running means that the tasks were ordered to start.
	Running
	// Stopping means that the tasks were ordered to stop after a start.
	Stopping
	// Ended means that no task runs any more.
	Ended
)

// TaskEnd says how one task ended.
type TaskEnd struct {
	// Rank is the task's index among all tasks of the attempt.
	Rank int32
	// Progress is how the task ended: never started, done, failed, stopped or
	// unknown.
	Progress sesamewire.Progress
	// Detail says why, where that is known; it is empty when the task is done.
	Detail string
	// Result describes the output of a task that is done; nil otherwise.
	Result *sesamewire.Result
}

// Member is one agent's part of an attempt: the tasks that run on its target. It
// is immutable.
type Member struct {
	Key AttemptKey
	// Index is the member's position among the members of the attempt.
	Index int
	// Size is the number of members of the attempt.
	Size int
	Team string
	// FirstRank is the rank of the member's first task, Tasks the number of its
	// tasks, and TotalTasks the number of tasks of all members.
	FirstRank, Tasks, TotalTasks int
	// Need is what one task needs; nil when the attempt was adopted.
	Need *sesamewire.Resources
	// AcceleratorMask has a bit set for each accelerator of the target that the
	// member's tasks use.
	AcceleratorMask uint64
	// AtMostOnce is true when the job must not be repeated after a start.
	AtMostOnce bool
	Phase      Phase
	// Input is passed to each task; it must not be changed.
	Input []byte
	// Adopted is true when an earlier incarnation started the attempt.
	Adopted bool
	// Prepared and Opened are the readings of this agent's clock at which the
	// first Prepare and the first Open were accepted.
	Prepared, Opened time.Duration

	// holdUntil is the reading at which the attempt is dropped if it was not
	// opened.
	holdUntil time.Duration
	// adoptedSlots is the number of slots held by an adopted attempt.
	adoptedSlots int
	// taskEnds holds one element for each of the member's tasks that has ended.
	taskEnds []TaskEnd
	// report says how the member ended; nil before its end.
	report *sesamewire.MemberReport
	// node is the member's state in the heartbeat tree of a gang.
	node treeNode
}

// OutlivesLease reports whether the tasks run on when the agent's lease expires.
// That holds for a job that must not be repeated and has a single member.
func (m Member) OutlivesLease() bool {
	return m.AtMostOnce && !m.Gang()
}

// Gang reports whether the attempt has members on other targets too.
func (m Member) Gang() bool {
	return m.Size > 1
}

// UnfinishedRanks returns the ranks of the member's tasks that have not ended.
func (m Member) UnfinishedRanks() []int32 {
	ended := map[int32]bool{}
	for _, e := range m.taskEnds {
		ended[e.Rank] = true
	}
	var ranks []int32
	for i := range m.Tasks {
		if rank := int32(m.FirstRank + i); !ended[rank] {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// Report returns the report of how the member ended, or nil before its end.
func (m Member) Report() *sesamewire.MemberReport {
	return m.report
}

// Progress returns how far the member has come, as messages report it: prepared,
// running, or how it ended.
func (m Member) Progress() sesamewire.Progress {
	switch m.Phase {
	case Prepared:
		return sesamewire.Progress_PROGRESS_PREPARED
	case Ended:
		return m.report.GetProgress()
	}
	return sesamewire.Progress_PROGRESS_RUNNING
}

// slots returns the number of slots that all the member's tasks take together.
func (m Member) slots() int {
	if m.Adopted {
		return m.adoptedSlots
	}
	return int(m.Need.GetSlots()) * m.Tasks
}

// holdsResources reports whether the member still holds accelerators and slots.
func (m Member) holdsResources() bool {
	return m.Phase != Ended
}

// withTaskEnd returns the member with one more ended task. It ignores a second
// end of the same task, and ranks of other members. The last end makes the
// member Ended and sets its report.
func (m Member) withTaskEnd(end TaskEnd) Member {
	if end.Rank < int32(m.FirstRank) || end.Rank >= int32(m.FirstRank+m.Tasks) {
		return m
	}
	for _, e := range m.taskEnds {
		if e.Rank == end.Rank {
			return m
		}
	}
	m.taskEnds = append(append([]TaskEnd{}, m.taskEnds...), end)
	if len(m.taskEnds) == m.Tasks {
		m.Phase = Ended
		m.Input = nil
		m.report = m.newReport()
	}
	return m
}

// severity ranks the ways in which a task can end. The member's report has the
// most severe one among its tasks.
var severity = map[sesamewire.Progress]int{
	sesamewire.Progress_PROGRESS_DONE:    0,
	sesamewire.Progress_PROGRESS_NEVER:   1,
	sesamewire.Progress_PROGRESS_STOPPED: 2,
	sesamewire.Progress_PROGRESS_UNKNOWN: 3,
	sesamewire.Progress_PROGRESS_FAILED:  4,
}

// newReport returns the report of a member whose tasks have all ended. A member
// counts as never started only when none of its tasks was started.
func (m Member) newReport() *sesamewire.MemberReport {
	worst := m.taskEnds[0]
	never := 0
	for _, e := range m.taskEnds {
		if severity[e.Progress] > severity[worst.Progress] {
			worst = e
		}
		if e.Progress == sesamewire.Progress_PROGRESS_NEVER {
			never++
		}
	}
	report := &sesamewire.MemberReport{
		Member:   int32(m.Index),
		Progress: worst.Progress,
		Detail:   worst.Detail,
	}
	if worst.Progress == sesamewire.Progress_PROGRESS_NEVER && never < len(m.taskEnds) {
		report.Progress = sesamewire.Progress_PROGRESS_STOPPED
	}
	if worst.Progress == sesamewire.Progress_PROGRESS_DONE {
		for _, e := range m.taskEnds {
			report.Results = append(report.Results, e.Result)
		}
	}
	return report
}
