package sesamegang

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// peer identifies a member that is this member's parent or child in the tree.
type peer struct {
	// index is the member's position among the members of the attempt, or
	// noMember for the parent of the root.
	index int
	// address is where the member's agent listens, as host:port.
	address string
	// incarnation identifies the start of the agent that the attempt was placed
	// on.
	incarnation string
}

// child is what a member knows of one of its children.
type child struct {
	peer
	// aliveAt is the latest known reading of this agent's clock at which every
	// member of the child's subtree that has not ended was certainly alive.
	aliveAt time.Duration
	// heardSinceRenewal is true when the child has sent a heartbeat since this
	// member's last renewal.
	heardSinceRenewal bool
	// unreported counts the members of the child's subtree, the child included,
	// whose end has not been reported.
	unreported int
}

// treeNode is the state of one member in the heartbeat tree of its gang. It is
// immutable. Its times are readings of this agent's clock, except parentClock.
type treeNode struct {
	// size is the number of members of the gang.
	size int
	// height is the number of levels of the tree below this member.
	height int
	// parent has the index noMember in the root.
	parent   peer
	children []child
	// deadline is when the member's gang lease ends.
	deadline time.Duration
	// dueAt is when the next renewal begins, unless it is urgent or has to wait
	// for late children; see nextRenewalAt.
	dueAt time.Duration
	// urgent makes the next renewal due at once.
	urgent bool
	// callPending is true while a heartbeat to the parent is not answered and
	// has not failed.
	callPending bool
	// renewals counts the renewals that ended: the root's own, and heartbeats to
	// the parent that were answered or failed. A break of the gang counts as
	// one, so that waiting children are answered.
	renewals uint64
	// parentClock is the reading of the parent's clock in its last reply that
	// had one; 0 before. The reply was received at parentClockAt.
	parentClock   time.Duration
	parentClockAt time.Duration
	// answeredAt is when the parent last replied.
	answeredAt time.Duration
	// reports has the reports of the ended members of this subtree, by member;
	// unconfirmed names those that the parent has not confirmed.
	reports     map[int32]*sesamewire.MemberReport
	unconfirmed map[int32]bool
	// broken is true once all members have to stop; cause says why. brokenAt is
	// when this member learned of it.
	broken   bool
	brokenAt time.Duration
	cause    string
	// recorded is true once the attempt's outcome is stored in the job's row.
	recorded bool
}

// newTreeNode returns the state of member i before the attempt is opened.
func newTreeNode(i int, members []*sesamewire.Member) treeNode {
	size := len(members)
	n := treeNode{
		size:   size,
		height: height(i, size),
		parent: peer{
			index: noMember,
		},
	}
	if p := Parent(i); p >= 0 {
		n.parent = newPeer(p, members)
	}
	for _, c := range Children(i, size) {
		n.children = append(n.children, child{
			peer:       newPeer(c, members),
			unreported: subtreeSize(c, size),
		})
	}
	return n
}

// newPeer returns member i of the attempt as a peer.
func newPeer(i int, members []*sesamewire.Member) peer {
	return peer{
		index:       i,
		address:     members[i].GetAddress(),
		incarnation: members[i].GetIncarnation(),
	}
}

// isRoot reports whether the member has no parent.
func (n treeNode) isRoot() bool {
	return n.parent.index == noMember
}

// withOpen returns the node with its first lease, which begins now for the
// member and its children.
func (n treeNode) withOpen(now time.Duration, t Times) treeNode {
	n.deadline = now + t.Lease
	n.dueAt = now
	n.answeredAt = now
	n.children = slices.Clone(n.children)
	for i := range n.children {
		n.children[i].aliveAt = now
	}
	return n
}

// withBreak returns the node with its gang broken, or unchanged if it is broken
// already. The next heartbeat to the parent is due at once, so that the break
// reaches all members quickly.
func (n treeNode) withBreak(now time.Duration, cause string) treeNode {
	if n.broken {
		return n
	}
	n.broken = true
	n.brokenAt = now
	n.cause = cause
	n.urgent = true
	n.renewals++
	return n
}

// withReports adds the reports of ended members of this subtree, except of those
// that are known already. A member that ended in any way but done breaks the
// gang.
func (n treeNode) withReports(now time.Duration, reports []*sesamewire.MemberReport) treeNode {
	for _, report := range reports {
		if _, ok := n.reports[report.GetMember()]; ok {
			continue
		}
		n = n.withReport(report)
		if report.GetProgress() != sesamewire.Progress_PROGRESS_DONE {
			n = n.withBreak(now, report.GetDetail())
		}
	}
	return n
}

// withReport adds the report of one ended member of this subtree, to be passed
// on to the parent.
func (n treeNode) withReport(report *sesamewire.MemberReport) treeNode {
	reports, unsent := maps.Clone(n.reports), maps.Clone(n.unconfirmed)
	if reports == nil {
		reports, unsent = map[int32]*sesamewire.MemberReport{}, map[int32]bool{}
	}
	reports[report.GetMember()] = report
	unsent[report.GetMember()] = true
	n.reports, n.unconfirmed = reports, unsent
	n.children = slices.Clone(n.children)
	for i, c := range n.children {
		if childTowards(Parent(c.index), int(report.GetMember())) == c.index {
			n.children[i].unreported--
		}
	}
	return n
}

