package sesamegang

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// peer is another member as the tree needs it.
type peer struct {
	index       int
	address     string
	incarnation string
}

// child is what a member knows of one of its children.
type child struct {
	peer
	// aliveAt is a reading at which every member of the child's part that has
	// not ended was surely alive.
	aliveAt time.Duration
	// called is true when the child has called since the last renewal.
	called bool
	// unreported counts the members of the child's part without a report.
	unreported int
}

// treeNode is a member's place in its gang's tree. It is immutable.
type treeNode struct {
	size     int
	height   int
	parent   peer
	children []child
	// deadline is how long the member may go on.
	deadline time.Duration
	// dueAt is when the next call to the parent is to be sent.
	dueAt time.Duration
	// urgent makes the next call due at once.
	urgent      bool
	callPending bool
	// renewals counts the calls to the parent that were answered or failed.
	renewals uint64
	// parentClock is the parent's reading in its last reply, which came at echoed.
	parentClock   time.Duration
	parentClockAt time.Duration
	answeredAt    time.Duration
	// reports has the ended members of this part; unsent those that the
	// parent has not confirmed.
	reports     map[int32]*sesamewire.MemberReport
	unconfirmed map[int32]bool
	broken      bool
	brokenAt    time.Duration
	cause       string
	recorded    bool
}

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

func newPeer(i int, members []*sesamewire.Member) peer {
	return peer{
		index:       i,
		address:     members[i].GetAddress(),
		incarnation: members[i].GetIncarnation(),
	}
}

func (n treeNode) isRoot() bool {
	return n.parent.index == noMember
}

// withOpen starts the first lease.
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

// withReports adds the reports of ended members of this part. One that did not
// end done breaks the gang.
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

// withChildHeartbeat records a child's heartbeat.
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
		c.called = true
		n.children[i] = c
	}
	return n.withReports(now, req.GetReports())
}

// aliveAt returns the latest reading at which every member of this part that
// has not ended was surely alive; the caller itself is alive now.
func (n treeNode) aliveAt(now time.Duration) time.Duration {
	oldest := now
	for _, c := range n.children {
		if c.unreported > 0 {
			oldest = min(oldest, c.aliveAt)
		}
	}
	return oldest
}

// allChildrenCalled reports whether all children with members that run have called.
func (n treeNode) allChildrenCalled() bool {
	for _, c := range n.children {
		if c.unreported > 0 && !c.called {
			return false
		}
	}
	return true
}

// nextCallAt returns when the nextCallAt renewal is to begin.
func (n treeNode) nextCallAt() time.Duration {
	switch {
	case n.urgent:
		return 0
	case n.allChildrenCalled():
		return n.dueAt
	}
	return n.dueAt + time.Duration(n.height)*childWaitPerLevel
}

// withRenewal clears what one renewal covers. One that did not extend the lease is
// repeated soon.
func (n treeNode) withRenewal(now time.Duration, extended bool, t Times) treeNode {
	n.dueAt = now + retryDelay
	if extended || n.broken {
		n.dueAt = now + t.Heartbeat
	}
	n.renewals++
	n.children = slices.Clone(n.children)
	for i := range n.children {
		n.children[i].called = false
	}
	return n
}

// heartbeatRequest builds the call to the parent.
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

func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// withParentReply applies the parent's reply to a request sent at a reading.
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

// allReports returns the reports of all members, where one that was not heard of
// is reported as unknown.
func (n treeNode) allReports() []*sesamewire.MemberReport {
	reports := make([]*sesamewire.MemberReport, 0, n.size)
	for i := range int32(n.size) {
		report, ok := n.reports[i]
		if !ok {
			report = &sesamewire.MemberReport{
				Member:   i,
				Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
				Detail:   "not heard of: " + n.cause,
			}
		}
		reports = append(reports, report)
	}
	return reports
}
