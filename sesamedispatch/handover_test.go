package sesamedispatch

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// fixedPeers are Peers that never change.
type fixedPeers []sesamerows.Peer

func (f fixedPeers) Peers() []sesamerows.Peer {
	return append([]sesamerows.Peer{}, f...)
}

// TestWhenToHandOver guards against hand-overs without need, too often, or at a time
// at which the successor could not begin.
func TestWhenToHandOver(t *testing.T) {
	const later = time.Minute // after the term has begun
	for _, c := range []struct {
		name   string
		own    int64
		peers  fixedPeers
		change func(r *term, now time.Duration)
		to     string
	}{
		{name: "larger", own: 192, peers: fixedPeers{peer("a", 288)}, to: "a"},
		{name: "largest", own: 192, peers: fixedPeers{peer("a", 400), peer("b", 800), peer("c", 0)}, to: "b"},
		{name: "more memory", own: 192, peers: fixedPeers{peer("a", 800), {Name: "b", Size: sesamerows.Size{Cores: 800, Memory: 536}}}, to: "b"},
		{name: "not clearly larger", own: 192, peers: fixedPeers{peer("a", 287)}},
		{name: "smaller", own: 800, peers: fixedPeers{peer("a", 192)}},
		{name: "nothing announced here", peers: fixedPeers{peer("a", 800)}},
		{name: "avoided", own: 192, peers: fixedPeers{peer("a", 800), peer("b", 400)}, to: "b", change: func(r *term, _ time.Duration) {
			r.leaderRow.avoid("a", r.storeClock.Now())
		}},
		{name: "avoided long ago", own: 192, peers: fixedPeers{peer("a", 800)}, to: "a", change: func(r *term, _ time.Duration) {
			r.leaderRow.avoid("a", r.storeClock.Now()-successorAvoidance)
		}},
		{name: "handed over lately", own: 192, peers: fixedPeers{peer("a", 800)}, change: func(r *term, _ time.Duration) {
			r.leaderRow.HandedAt = (r.storeClock.Now() - handOverInterval + time.Second).Milliseconds()
		}},
		{name: "slow store", own: 192, peers: fixedPeers{peer("a", 800)}, change: func(r *term, now time.Duration) {
			r.observeCommit(now-slowCommit, nil)
		}},
		{name: "silent feed", own: 192, peers: fixedPeers{peer("a", 800)}, change: func(r *term, now time.Duration) {
			r.feedAnsweredAt = now - maxFeedLag - 1
		}},
		{name: "decisions lag", own: 192, peers: fixedPeers{peer("a", 193)}, to: "a", change: func(r *term, now time.Duration) {
			r.lag.observe(now-lagTime, tick+1)
			r.lag.observe(now-1, tick/2) // not fast enough to end it
		}},
		{name: "one slow decision", own: 192, peers: fixedPeers{peer("a", 193)}, change: func(r *term, now time.Duration) {
			r.lag.observe(now-lagTime, tick+1)
			r.lag.observe(now-1, tick/2-1)
		}},
		{name: "decisions lag on machines that are alike", own: 192, peers: fixedPeers{peer("a", 192)}, change: func(r *term, now time.Duration) {
			r.lag.observe(now-lagTime, tick+1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTermFixture(t)
			f.clock.Advance(later)
			now := f.term.o.Clock.Steady()
			f.term.feedAnsweredAt = now
			f.term.o.Size.Cores = c.own
			f.term.o.Peers = c.peers
			if c.change != nil {
				c.change(f.term, now)
			}
			var handed *HandedOverError
			to := ""
			if errors.As(f.term.handOver(), &handed) {
				to = handed.To
			}
			is.Equal(to, c.to)
			is.Equal(f.term.leaderRow.Successor, c.to)
		})
	}
}

// peer returns a peer with that many thousandths of a core.
func peer(name string, cores int64) sesamerows.Peer {
	return sesamerows.Peer{
		Name: name,
		Size: sesamerows.Size{
			Cores: cores,
		},
	}
}
