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
	// oldest is a reading at which every member of the child's part that has
	// not ended was surely alive.
	oldest time.Duration
	// heard is true when the child has called since the last renewal.
	heard bool
	// left counts the members of the child's part without a report.
	left int
}

// relay is a member's place in its gang's tree. It is immutable.
type relay struct {
	size     int
	height   int
	parent   peer
	children []child
	// deadline is how long the member may go on.
	deadline time.Duration
	// due is when the next call to the parent is to be sent.
	due time.Duration
	// urgent makes the next call due at once.
	urgent  bool
	calling bool
	// renewals counts the calls to the parent that were answered or failed.
	renewals uint64
	// echo is the parent's reading in its last reply, which came at echoed.
	echo     time.Duration
	echoed   time.Duration
	answered time.Duration
	// reports has the ended members of this part; unsent those that the
	// parent has not confirmed.
	reports  map[int32]*sesamewire.MemberReport
	unsent   map[int32]bool
	broken   bool
	brokenAt time.Duration
	cause    string
	recorded bool
}

func newRelay(i int, members []*sesamewire.Member) relay {
	n := len(members)
	r := relay{
		size:   n,
		height: height(i, n),
		parent: peer{
			index: noMember,
		},
	}
	if p := Parent(i); p >= 0 {
		r.parent = newPeer(p, members)
	}
	for _, c := range Children(i, n) {
		r.children = append(r.children, child{
			peer: newPeer(c, members),
			left: partSize(c, n),
		})
	}
	return r
}

func newPeer(i int, members []*sesamewire.Member) peer {
	return peer{
		index:       i,
		address:     members[i].GetAddress(),
		incarnation: members[i].GetIncarnation(),
	}
}

func (r relay) root() bool {
	return r.parent.index == noMember
}

// withOpen starts the first lease.
func (r relay) withOpen(now time.Duration, t Times) relay {
	r.deadline = now + t.Lease
	r.due = now
	r.answered = now
	r.children = slices.Clone(r.children)
	for i := range r.children {
		r.children[i].oldest = now
	}
	return r
}

func (r relay) withBreak(now time.Duration, cause string) relay {
	if r.broken {
		return r
	}
	r.broken = true
	r.brokenAt = now
	r.cause = cause
	r.urgent = true
	r.renewals++
	return r
}

// withReports adds the reports of ended members of this part. One that did not
// end done breaks the gang.
func (r relay) withReports(now time.Duration, reports []*sesamewire.MemberReport) relay {
	for _, report := range reports {
		if _, ok := r.reports[report.GetMember()]; ok {
			continue
		}
		r = r.withReport(report)
		if report.GetProgress() != sesamewire.Progress_PROGRESS_DONE {
			r = r.withBreak(now, report.GetDetail())
		}
	}
	return r
}

func (r relay) withReport(report *sesamewire.MemberReport) relay {
	reports, unsent := maps.Clone(r.reports), maps.Clone(r.unsent)
	if reports == nil {
		reports, unsent = map[int32]*sesamewire.MemberReport{}, map[int32]bool{}
	}
	reports[report.GetMember()] = report
	unsent[report.GetMember()] = true
	r.reports, r.unsent = reports, unsent
	r.children = slices.Clone(r.children)
	for i, c := range r.children {
		if branch(Parent(c.index), int(report.GetMember())) == c.index {
			r.children[i].left--
		}
	}
	return r
}

// withCall records a child's heartbeat.
func (r relay) withCall(now time.Duration, req *sesamewire.GangRequest) relay {
	r.children = slices.Clone(r.children)
	for i, c := range r.children {
		if c.index != int(req.GetMember()) {
			continue
		}
		if req.GetEchoMs() > 0 {
			alive := min(milliseconds(req.GetEchoMs()+req.GetHeldMs()), now)
			c.oldest = max(c.oldest, alive-milliseconds(req.GetAgeMs()))
		}
		c.heard = true
		r.children[i] = c
	}
	return r.withReports(now, req.GetReports())
}

// oldest returns the latest reading at which every member of this part that
// has not ended was surely alive; the caller itself is alive now.
func (r relay) oldest(now time.Duration) time.Duration {
	oldest := now
	for _, c := range r.children {
		if c.left > 0 {
			oldest = min(oldest, c.oldest)
		}
	}
	return oldest
}

// gathered reports whether all children with members that run have called.
func (r relay) gathered() bool {
	for _, c := range r.children {
		if c.left > 0 && !c.heard {
			return false
		}
	}
	return true
}

// next returns when the next renewal is to begin.
func (r relay) next() time.Duration {
	switch {
	case r.urgent:
		return 0
	case r.gathered():
		return r.due
	}
	return r.due + time.Duration(r.height)*childWaitPerLevel
}

// renewed clears what one renewal covers. One that did not extend the lease is
// repeated soon.
func (r relay) renewed(now time.Duration, extended bool, t Times) relay {
	r.due = now + retryDelay
	if extended || r.broken {
		r.due = now + t.Heartbeat
	}
	r.renewals++
	r.children = slices.Clone(r.children)
	for i := range r.children {
		r.children[i].heard = false
	}
	return r
}

// request builds the call to the parent.
func (r relay) request(now time.Duration, m Member, incarnation string) *sesamewire.GangRequest {
	req := &sesamewire.GangRequest{
		Id:          m.Key.ID(),
		Member:      int32(m.Index),
		Incarnation: incarnation,
		AgeMs:       ceilMilliseconds(now - r.oldest(now)),
	}
	if r.echo > 0 {
		req.EchoMs = r.echo.Milliseconds()
		req.HeldMs = (now - r.echoed).Milliseconds()
	}
	for _, i := range slices.Sorted(maps.Keys(r.unsent)) {
		req.Reports = append(req.Reports, r.reports[i])
	}
	return req
}

func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// withAnswer applies the parent's reply to a request sent at a reading.
func (r relay) withAnswer(now, sent time.Duration, req *sesamewire.GangRequest, reply *sesamewire.GangReply, t Times) relay {
	r.calling = false
	r.answered = now
	if reply.GetReadingMs() > 0 {
		r.echo, r.echoed = milliseconds(reply.GetReadingMs()), now
	}
	r.unsent = maps.Clone(r.unsent)
	for _, report := range req.GetReports() {
		delete(r.unsent, report.GetMember())
	}
	before := r.deadline
	if !r.broken {
		r.deadline = max(r.deadline, sent+milliseconds(reply.GetRemainingMs()))
	}
	r = r.renewed(now, r.deadline > before, t)
	if reply.GetStop() {
		r = r.withBreak(now, reply.GetDetail())
		r.urgent = false
	}
	r.recorded = r.recorded || reply.GetRecorded()
	return r
}

// missing returns the reports of all members, where one that was not heard of
// is reported as unknown.
func (r relay) missing() []*sesamewire.MemberReport {
	reports := make([]*sesamewire.MemberReport, 0, r.size)
	for i := range int32(r.size) {
		report, ok := r.reports[i]
		if !ok {
			report = &sesamewire.MemberReport{
				Member:   i,
				Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
				Detail:   "not heard of: " + r.cause,
			}
		}
		reports = append(reports, report)
	}
	return reports
}
