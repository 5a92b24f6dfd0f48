package sesamegang

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// PendingReply says what to answer to a child's heartbeat, and when.
type PendingReply struct {
	// Reply is set when the child can be answered at once.
	Reply *sesamewire.GangReply
	// AfterRenewals is set otherwise: once Agent.Renewals returns a greater
	// count, ReplyToChild has the reply.
	AfterRenewals uint64
}

// HeartbeatReceived records a heartbeat from a child in the tree of a gang. The
// reply waits until this member has renewed its own lease, so that one renewal
// reaches all levels of the tree at once. It does not wait when the gang is
// broken, its outcome is recorded, or there is no lease yet.
func (a Agent) HeartbeatReceived(now time.Duration, req *sesamewire.GangRequest) (Agent, Effects, PendingReply) {
	m, ok := a.Member(KeyOf(req.GetId()))
	if !ok || !m.node.hasChild(req) {
		return a, Effects{}, PendingReply{
			Reply: a.ReplyToChild(now, req),
		}
	}
	if m.Phase == Prepared {
		return a, Effects{}, PendingReply{
			Reply: &sesamewire.GangReply{
				ReadingMs: now.Milliseconds(),
			},
		}
	}
	var effects Effects
	broken := m.node.broken
	m.node = m.node.withChildHeartbeat(now, req)
	a = a.withMember(m)
	if m.node.broken && !broken {
		a, effects = a.stopMember(m, a.times.Grace, m.node.cause)
	}
	v := PendingReply{
		AfterRenewals: m.node.renewals,
	}
	if m.node.broken || m.node.recorded {
		v.Reply = a.ReplyToChild(now, req)
	}
	return a, effects, v
}

// hasChild reports whether the sender is a child of this member, under the
// incarnation that the attempt was placed on.
func (n treeNode) hasChild(req *sesamewire.GangRequest) bool {
	return slices.ContainsFunc(n.children, func(c child) bool {
		return c.index == int(req.GetMember()) && c.incarnation == req.GetIncarnation()
	})
}

// Renewals returns how many renewals of the attempt's gang lease have ended on
// this agent, whether they extended the lease or not. A break of the gang counts
// as one. The result is false when the agent does not hold the attempt.
func (a Agent) Renewals(k AttemptKey) (uint64, bool) {
	m, ok := a.Member(k)
	return m.node.renewals, ok
}

// ReplyToChild returns the reply to the heartbeat of a child, a member directly
// below this agent's member in the heartbeat tree of a gang: how long the child
// may go on, or that it has to stop. A sender that is not a child has to stop, and
// so has any sender when the agent does not hold the attempt.
func (a Agent) ReplyToChild(now time.Duration, req *sesamewire.GangRequest) *sesamewire.GangReply {
	k := KeyOf(req.GetId())
	m, ok := a.Member(k)
	if !ok {
		s, _ := a.tombstones.find(k)
		return &sesamewire.GangReply{
			Stop:     true,
			Detail:   "parent does not hold the attempt",
			Recorded: s.recorded,
		}
	}
	if !m.node.hasChild(req) {
		return &sesamewire.GangReply{
			Stop:   true,
			Detail: "sender is not a child of this member",
		}
	}
	reply := &sesamewire.GangReply{
		Stop:      m.node.broken,
		Detail:    m.node.cause,
		ReadingMs: now.Milliseconds(),
		Recorded:  m.node.recorded,
	}
	if !m.node.broken {
		reply.RemainingMs = max(m.node.deadline-now, 0).Milliseconds()
	}
	return reply
}

// GangHeartbeat is a heartbeat that a member of a gang sends to its parent.
type GangHeartbeat struct {
	Key AttemptKey
	// Address is where the parent's agent listens, as host:port.
	Address string
	// Sent is the reading of this agent's clock at which the call begins.
	Sent    time.Duration
	Request *sesamewire.GangRequest
}

// DueHeartbeats begins the renewals of gang leases that are due by now. The root
// of a gang renews its own lease. Every other member has a heartbeat to send to
// its parent; the result goes to HeartbeatAnswered or HeartbeatFailed.
func (a Agent) DueHeartbeats(now time.Duration) (Agent, []GangHeartbeat) {
	var heartbeats []GangHeartbeat
	for _, held := range a.members {
		if !held.sendsHeartbeats() || held.node.callPending || now < held.node.nextRenewalAt() {
			continue
		}
		m := *held
		m.node.urgent = false
		if m.node.isRoot() {
			m.node = m.node.withRootRenewal(now, a.times)
			a = a.withMember(m)
			continue
		}
		m.node.callPending = true
		a = a.withMember(m)
		heartbeats = append(heartbeats, GangHeartbeat{
			Key:     m.Key,
			Address: m.node.parent.address,
			Sent:    now,
			Request: m.node.heartbeatRequest(now, m, a.incarnation),
		})
	}
	return a, heartbeats
}

