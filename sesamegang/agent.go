package sesamegang

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// Times are the durations that agents of one deployment share.
type Times struct {
	Heartbeat time.Duration
	Lease     time.Duration
	// Margin is how much longer than a lease its giver waits.
	Margin time.Duration
	Grace  time.Duration
}

const (
	// childWaitPerLevel is how long a member waits for each level below it before it
	// calls its own parent without the missing children.
	childWaitPerLevel = 150 * time.Millisecond
	// retryDelay is the pause after a call to the parent that failed.
	retryDelay = 250 * time.Millisecond
)

// AgentOptions is what an Agent starts with.
type AgentOptions struct {
	Incarnation string
	Times       Times
}

// Agent is the state of all attempts on one agent. It is immutable: each method
// returns the changed value. Readings are of one monotonic clock.
type Agent struct {
	incarnation string
	times       Times
	maxSlots    int
	leaving     bool
	leaseEnd    time.Duration
	// members are in the order of their keys.
	members    []*Member
	tombstones *tombstones
}

// Halt asks to stop the tasks of an attempt that have not ended.
type Halt struct {
	Key   AttemptKey
	Grace time.Duration
}

// Effects are what the caller has to do after a change.
type Effects struct {
	// Start names attempts whose tasks are to be started, each once.
	Start []AttemptKey
	Halt  []Halt
}

// NewAgent returns an agent without attempts and without a lease.
func NewAgent(o AgentOptions) Agent {
	return Agent{
		incarnation: o.Incarnation,
		times:       o.Times,
		tombstones:  &tombstones{},
	}
}

// Incarnation returns the name that calls must be bound to.
func (a Agent) Incarnation() string {
	return a.incarnation
}

// WithLease returns the agent with its lease extended to a reading. A lease
// that was granted earlier is never cut short.
func (a Agent) WithLease(until time.Duration) Agent {
	a.leaseEnd = max(a.leaseEnd, until)
	return a
}

// LeaseRemaining returns what is left of the agent's lease, at least 0.
func (a Agent) LeaseRemaining(now time.Duration) time.Duration {
	return max(a.leaseEnd-now, 0)
}

// WithSlots returns the agent with a bound on the slots of all attempts
// together; 0 means none.
func (a Agent) WithSlots(slots int) Agent {
	a.maxSlots = slots
	return a
}

// WithLeaving returns the agent refusing new work.
func (a Agent) WithLeaving() Agent {
	a.leaving = true
	return a
}

// Leaving reports whether the agent refuses new work.
func (a Agent) Leaving() bool {
	return a.leaving || a.tombstones.full()
}

// CanRenewIncarnation reports whether it is time for a new incarnation, and safe: no
// attempt is left and many tombstones are.
func (a Agent) CanRenewIncarnation() bool {
	return len(a.members) == 0 && a.tombstones.count >= renewalTombstones
}

// WithNewIncarnation returns the agent under a new incarnation. Calls meant for the former
// one are refused, so its tombstones are dropped.
func (a Agent) WithNewIncarnation(incarnation string) Agent {
	a.incarnation = incarnation
	a.leaseEnd = 0
	a.tombstones = &tombstones{}
	return a
}

// Member returns the agent's part of an attempt.
func (a Agent) Member(k AttemptKey) (Member, bool) {
	i, ok := a.find(k)
	if !ok {
		return Member{}, false
	}
	return *a.members[i], true
}

// Members returns all parts that the agent holds or has to report, in order.
func (a Agent) Members() []Member {
	members := make([]Member, 0, len(a.members))
	for _, m := range a.members {
		members = append(members, *m)
	}
	return members
}

// find returns where the attempt is or would be.
func (a Agent) find(k AttemptKey) (int, bool) {
	return slices.BinarySearchFunc(a.members, k, func(m *Member, k AttemptKey) int {
		return cmp.Or(cmp.Compare(m.Key.Job, k.Job), cmp.Compare(m.Key.Attempt, k.Attempt))
	})
}

// TaskRemaining returns how long the tasks of a member may go on.
func (a Agent) TaskRemaining(m Member, now time.Duration) time.Duration {
	remaining := a.LeaseRemaining(now)
	if m.Gang() {
		remaining = min(remaining, m.node.deadline-now)
	}
	return max(remaining, 0)
}

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

func (a Agent) withoutMember(k AttemptKey) Agent {
	if i, ok := a.find(k); ok {
		a.members = slices.Delete(slices.Clone(a.members), i, i+1)
	}
	return a
}

// withTombstone replaces a member by its tombstone.
func (a Agent) withTombstone(m Member, recorded bool) Agent {
	a = a.withoutMember(m.Key)
	a.tombstones = a.tombstones.with(m.Key, tombstone{
		report:   m.report,
		recorded: recorded,
	})
	return a
}

// withNeverStarted returns the member ended without a start.
func (m Member) withNeverStarted(detail string) Member {
	m.Phase = Ended
	m.report = &sesamewire.MemberReport{
		Member:   int32(m.Index),
		Progress: sesamewire.Progress_PROGRESS_NEVER,
		Detail:   detail,
	}
	return m
}

// stopMember ends a member that has not started, or returns it stopping with the
// effect that its tasks need.
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

// TaskEnded records the end of a task that this agent watched. A task that did
// not end done stops the others of its attempt.
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

// memberEnded keeps a member whose tasks have all memberEnded until it is recorded.
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

// OutcomeRecorded forgets an attempt whose outcome is recorded, but for its tombstone.
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

// AdoptedAttempt is an attempt that an earlier incarnation started and that outlived
// its lease.
type AdoptedAttempt struct {
	Key AttemptKey
	// FirstRank is the rank of the first task, Tasks their number.
	FirstRank, Tasks int
	// Slots and Accelerators are what all its tasks that run hold.
	Slots        int
	Accelerators uint64
}

// Adopt returns the agent watching an attempt of an earlier incarnation.
func (a Agent) Adopt(l AdoptedAttempt) Agent {
	if _, ok := a.Member(l.Key); ok {
		return a
	}
	return a.withMember(Member{
		Key:          l.Key,
		Size:         1,
		FirstRank:    l.FirstRank,
		Tasks:        l.Tasks,
		TotalTasks:   l.Tasks,
		Accelerators: l.Accelerators,
		Once:         true,
		Phase:        Running,
		Adopted:      true,
		adoptedSlots: l.Slots,
	})
}

// Tick ends what has lapsed by now: holds without an Open, work whose lease
// ended, and gangs that were not renewed.
func (a Agent) Tick(now time.Duration) (Agent, Effects) {
	var all Effects
	for _, m := range a.Members() {
		var e Effects
		a, e = a.expire(now, m)
		all.Halt = append(all.Halt, e.Halt...)
	}
	return a, all
}

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

// PendingHalts returns the stops that have not taken effect yet, to be repeated.
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
