package sesamegang

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// Times are the settings that must be the same for all agents of a deployment.
type Times struct {
	// Heartbeat is the interval between two heartbeats to the same receiver.
	Heartbeat time.Duration
	// Lease is how long work may go on after the heartbeat that renewed its
	// lease.
	Lease time.Duration
	// Margin is added to a lease by the side that granted it, before it treats
	// the lease as expired.
	Margin time.Duration
	// Grace is how long the tasks of a broken gang, or of an attempt whose
	// other tasks failed, may take to end, for instance to write a checkpoint.
	Grace time.Duration
}

const (
	// childWaitPerLevel is how long a member waits for late children, for each
	// level of the tree below it, before it calls its own parent without them.
	childWaitPerLevel = 150 * time.Millisecond
	// retryDelay is the pause after a renewal that failed or did not extend the
	// gang's lease.
	retryDelay = 250 * time.Millisecond
)

// AgentOptions are the arguments of NewAgent.
type AgentOptions struct {
	// Incarnation identifies this start of the agent; see Agent.Incarnation.
	Incarnation string
	// Times are the settings shared by all agents.
	Times Times
}

// Agent is the state of all attempts on one agent. It is immutable: each method
// returns the changed value. Readings are of the caller's monotonic clock, as
// the time since a fixed moment.
type Agent struct {
	incarnation string
	times       Times
	// maxSlots bounds the slots of all attempts together; 0 means no bound.
	maxSlots int
	// leaving is true once the agent is being drained.
	leaving bool
	// leaseEnd is the reading at which the keeper's lease for the agent ends.
	leaseEnd time.Duration
	// members are sorted by job and attempt.
	members []*Member
	// tombstones mark attempts that must not start on this agent any more.
	tombstones *tombstones
}

// Halt asks the caller to stop the tasks of an attempt that have not ended.
type Halt struct {
	Key AttemptKey
	// Grace is how long the tasks may take to end; 0 stops them at once.
	Grace time.Duration
}

// Effects are the actions that the caller has to carry out after a change.
type Effects struct {
	// Start names attempts whose tasks are to be started, each once.
	Start []AttemptKey
	// Halt names attempts whose tasks are to be stopped.
	Halt []Halt
}

// NewAgent returns an agent without attempts and without a lease.
func NewAgent(o AgentOptions) Agent {
	return Agent{
		incarnation: o.Incarnation,
		times:       o.Times,
		tombstones:  &tombstones{},
	}
}

// Incarnation returns the identifier of this start of the agent. A call that
// names another incarnation is refused.
func (a Agent) Incarnation() string {
	return a.incarnation
}

// WithLease returns the agent with its lease extended to the given reading. A
// lease that was granted earlier is never shortened.
func (a Agent) WithLease(until time.Duration) Agent {
	a.leaseEnd = max(a.leaseEnd, until)
	return a
}

// LeaseRemaining returns the time until the agent's lease ends, at least 0.
func (a Agent) LeaseRemaining(now time.Duration) time.Duration {
	return max(a.leaseEnd-now, 0)
}

// WithSlots returns the agent with an upper bound on the slots of all attempts
// together; 0 means no bound.
func (a Agent) WithSlots(slots int) Agent {
	a.maxSlots = slots
	return a
}

// WithLeaving returns the agent with leaving set, for a drain: the agent refuses
// new attempts and lets those that it holds go on.
func (a Agent) WithLeaving() Agent {
	a.leaving = true
	return a
}

// Leaving reports whether the agent refuses new attempts, since it drains or
// cannot store more tombstones.
func (a Agent) Leaving() bool {
	return a.leaving || a.tombstones.full()
}

// CanRenewIncarnation reports whether a new incarnation is useful, because many
// tombstones are stored, and safe, because no attempt is held.
func (a Agent) CanRenewIncarnation() bool {
	return len(a.members) == 0 && a.tombstones.count >= renewalTombstones
}

// WithNewIncarnation returns the agent under a new incarnation, without a lease.
// Calls meant for the former incarnation are refused, so its tombstones are no
// longer needed and are dropped.
func (a Agent) WithNewIncarnation(incarnation string) Agent {
	a.incarnation = incarnation
	a.leaseEnd = 0
	a.tombstones = &tombstones{}
	return a
}