// sendsHeartbeats reports whether the member takes part in the heartbeats of a
// gang: from its start until the outcome of the attempt is recorded.
func (m *Member) sendsHeartbeats() bool {
	return m.Gang() && m.Phase != Prepared && !m.node.recorded
}

// withRootRenewal renews the gang's lease in the root of the heartbeat tree. The
// deadline, at which the lease ends, becomes one Lease after the latest time at
// which every member that has not ended is known to have been alive; it never
// moves back. The deadline of a broken gang stays.
func (n treeNode) withRootRenewal(now time.Duration, t Times) treeNode {
	before := n.deadline
	if !n.broken {
		n.deadline = max(n.deadline, n.aliveAt(now)+t.Lease)
	}
	return n.withRenewal(now, n.deadline > before, t)
}

// NextHeartbeat returns the reading at which DueHeartbeats next has a renewal to
// begin. It returns false when there is none: no member takes part in heartbeats,
// or all that do still wait for an answer from their parents.
func (a Agent) NextHeartbeat() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, m := range a.members {
		if !m.sendsHeartbeats() || m.node.callPending {
			continue
		}
		if at := m.node.nextRenewalAt(); !found || at < next {
			next, found = at, true
		}
	}
	return next, found
}

// HeartbeatAnswered applies a parent's reply to a heartbeat. It stops the member
// when the reply says that the gang is broken.
func (a Agent) HeartbeatAnswered(now time.Duration, b GangHeartbeat, reply *sesamewire.GangReply) (Agent, Effects) {
	m, ok := a.Member(b.Key)
	if !ok {
		return a, Effects{}
	}
	broken := m.node.broken
	m.node = m.node.withParentReply(now, b.Sent, b.Request, reply, a.times)
	a = a.withMember(m)
	if m.node.recorded && m.Phase == Ended {
		return a.withTombstone(m, true), Effects{}
	}
	if m.node.broken && !broken {
		return a.stopMember(m, a.times.Grace, m.node.cause)
	}
	return a, Effects{}
}

// HeartbeatFailed records that the parent did not answer. The next heartbeat is
// sent after retryDelay, or after a heartbeat interval when the gang is broken.
func (a Agent) HeartbeatFailed(now time.Duration, b GangHeartbeat) Agent {
	m, ok := a.Member(b.Key)
	if !ok {
		return a
	}
	m.node.callPending = false
	m.node = m.node.withRenewal(now, false, a.times)
	return a.withMember(m)
}

// Outcomes returns the reports that are due to be sent to the keeper, the entry
// that manages the target's cell. An attempt on a single target is reported when
// it has ended. A gang is reported by its root, when all members have ended, or
// when the gang is broken and the leases of silent members are over. A member
// whose parent fell silent after the gang broke sends the reports of its subtree
// itself.
func (a Agent) Outcomes(now time.Duration) []*sesamewire.FinishRequest {
	var outcomes []*sesamewire.FinishRequest
	for _, m := range a.members {
		reports := m.dueReports(now, a.times)
		if len(reports) == 0 {
			continue
		}
		outcomes = append(outcomes, &sesamewire.FinishRequest{
			Id:          m.Key.ID(),
			Incarnation: a.incarnation,
			Reports:     reports,
		})
	}
	return outcomes
}

// dueReports returns the reports that this member has to send to the keeper now;
// nil when there are none. Once a lease, the grace and the margin have passed
// since the gang broke, silent members have lost their leases and stopped their
// tasks.
func (m *Member) dueReports(now time.Duration, t Times) []*sesamewire.MemberReport {
	if m.Phase != Ended || m.node.recorded {
		return nil
	}
	if !m.Gang() {
		return []*sesamewire.MemberReport{m.report}
	}
	n := m.node
	silence := t.Lease + t.Grace + t.Margin
	settled := n.broken && now >= n.brokenAt+silence
	if n.isRoot() && (len(n.reports) == n.size || settled) {
		return n.allReports()
	}
	if !n.isRoot() && settled && now >= n.answeredAt+silence {
		return slices.Collect(maps.Values(n.reports))
	}
	return nil
}
