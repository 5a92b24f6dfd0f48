package sesamedispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
)

const (
	// successorTimeout is how long only the named successor may take over: two of
	// its polls.
	successorTimeout = 2 * leaderPollInterval
	// handOverInterval is the least time between two hand-overs. Each costs up to a
	// second in which nobody plans.
	handOverInterval = 30 * time.Second
	// successorAvoidance is how long a process is not named after it has not taken
	// over, or has died while it planned. Rows of relays outlast their processes.
	successorAvoidance = 5 * time.Minute
	// smallerDelay is how much longer a smaller process waits before it takes over a
	// vacant lead: the others have polled by then.
	smallerDelay = leaderPollInterval
	// clearlyLargerNum and clearlyLargerDen are the ratio of cores from which a
	// process is clearly larger: the decisions take two thirds of the time there.
	clearlyLargerNum, clearlyLargerDen = 3, 2
	// slowCommit is how long a commit takes at which the store counts as slow. It
	// answers within 4 ms, or 240 ms on a slow day.
	slowCommit = 200 * time.Millisecond
	// storeSettleTime is how long the store must have answered fast before a
	// hand-over, and how long a term must have lasted: a successor reads all rows.
	storeSettleTime = 3 * time.Second
	// maxFeedLag is the longest silence of the feed at which planning is handed over.
	// It answers each feedWait.
	maxFeedLag = 2 * feedWait
	// lagTime is for how long decisions must have lagged before they make a planner
	// hand over.
	lagTime = 3 * time.Second
	// successionInterval is the time between two checks for a successor.
	successionInterval = time.Second
)

// Peers lists the other processes that may plan, with their sizes. Some of them may
// have ended.
type Peers interface {
	Peers() []sesamerows.Peer
}

// succession is the part of the leader's row by which planning is handed over. It is
// empty unless processes announce different sizes.
type succession struct {
	// Successor is the process that is to take over. It is set only in the row of a
	// leader that has stepped down.
	Successor string `json:"next,omitempty"`
	// HandedAt is the time of the last hand-over on the store's clock, in
	// milliseconds; 0 if it is longer ago than handOverInterval.
	HandedAt int64 `json:"handed,omitempty"`
	// Avoided holds the processes that must not be named, each with the time until
	// which that holds, on the same clock.
	Avoided map[string]int64 `json:"avoid,omitempty"`
}

// HandedOverError ends the term of a planner that has handed over to another process.
type HandedOverError struct {
	// To is the name of the successor.
	To string
}

// Error names the successor.
func (e *HandedOverError) Error() string {
	return fmt.Sprintf("planning is handed over to %q", e.To)
}

// mayTakeOver reports whether this process may take over from the leader that was
// found now. own says that this process wrote its row.
func (p *Planner) mayTakeOver(found leader, own bool, now time.Duration) bool {
	if next := p.reservedFor(found, now); next != "" {
		return next == p.o.Name
	}
	if own || found.version == 0 || found.Successor != "" {
		return true
	}
	vacantFor := now - p.leaderSeenAt
	if !found.Released {
		vacantFor -= leaderTimeout
	}
	return (found.Released || vacantFor > 0) && p.isFirst(found, vacantFor)
}

// reservedFor returns the name of the process for which the leader's row, read now,
// is reserved after a hand-over; "" if it is for none. Both clocks must say so, since
// a store without a clock must not reserve the row for ever.
func (p *Planner) reservedFor(found leader, now time.Duration) string {
	if !found.Released || p.sinceHandOver(found.succession) >= successorTimeout || now-p.leaderSeenAt >= successorTimeout {
		return ""
	}
	return found.Successor
}

// sinceHandOver returns the time since the last hand-over.
func (p *Planner) sinceHandOver(s succession) time.Duration {
	return p.storeClock.Now() - time.Duration(s.HandedAt)*time.Millisecond
}

// isFirst reports whether this process may take over the lead now, which has been
// vacant for that long: at once, unless a process that is clearly larger is known.
func (p *Planner) isFirst(found leader, vacantFor time.Duration) bool {
	if vacantFor > smallerDelay {
		return true
	}
	largest, ok := p.largestPeer(found.Avoided)
	return !ok || !isClearlyLarger(largest.Size, p.o.Size)
}

// isClearlyLarger reports whether a process of size a plans clearly faster than one of
// size b. Decisions are bound by the processor; any entry has the memory.
func isClearlyLarger(a, b sesamerows.Size) bool {
	return a.Cores*clearlyLargerDen >= b.Cores*clearlyLargerNum
}

