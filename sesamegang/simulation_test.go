package sesamegang

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

var testTimes = Times{
	Heartbeat: time.Second,
	Lease:     5 * time.Second,
	Margin:    500 * time.Millisecond,
	Grace:     time.Second,
}

// maxStopDelay is when the members of a broken gang have been stopped.
const maxStopDelay = 6 * time.Second

const callTimeout = 2 * time.Second

// simulation runs the members of one gang on true time. Each has a clock of its own
// origin; messages take what latency says.
type simulation struct {
	now       time.Duration
	queue     eventQueue
	scheduled int
	nodes     []*node
	// latency returns when copies of a message arrive; none means it is lost.
	latency func() []time.Duration
	// beforeEvent is called before each event of a live node.
	beforeEvent func(s *simulation, n *node)
}

type event struct {
	at    time.Duration
	order int
	node  *node
	run   func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].order < q[k].order
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// node is one agent with its target.
type node struct {
	index       int
	agent       Agent
	clockOrigin time.Duration
	pausedUntil time.Duration
	lost        bool
	silent      bool
	lostAt      time.Duration
	doneAt      time.Duration
	openedAt    time.Duration
	started     bool
	// runsUntil is until when the target lets the task run, in true time.
	runsUntil    time.Duration
	waitingCalls []waitingCall
	nextWake     time.Duration
}

type waitingCall struct {
	renewals uint64
	req      *sesamewire.GangRequest
	reply    func(*sesamewire.GangReply)
}

var testKey = AttemptKey{
	Job:     "r1.gang",
	Attempt: 1,
}

func testMembers(n int) []*sesamewire.Member {
	members := make([]*sesamewire.Member, n)
	for i := range members {
		members[i] = &sesamewire.Member{
			Address:     fmt.Sprint(i),
			Incarnation: fmt.Sprint(i),
			First:       int32(i),
			Tasks:       1,
		}
	}
	return members
}