// Member returns the agent's part of an attempt, and false when the agent does
// not hold the attempt.
func (a Agent) Member(k AttemptKey) (Member, bool) {
	i, ok := a.find(k)
	if !ok {
		return Member{}, false
	}
	return *a.members[i], true
}

// Members returns the agent's parts of all attempts that it holds or still has
// to report, sorted by job and attempt.
func (a Agent) Members() []Member {
	members := make([]Member, 0, len(a.members))
	for _, m := range a.members {
		members = append(members, *m)
	}
	return members
}

// find returns the index of the attempt in members, or the index at which it
// would be inserted and false.
func (a Agent) find(k AttemptKey) (int, bool) {
	return slices.BinarySearchFunc(a.members, k, func(m *Member, k AttemptKey) int {
		return cmp.Or(cmp.Compare(m.Key.Job, k.Job), cmp.Compare(m.Key.Attempt, k.Attempt))
	})
}

// TaskRemaining returns how long the tasks of a member may go on: until the
// agent's lease ends, and for a gang not past the gang's own lease.
func (a Agent) TaskRemaining(m Member, now time.Duration) time.Duration {
	remaining := a.LeaseRemaining(now)
	if m.Gang() {
		remaining = min(remaining, m.node.deadline-now)
	}
	return max(remaining, 0)
}

// withMember returns the agent with the member added or replaced.
func (a Agent) withMember(m Member) Agent {
	i, ok := a.find(m.Key)
	a.members = slices.Clone(a.members)
	if ok {
		a.members[i] = &m
	} else {
		a.members = slices.Insert(a.members, i, &m)
	}
	return a
}

// withoutMember returns the agent without its part of the attempt.
func (a Agent) withoutMember(k AttemptKey) Agent {
	if i, ok := a.find(k); ok {
		a.members = slices.Delete(slices.Clone(a.members), i, i+1)
	}
	return a
}

// withTombstone replaces a member by its tombstone; recorded tells whether the
// outcome of the attempt is stored in the job's row.
func (a Agent) withTombstone(m Member, recorded bool) Agent {
	a = a.withoutMember(m.Key)
	a.tombstones = a.tombstones.with(m.Key, tombstone{
		report:   m.report,
		recorded: recorded,
	})
	return a
}

// withNeverStarted returns the member as ended, with the report that its tasks
// were never started.
func (m Member) withNeverStarted(detail string) Member {
	m.Phase = Ended
	m.report = &sesamewire.MemberReport{
		Member:   int32(m.Index),
		Progress: sesamewire.Progress_PROGRESS_NEVER,
		Detail:   detail,
	}
	return m
}

// stopMember ends a member whose tasks were not started and leaves its tombstone,
// with detail as the reason. A running member becomes Stopping, with the effect
// that halts its tasks within the grace. Any other member is left as it is.
func (a Agent) stopMember(m Member, grace time.Duration, detail string) (Agent, Effects) {
	switch m.Phase {
	case Prepared:
		return a.withTombstone(m.withNeverStarted(detail), false), Effects{}
	case Running:
		m.Phase = Stopping
		return a.withMember(m), Effects{
			Halt: []Halt{
				{
					Key:   m.Key,
					Grace: grace,
				},
			},
		}
	}
	return a, Effects{}
}

// TaskEnded records the end of a task on this agent's target. Unless the task is
// done, the other tasks of the attempt on this target are stopped. If the attempt
// is a gang, the gang breaks once they have ended.
func (a Agent) TaskEnded(now time.Duration, k AttemptKey, end TaskEnd) (Agent, Effects) {
	m, ok := a.Member(k)
	if !ok || m.Phase == Prepared || m.Phase == Ended {
		return a, Effects{}
	}
	m = m.withTaskEnd(end)
	if m.Phase == Ended {
		return a.memberEnded(now, m), Effects{}
	}
	a = a.withMember(m)
	if end.Progress == sesamewire.Progress_PROGRESS_DONE {
		return a, Effects{}
	}
	return a.stopMember(m, a.times.Grace, end.Detail)
}