// largestPeer returns the peer with the most cores, and of those the one with the most
// memory, without those that are avoided or announce no size. It returns false if
// there is none, or this process announces no size itself.
func (p *Planner) largestPeer(avoided map[string]int64) (sesamerows.Peer, bool) {
	if p.o.Peers == nil || p.o.Size.Cores == 0 {
		return sesamerows.Peer{}, false
	}
	now := p.storeClock.Now().Milliseconds()
	peers := slices.DeleteFunc(p.o.Peers.Peers(), func(peer sesamerows.Peer) bool {
		return peer.Cores == 0 || avoided[peer.Name] > now || peer.Name == p.o.Name
	})
	if len(peers) == 0 {
		return sesamerows.Peer{}, false
	}
	return slices.MaxFunc(peers, func(a, b sesamerows.Peer) int {
		return cmp.Or(
			cmp.Compare(a.Cores, b.Cores),
			cmp.Compare(a.Memory, b.Memory),
			cmp.Compare(b.Name, a.Name),
		)
	}), true
}

// isUneven reports whether another process announces another size than this one.
func (p *Planner) isUneven() bool {
	if p.o.Peers == nil || p.o.Size.Cores == 0 {
		return false
	}
	return slices.ContainsFunc(p.o.Peers.Peers(), func(peer sesamerows.Peer) bool {
		return peer.Cores > 0 && peer.Size != p.o.Size
	})
}

// inheritSuccession returns the succession of this process's term, which begins in
// place of the leader that was seen last. A named successor that has not taken over
// is avoided from now on, and so is a leader that has fallen silent, unless all
// processes are alike.
func (p *Planner) inheritSuccession() succession {
	seen := p.seenLeader
	s := succession{
		Avoided: maps.Clone(seen.Avoided),
	}
	now := p.storeClock.Now()
	maps.DeleteFunc(s.Avoided, func(name string, until int64) bool {
		return until <= now.Milliseconds() || name == p.o.Name
	})
	if seen.HandedAt > 0 && p.sinceHandOver(seen.succession) < handOverInterval {
		s.HandedAt = seen.HandedAt
	}
	failed := seen.Successor
	if !seen.Released && seen.version > 0 && p.isUneven() {
		failed = seen.Name
	}
	if failed != "" && failed != p.o.Name {
		s.avoid(failed, now)
		p.o.Log.Emit(eventNoSuccessor, sesamelog.Fields{
			"entry":    failed,
			"released": seen.Released,
		})
	}
	return s
}

// avoid keeps the process from being named for a while; now is on the store's clock.
func (s *succession) avoid(name string, now time.Duration) {
	if s.Avoided == nil {
		s.Avoided = map[string]int64{}
	}
	s.Avoided[name] = (now + successorAvoidance).Milliseconds()
}

// handOver names a successor in the leader's row, which stepDown writes, if a process
// that is clearly larger should plan, or any larger one while decisions lag here. The
// error is then a *HandedOverError.
func (r *term) handOver() error {
	now := r.o.Clock.Steady()
	if now-r.successionCheckedAt < successionInterval {
		return nil
	}
	r.successionCheckedAt = now
	next, ok := r.largestPeer(r.leaderRow.Avoided)
	lags := r.lag.lastsFor(now) >= lagTime
	larger := ok && (isClearlyLarger(next.Size, r.o.Size) || lags && next.Cores > r.o.Size.Cores)
	if !larger || !r.mayHandOver(now) {
		return nil
	}
	r.leaderRow.Successor = next.Name
	r.leaderRow.HandedAt = r.storeClock.Now().Milliseconds()
	r.o.Log.Emit(eventHandedOver, sesamelog.Fields{
		"to":    next.Name,
		"cores": next.Cores,
		"own":   r.o.Size.Cores,
		"lags":  lags,
	})
	return &HandedOverError{
		To: next.Name,
	}
}

// mayHandOver reports whether a hand-over is possible now, on the steady clock: the
// last one is long enough ago, and the store answers fast.
func (r *term) mayHandOver(now time.Duration) bool {
	recent := r.leaderRow.HandedAt > 0 && r.sinceHandOver(r.leaderRow.succession) < handOverInterval
	return !recent && now-r.storeSlowAt >= storeSettleTime && r.feedSilence() <= maxFeedLag
}

// observeCommit notes how long a commit took, which began at that time.
func (r *term) observeCommit(began time.Duration, err error) {
	now := r.o.Clock.Steady()
	r.committing += now - began
	if err != nil || now-began >= slowCommit {
		r.storeSlowAt = now
	}
}

// lag tells since when decisions have lagged behind the tick. The zero value says
// that they don't.
type lag struct {
	behind bool
	since  time.Duration
}

// observe takes into account that a decision took that long, without the store's part.
// Lagging begins above the tick and ends below half of it, so that decisions that
// take about as long as the tick don't change it.
func (l *lag) observe(now, took time.Duration) {
	switch {
	case took > tick && !l.behind:
		l.behind = true
		l.since = now
	case took < tick/2:
		l.behind = false
	}
}

// lastsFor returns for how long decisions have lagged.
func (l *lag) lastsFor(now time.Duration) time.Duration {
	if !l.behind {
		return 0
	}
	return now - l.since
}
