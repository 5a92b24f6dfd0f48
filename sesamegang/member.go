package sesamegang

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// AttemptKey names one attempt of a job.
type AttemptKey struct {
	Job     string
	Attempt uint32
}

// KeyOf returns the name that a message carries.
func KeyOf(id *sesamewire.AttemptID) AttemptKey {
	return AttemptKey{
		Job:     id.GetJob(),
		Attempt: id.GetAttempt(),
	}
}

// ID returns the name as a message carries it.
func (k AttemptKey) ID() *sesamewire.AttemptID {
	return &sesamewire.AttemptID{
		Job:     k.Job,
		Attempt: k.Attempt,
	}
}

// Phase is a step in the life of an attempt on one agent.
type Phase int

// The phases, in their order.
const (
	// Prepared holds resources and has not started.
	Prepared Phase = iota
	// Running has been told to start.
	Running
	// Stopping was told to stop after it had started.
	Stopping
	// Ended has no task that runs.
	Ended
)

// TaskEnd is how one task ended.
type TaskEnd struct {
	Rank     int32
	Progress sesamewire.Progress
	Detail   string
	// Result is set when the task is done.
	Result *sesamewire.Result
}

// Member is an agent's part of an attempt. It is immutable.
type Member struct {
	Key   AttemptKey
	Index int
	// Size is the number of members.
	Size int
	Team string
	// FirstRank is the rank of the first task here, Tasks their number here, and
	// TotalTasks that of all members.
	FirstRank, Tasks, TotalTasks int
	Need                         *sesamewire.Resources
	Accelerators                 uint64
	Once                         bool
	Phase                        Phase
	// Input is what each task is given; it must not be changed.
	Input []byte
	// Adopted is true for an attempt that an earlier incarnation started.
	Adopted bool
	// Prepared and Opened are the readings at those steps.
	Prepared, Opened time.Duration

	holdUntil    time.Duration
	adoptedSlots int
	taskEnds     []TaskEnd
	report       *sesamewire.MemberReport
	node         treeNode
}

// OutlivesLease reports whether the attempt runs on when the agent's lease lapses: work
// that must not be repeated and is no gang.
func (m Member) OutlivesLease() bool {
	return m.Once && !m.Gang()
}

// Gang reports whether other targets have members of the attempt.
func (m Member) Gang() bool {
	return m.Size > 1
}

// UnfinishedRanks returns the ranks of the tasks here that have not ended.
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

// Report returns how the member ended, or nil before its end.
func (m Member) Report() *sesamewire.MemberReport {
	return m.report
}

// Progress returns how far the member has come.
func (m Member) Progress() sesamewire.Progress {
	switch m.Phase {
	case Prepared:
		return sesamewire.Progress_PROGRESS_PREPARED
	case Ended:
		return m.report.GetProgress()
	}
	return sesamewire.Progress_PROGRESS_RUNNING
}

// slots returns what all tasks here take of an executor.
func (m Member) slots() int {
	if m.Adopted {
		return m.adoptedSlots
	}
	return int(m.Need.GetSlots()) * m.Tasks
}

// holdsResources reports whether the member still occupies resources.
func (m Member) holdsResources() bool {
	return m.Phase != Ended
}

// withTaskEnd returns the member with one more ended task; a task ends once.
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

// severity orders how tasks may end; the worst decides for the member.
var severity = map[sesamewire.Progress]int{
	sesamewire.Progress_PROGRESS_DONE:    0,
	sesamewire.Progress_PROGRESS_NEVER:   1,
	sesamewire.Progress_PROGRESS_STOPPED: 2,
	sesamewire.Progress_PROGRESS_UNKNOWN: 3,
	sesamewire.Progress_PROGRESS_FAILED:  4,
}

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
