package sesamegang

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// testTimes are the durations of all agents in the tests.
var testTimes = Times{
	Heartbeat: time.Second,
	Lease:     5 * time.Second,
	Margin:    500 * time.Millisecond,
	Grace:     time.Second,
}

// maxStopDelay is how long after the loss of a member the others may still run:
// one lease and the grace.
const maxStopDelay = 6 * time.Second

// callTimeout is how long a member waits for its parent's reply.
const callTimeout = 2 * time.Second

// simulation is a discrete-event simulation of the members of one gang. It has one
// true time; the clock of each node shows true time plus an offset of its own.
type simulation struct {
	// now is the true time.
	now   time.Duration
	queue eventQueue
	// scheduled counts the events so far, to keep those of one time in order.
	scheduled int
	nodes     []*node
	// latency returns the delays of a message, one for each copy that arrives;
	// none means that the message is lost.
	latency func() []time.Duration
	// beforeEvent is called before each event of a node that is not lost.
	beforeEvent func(s *simulation, n *node)
}

// event is a step of one node, which runs with a reading of the node's clock.
type event struct {
	// at is the true time of the event.
	at    time.Duration
	order int
	node  *node
	run   func(now time.Duration)
}

// eventQueue is a heap of events, the earliest first.
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

// node is one agent with its target and one task. Times are true times unless said
// otherwise.
type node struct {
	index int
	agent Agent
	// clockOrigin is the reading of the node's clock at true time 0.
	clockOrigin time.Duration
	pausedUntil time.Duration
	// lost is true when the VM is gone, silent when the agent's process pauses
	// for longer than a lease. lostAt is when the first of the two began.
	lost     bool
	silent   bool
	lostAt   time.Duration
	doneAt   time.Duration
	openedAt time.Duration
	started  bool
	// runsUntil is when the target stops the task unless the lease is renewed.
	runsUntil time.Duration
	// waitingCalls are the heartbeats of children that wait for a reply.
	waitingCalls []waitingCall
	// nextWake is the reading of the last wake-up that was scheduled.
	nextWake time.Duration
}

// waitingCall is a child's heartbeat that is answered once the node's count of
// renewals is greater than renewals.
type waitingCall struct {
	renewals uint64
	req      *sesamewire.GangRequest
	reply    func(*sesamewire.GangReply)
}

// testKey is the attempt that all members of a simulation belong to.
var testKey = AttemptKey{
	Job:     "r1.gang",
	Attempt: 1,
}

// testMembers returns n members with one task each; the address and the
// incarnation of member i are the number i.
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

// newSimulation returns a gang whose members are all prepared and not opened.
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

// reading returns what the node's clock shows now.
func (n *node) reading(s *simulation) time.Duration {
	return s.now + n.clockOrigin
}

// schedule adds an event of a node, a delay from now.
func (s *simulation) schedule(delay time.Duration, n *node, run func(now time.Duration)) {
	s.scheduled++
	heap.Push(&s.queue, event{
		at:    s.now + delay,
		order: s.scheduled,
		node:  n,
		run:   run,
	})
}

// open schedules an Open of each member after its delay, and starts its ticks.
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

// tick does once per heartbeat interval what the agent's process does: it ends
// what has expired, checks whether the target stopped the task, and renews the
// agent's own lease.
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

// run carries out events in order until true time reaches end. Events of a paused
// node wait for the end of the pause; those of a lost node are dropped.
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

// runAgent does what the agent's process does after each change: it sends due
// heartbeats, renews the lease at the target, and answers waiting children.
func (s *simulation) runAgent(n *node) {
	now := n.reading(s)
	var heartbeats []GangHeartbeat
	n.agent, heartbeats = n.agent.DueHeartbeats(now)
	for _, b := range heartbeats {
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

// renewTarget extends the task's lease at the target to what the agent has left.
// A task whose lease has ended stays stopped.
func (s *simulation) renewTarget(n *node) {
	m, ok := n.agent.Member(testKey)
	if !ok || !n.started || m.Phase != Running {
		return
	}
	if s.now <= n.runsUntil || n.openedAt == s.now {
		n.runsUntil = s.now + n.agent.TaskRemaining(m, n.reading(s))
	}
}

// applyHalts stops the task at the end of the grace.
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

// callParent sends a heartbeat to the parent. Only the first of the replies and
// the timeout counts.
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

// receiveHeartbeat passes a heartbeat to the parent, and replies at once or leaves
// the call to runAgent.
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

// finishTask ends a member's task with a result after a delay, unless the task
// does not run by then.
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

// loseNode ends a node's VM with its target.
func (s *simulation) loseNode(n *node) {
	n.lost = true
	if !n.silent {
		n.lostAt = s.now
	}
	n.runsUntil = min(n.runsUntil, s.now)
}

// pauseNode pauses the process of a node's agent, while its target goes on. A
// pause for longer than a lease counts as a loss.
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

// findOverrun describes the first member that runs for longer than maxStopDelay
// after any member was lost, or returns an empty string.
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
