package sesamegang

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// PendingReply answers a child's heartbeat.
type PendingReply struct {
	// Reply is set when the answer need not wait.
	Reply *sesamewire.GangReply
	// AfterRenewals is the count that must have been passed before GangAnswer is
	// asked for the reply.
	AfterRenewals uint64
}

// HeartbeatReceived records a heartbeat from a child. The answer waits until the
// receiver has renewed its own lease, so that one renewal runs through all
// levels of the tree at once.
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

func (n treeNode) hasChild(req *sesamewire.GangRequest) bool {
	return slices.ContainsFunc(n.children, func(c child) bool {
		return c.index == int(req.GetMember()) && c.incarnation == req.GetIncarnation()
	})
}

// Renewals returns the count of the attempt's renewals, and false when the
// attempt is not held.
func (a Agent) Renewals(k AttemptKey) (uint64, bool) {
	m, ok := a.Member(k)
	return m.node.renewals, ok
}

// ReplyToChild replies to a child's heartbeat.
func (a Agent) ReplyToChild(now time.Duration, req *sesamewire.GangRequest) *sesamewire.GangReply {
	k := KeyOf(req.GetId())
	m, ok := a.Member(k)
	if !ok {
		s, _ := a.tombstones.find(k)
		return &sesamewire.GangReply{
			Stop:     true,
			Detail:   "the parent does not hold the attempt",
			Recorded: s.recorded,
		}
	}
	if !m.node.hasChild(req) {
		return &sesamewire.GangReply{
			Stop:   true,
			Detail: "not a child of this member",
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

// GangHeartbeat is a call to a parent.
type GangHeartbeat struct {
	Key     AttemptKey
	Address string
	Sent    time.Duration
	Request *sesamewire.GangRequest
}

// DueHeartbeats begins the renewals that are due. The root renews its own lease; the
// others have a call to send, whose outcome goes to BeatAnswered or BeatFailed.
func (a Agent) DueHeartbeats(now time.Duration) (Agent, []GangHeartbeat) {
	var beats []GangHeartbeat
	for _, held := range a.members {
		if !held.sendsHeartbeats() || held.node.callPending || now < held.node.nextCallAt() {
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
		beats = append(beats, GangHeartbeat{
			Key:     m.Key,
			Address: m.node.parent.address,
			Sent:    now,
			Request: m.node.heartbeatRequest(now, m, a.incarnation),
		})
	}
	return a, beats
}

// sendsHeartbeats reports whether the member takes part in its gang's heartbeats.
func (m *Member) sendsHeartbeats() bool {
	return m.Gang() && m.Phase != Prepared && !m.node.recorded
}

func (n treeNode) withRootRenewal(now time.Duration, t Times) treeNode {
	before := n.deadline
	if !n.broken {
		n.deadline = max(n.deadline, n.aliveAt(now)+t.Lease)
	}
	return n.withRenewal(now, n.deadline > before, t)
}

// NextHeartbeat returns when Beats has something to do next, and false when no
// attempt needs it.
func (a Agent) NextHeartbeat() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, m := range a.members {
		if !m.sendsHeartbeats() || m.node.callPending {
			continue
		}
		if at := m.node.nextCallAt(); !found || at < next {
			next, found = at, true
		}
	}
	return next, found
}

// HeartbeatAnswered applies a parent's reply.
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

// HeartbeatFailed notes that a parent did not answer; the call is repeated soon.
func (a Agent) HeartbeatFailed(now time.Duration, b GangHeartbeat) Agent {
	m, ok := a.Member(b.Key)
	if !ok {
		return a
	}
	m.node.callPending = false
	m.node = m.node.withRenewal(now, false, a.times)
	return a.withMember(m)
}

// Outcomes returns the reports that are to be sent to the keeper: of an attempt
// without a gang when it has ended; by the root when all members have ended,
// or the gang broke and the silent members' leases are over; and by a member
// whose parent fell silent after the gang broke.
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