// memberEnded keeps a member whose tasks have all ended until the outcome of its
// attempt is recorded. In a gang the member's report goes to its parent.
func (a Agent) memberEnded(now time.Duration, m Member) Agent {
	if !m.Gang() {
		return a.withMember(m)
	}
	m.node = m.node.withReports(now, []*sesamewire.MemberReport{m.report})
	if m.node.recorded {
		return a.withTombstone(m, true)
	}
	return a.withMember(m)
}

// OutcomeRecorded notes that the outcome of an attempt is stored in the job's
// row. The agent's part of the attempt is replaced by a tombstone, at once or
// when its tasks have ended.
func (a Agent) OutcomeRecorded(k AttemptKey) Agent {
	m, ok := a.Member(k)
	if !ok {
		return a
	}
	if m.Phase != Ended {
		m.node.recorded = true
		return a.withMember(m)
	}
	return a.withTombstone(m, true)
}

// AdoptedAttempt is an attempt that an earlier incarnation of the agent started
// and whose tasks the target still holds, since they may outlive a lease.
type AdoptedAttempt struct {
	Key AttemptKey
	// FirstRank is the rank of the attempt's first task on this target, and
	// Tasks is the number of its tasks on the target.
	FirstRank, Tasks int
	// Slots is the number of slots held by the tasks that still run.
	Slots int
	// AcceleratorMask has a bit set for each accelerator held by those tasks.
	AcceleratorMask uint64
}

// Adopt returns the agent with an attempt of an earlier incarnation, to watch the
// attempt to its end. The attempt is treated as work that must not be repeated.
// It counts as opened now, since it is not known when that was. An attempt that
// the agent holds already is not replaced.
func (a Agent) Adopt(now time.Duration, adopted AdoptedAttempt) Agent {
	if _, ok := a.Member(adopted.Key); ok {
		return a
	}
	return a.withMember(Member{
		Key:             adopted.Key,
		Size:            1,
		FirstRank:       adopted.FirstRank,
		Tasks:           adopted.Tasks,
		TotalTasks:      adopted.Tasks,
		AcceleratorMask: adopted.AcceleratorMask,
		AtMostOnce:      true,
		Phase:           Running,
		Opened:          now,
		Adopted:         true,
		adoptedSlots:    adopted.Slots,
	})
}

// Tick ends what has expired by now: prepared attempts that were not opened in
// time, running attempts whose agent lost its lease, and members of gangs whose
// lease was not renewed.
func (a Agent) Tick(now time.Duration) (Agent, Effects) {
	var all Effects
	for _, m := range a.Members() {
		var e Effects
		a, e = a.expire(now, m)
		all.Halt = append(all.Halt, e.Halt...)
	}
	return a, all
}

// expire drops a prepared member that was not opened in time or whose agent's
// lease ended; no tombstone stays, so the attempt may be prepared again. A running
// member is halted when its agent's lease ends, unless OutlivesLease holds. When
// the gang's own lease ends, the gang breaks and a running member is halted.
func (a Agent) expire(now time.Duration, m Member) (Agent, Effects) {
	switch {
	case m.Phase == Prepared && (now >= m.holdUntil || now >= a.leaseEnd):
		return a.withoutMember(m.Key), Effects{}
	case m.Phase == Prepared || m.OutlivesLease():
		return a, Effects{}
	case m.Gang() && now >= m.node.deadline && !m.node.broken:
		m.node = m.node.withBreak(now, "the gang's lease ended")
		return a.withMember(m).stopMember(m, 0, m.node.cause)
	case m.Phase == Running && now >= a.leaseEnd:
		return a.stopMember(m, 0, "the agent's lease ended")
	}
	return a, Effects{}
}

// PendingHalts returns a Halt for each member that was ordered to stop and whose
// tasks have not all ended (phase Stopping). The caller carries these out again,
// since an earlier halt may have been lost. Grace is 0: a repeated halt stops the
// tasks at once.
func (a Agent) PendingHalts() []Halt {
	var halts []Halt
	for _, m := range a.Members() {
		if m.Phase == Stopping {
			halts = append(halts, Halt{
				Key: m.Key,
			})
		}
	}
	return halts
}