func newSimulation(size int, origin func(i int) time.Duration) *simulation {
	s := &simulation{
		latency:     func() []time.Duration { return []time.Duration{time.Millisecond} },
		beforeEvent: func(*simulation, *node) {},
	}
	members := testMembers(size)
	for i := range size {
		n := &node{
			index:       i,
			clockOrigin: origin(i),
			nextWake:    -1,
		}
		n.agent = NewAgent(AgentOptions{
			Incarnation: fmt.Sprint(i),
			Times:       testTimes,
		}).WithLease(n.reading(s) + testTimes.Lease)
		n.agent, _, _ = n.agent.Prepare(n.reading(s), &sesamewire.PrepareRequest{
			Id:      testKey.ID(),
			Member:  int32(i),
			Members: members,
			HoldMs:  testTimes.Lease.Milliseconds(),
		}, nil)
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (n *node) reading(s *simulation) time.Duration {
	return s.now + n.clockOrigin
}

func (s *simulation) schedule(delay time.Duration, n *node, run func(now time.Duration)) {
	s.scheduled++
	heap.Push(&s.queue, event{
		at:    s.now + delay,
		order: s.scheduled,
		node:  n,
		run:   run,
	})
}

// open starts every member after its delay.
func (s *simulation) open(delay func(i int) time.Duration) {
	for i, n := range s.nodes {
		s.schedule(delay(i), n, func(now time.Duration) {
			var effects Effects
			n.agent, effects, _ = n.agent.Open(now, testKey, fmt.Sprint(i))
			if len(effects.Start) > 0 {
				n.started = true
				n.openedAt = s.now
			}
		})
		s.tick(n, delay(i)/2)
	}
}

// tick renews the agent's own lease, ends what has lapsed and looks at the
// target's task, every heartbeat.
func (s *simulation) tick(n *node, delay time.Duration) {
	s.schedule(delay, n, func(now time.Duration) {
		var effects Effects
		n.agent, effects = n.agent.Tick(now)
		s.applyHalts(n, effects)
		if n.started && n.runsUntil <= s.now {
			n.agent, _ = n.agent.TaskEnded(now, testKey, TaskEnd{
				Rank:     int32(n.index),
				Progress: sesamewire.Progress_PROGRESS_STOPPED,
				Detail:   "the lease ended",
			})
		}
		n.agent = n.agent.WithLease(now + testTimes.Lease)
		s.tick(n, testTimes.Heartbeat)
	})
}

// run plays events until true time reaches the end.
func (s *simulation) run(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e, _ := heap.Pop(&s.queue).(event)
		s.now = e.at
		n := e.node
		if n.lost {
			continue
		}
		s.beforeEvent(s, n)
		if n.lost {
			continue
		}
		if n.pausedUntil > s.now {
			s.schedule(n.pausedUntil-s.now, n, e.run)
			continue
		}
		e.run(n.reading(s))
		s.runAgent(n)
	}
	s.now = end
}

// runAgent does what the agent's process does after each change.
func (s *simulation) runAgent(n *node) {
	now := n.reading(s)
	var beats []GangHeartbeat
	n.agent, beats = n.agent.DueHeartbeats(now)
	for _, b := range beats {
		s.callParent(n, b)
	}
	s.renewTarget(n)
	for i := 0; i < len(n.waitingCalls); i++ {
		c := n.waitingCalls[i]
		if renewals, ok := n.agent.Renewals(testKey); !ok || renewals > c.renewals {
			c.reply(n.agent.ReplyToChild(now, c.req))
			n.waitingCalls = append(n.waitingCalls[:i], n.waitingCalls[i+1:]...)
			i--
		}
	}
	if next, ok := n.agent.NextHeartbeat(); ok && next > now && next != n.nextWake {
		n.nextWake = next
		s.schedule(next-now, n, func(time.Duration) {})
	}
}

// renewTarget tells the target what is left of the lease; a task whose lease has
// ended stays stopped.
func (s *simulation) renewTarget(n *node) {
	m, ok := n.agent.Member(testKey)
	if !ok || !n.started || m.Phase != Running {
		return
	}
	if s.now <= n.runsUntil || n.openedAt == s.now {
		n.runsUntil = s.now + n.agent.TaskRemaining(m, n.reading(s))
	}
}

// applyHalts makes the target stop tasks within the grace.
func (s *simulation) applyHalts(n *node, effects Effects) {
	for _, h := range effects.Halt {
		n.runsUntil = min(n.runsUntil, s.now+h.Grace)
		s.schedule(h.Grace, n, func(now time.Duration) {
			n.agent, _ = n.agent.TaskEnded(now, testKey, TaskEnd{
				Rank:     int32(n.index),
				Progress: sesamewire.Progress_PROGRESS_STOPPED,
				Detail:   "stopped",
			})
		})
	}
}

// callParent sends a heartbeat to the parent and takes the first answer or timeout.
func (s *simulation) callParent(n *node, b GangHeartbeat) {
	parent := s.nodes[Parent(n.index)]
	answered := false
	answer := func(f func(now time.Duration)) func(now time.Duration) {
		return func(now time.Duration) {
			if !answered {
				answered = true
				f(now)
			}
		}
	}
	s.schedule(callTimeout, n, answer(func(now time.Duration) {
		n.agent = n.agent.HeartbeatFailed(now, b)
	}))
	for _, delay := range s.latency() {
		s.schedule(delay, parent, func(now time.Duration) {
			s.receiveHeartbeat(parent, now, b.Request, func(reply *sesamewire.GangReply) {
				for _, delay := range s.latency() {
					s.schedule(delay, n, answer(func(now time.Duration) {
						var effects Effects
						n.agent, effects = n.agent.HeartbeatAnswered(now, b, reply)
						s.applyHalts(n, effects)
					}))
				}
			})
		})
	}
}

func (s *simulation) receiveHeartbeat(n *node, now time.Duration, req *sesamewire.GangRequest, reply func(*sesamewire.GangReply)) {
	var effects Effects
	var v PendingReply
	n.agent, effects, v = n.agent.HeartbeatReceived(now, req)
	s.applyHalts(n, effects)
	if v.Reply != nil {
		reply(v.Reply)
		return
	}
	n.waitingCalls = append(n.waitingCalls, waitingCall{
		renewals: v.AfterRenewals,
		req:      req,
		reply:    reply,
	})
}

// finishTask ends a member's task with its result.
func (s *simulation) finishTask(n *node, delay time.Duration) {
	s.schedule(delay, n, func(now time.Duration) {
		if !n.started || n.runsUntil <= s.now {
			return
		}
		n.doneAt, n.runsUntil = s.now, s.now
		n.agent, _ = n.agent.TaskEnded(now, testKey, TaskEnd{
			Rank:     int32(n.index),
			Progress: sesamewire.Progress_PROGRESS_DONE,
			Result:   &sesamewire.Result{},
		})
	})
}

// loseNode ends a node's VM, its target included.
func (s *simulation) loseNode(n *node) {
	n.lost = true
	if !n.silent {
		n.lostAt = s.now
	}
	n.runsUntil = min(n.runsUntil, s.now)
}

// pauseNode holds a node's process, while its target goes on. A pauseNode over the
// lease is a loss.
func (s *simulation) pauseNode(n *node, d time.Duration) {
	if n.pausedUntil > s.now {
		return
	}
	n.pausedUntil = s.now + d
	if d > testTimes.Lease && !n.silent && !n.lost {
		n.silent, n.lostAt = true, s.now
	}
}

// anyRunning reports whether a task still runs.
func (s *simulation) anyRunning() bool {
	for _, n := range s.nodes {
		if n.runsUntil > s.now {
			return true
		}
	}
	return false
}

// findOverrun returns the first member that runs longer than the bound after any
// was lost, or an empty string.
func (s *simulation) findOverrun() string {
	var lastOpen time.Duration
	for _, n := range s.nodes {
		lastOpen = max(lastOpen, n.openedAt)
	}
	for _, x := range s.nodes {
		if !x.lost && !x.silent || x.doneAt > 0 {
			continue
		}
		limit := max(x.lostAt, lastOpen) + maxStopDelay
		for _, y := range s.nodes {
			if y.started && y.runsUntil > limit {
				return fmt.Sprintf("member %d was lost at %v, member %d runs until %v, limit %v", x.index, x.lostAt, y.index, y.runsUntil, limit)
			}
		}
	}
	return ""
}