// withChildHeartbeat records a child's heartbeat. The echoed reading plus the
// time that the child held it is a time on this clock at which the child was
// alive; the age of the oldest heartbeat in its subtree is subtracted from it.
func (n treeNode) withChildHeartbeat(now time.Duration, req *sesamewire.GangRequest) treeNode {
	n.children = slices.Clone(n.children)
	for i, c := range n.children {
		if c.index != int(req.GetMember()) {
			continue
		}
		if req.GetEchoMs() > 0 {
			alive := min(milliseconds(req.GetEchoMs()+req.GetHeldMs()), now)
			c.aliveAt = max(c.aliveAt, alive-milliseconds(req.GetAgeMs()))
		}
		c.heardSinceRenewal = true
		n.children[i] = c
	}
	return n.withReports(now, req.GetReports())
}

// aliveAt returns the latest known reading at which every member of this subtree
// that has not reported its end was certainly alive. This member itself is alive
// now.
func (n treeNode) aliveAt(now time.Duration) time.Duration {
	oldest := now
	for _, c := range n.children {
		if c.unreported > 0 {
			oldest = min(oldest, c.aliveAt)
		}
	}
	return oldest
}

// heardFromAllChildren reports whether each child with unreported members in its
// subtree has sent a heartbeat since the last renewal.
func (n treeNode) heardFromAllChildren() bool {
	for _, c := range n.children {
		if c.unreported > 0 && !c.heardSinceRenewal {
			return false
		}
	}
	return true
}

// nextRenewalAt returns when the next renewal begins. It is delayed in proportion
// to the height of the subtree while heartbeats of children are missing. An
// urgent renewal is due at 0, that is, at once.
func (n treeNode) nextRenewalAt() time.Duration {
	switch {
	case n.urgent:
		return 0
	case n.heardFromAllChildren():
		return n.dueAt
	}
	return n.dueAt + time.Duration(n.height)*childWaitPerLevel
}

// withRenewal ends one renewal and sets when the next begins: after a heartbeat
// interval, or after retryDelay unless the renewal extended the lease. The lease
// of a broken gang is never extended, so its renewals keep to the interval.
func (n treeNode) withRenewal(now time.Duration, extended bool, t Times) treeNode {
	n.dueAt = now + retryDelay
	if extended || n.broken {
		n.dueAt = now + t.Heartbeat
	}
	n.renewals++
	n.children = slices.Clone(n.children)
	for i := range n.children {
		n.children[i].heardSinceRenewal = false
	}
	return n
}

// heartbeatRequest returns the heartbeat from member m, whose node n is, to its
// parent, with all reports that the parent has not confirmed. The incarnation is
// that of this agent.
func (n treeNode) heartbeatRequest(now time.Duration, m Member, incarnation string) *sesamewire.GangRequest {
	req := &sesamewire.GangRequest{
		Id:          m.Key.ID(),
		Member:      int32(m.Index),
		Incarnation: incarnation,
		AgeMs:       ceilMilliseconds(now - n.aliveAt(now)),
	}
	if n.parentClock > 0 {
		req.EchoMs = n.parentClock.Milliseconds()
		req.HeldMs = (now - n.parentClockAt).Milliseconds()
	}
	for _, i := range slices.Sorted(maps.Keys(n.unconfirmed)) {
		req.Reports = append(req.Reports, n.reports[i])
	}
	return req
}

// ceilMilliseconds returns a duration in ms, rounded up so that an age is never
// sent as too young.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// withParentReply applies the parent's reply to a heartbeat that was sent at the
// reading sent, from which the remaining time counts. The reply confirms all
// reports of the heartbeat.
func (n treeNode) withParentReply(now, sent time.Duration, req *sesamewire.GangRequest, reply *sesamewire.GangReply, t Times) treeNode {
	n.callPending = false
	n.answeredAt = now
	if reply.GetReadingMs() > 0 {
		n.parentClock, n.parentClockAt = milliseconds(reply.GetReadingMs()), now
	}
	n.unconfirmed = maps.Clone(n.unconfirmed)
	for _, report := range req.GetReports() {
		delete(n.unconfirmed, report.GetMember())
	}
	before := n.deadline
	if !n.broken {
		n.deadline = max(n.deadline, sent+milliseconds(reply.GetRemainingMs()))
	}
	n = n.withRenewal(now, n.deadline > before, t)
	if reply.GetStop() {
		n = n.withBreak(now, reply.GetDetail())
		n.urgent = false
	}
	n.recorded = n.recorded || reply.GetRecorded()
	return n
}

// allReports returns the reports of all members of the gang, in order. A member
// without a report is given as unknown.
func (n treeNode) allReports() []*sesamewire.MemberReport {
	reports := make([]*sesamewire.MemberReport, 0, n.size)
	for i := range int32(n.size) {
		report, ok := n.reports[i]
		if !ok {
			report = &sesamewire.MemberReport{
				Member:   i,
				Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
				Detail:   "no report from member: " + n.cause,
			}
		}
		reports = append(reports, report)
	}
	return reports
}
