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

// brokenBound is when the members of a broken gang have been stopped.
const brokenBound = 6 * time.Second

const callTimeout = 2 * time.Second

// world runs the members of one gang on true time. Each has a clock of its own
// origin; messages take what latency says.
type world struct {
	now   time.Duration
	queue eventQueue
	count int
	nodes []*node
	// latency returns when copies of a message arrive; none means it is lost.
	latency func() []time.Duration
	// step is called before each event of a live node.
	step func(w *world, n *node)
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
	index   int
	agent   Agent
	origin  time.Duration
	paused  time.Duration
	lost    bool
	silent  bool
	lostAt  time.Duration
	doneAt  time.Duration
	opened  time.Duration
	started bool
	// runs is until when the target lets the task run, in true time.
	runs    time.Duration
	waiting []waiting
	woken   time.Duration
}

type waiting struct {
	renewals uint64
	req      *sesamewire.GangRequest
	reply    func(*sesamewire.GangReply)
}

var worldKey = AttemptKey{
	Job:     "r1.gang",
	Attempt: 1,
}

func worldMembers(n int) []*sesamewire.Member {
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

func newWorld(size int, origin func(i int) time.Duration) *world {
	w := &world{
		latency: func() []time.Duration { return []time.Duration{time.Millisecond} },
		step:    func(*world, *node) {},
	}
	members := worldMembers(size)
	for i := range size {
		n := &node{
			index:  i,
			origin: origin(i),
			woken:  -1,
		}
		n.agent = NewAgent(AgentOptions{
			Incarnation: fmt.Sprint(i),
			Times:       testTimes,
		}).WithLease(n.reading(w) + testTimes.Lease)
		n.agent, _, _ = n.agent.Prepare(n.reading(w), &sesamewire.PrepareRequest{
			Id:      worldKey.ID(),
			Member:  int32(i),
			Members: members,
			HoldMs:  testTimes.Lease.Milliseconds(),
		}, nil)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (n *node) reading(w *world) time.Duration {
	return w.now + n.origin
}

func (w *world) at(delay time.Duration, n *node, run func(now time.Duration)) {
	w.count++
	heap.Push(&w.queue, event{
		at:    w.now + delay,
		order: w.count,
		node:  n,
		run:   run,
	})
}

// open starts every member after its delay.
func (w *world) open(delay func(i int) time.Duration) {
	for i, n := range w.nodes {
		w.at(delay(i), n, func(now time.Duration) {
			var effects Effects
			n.agent, effects, _ = n.agent.Open(now, worldKey, fmt.Sprint(i))
			if len(effects.Start) > 0 {
				n.started = true
				n.opened = w.now
			}
		})
		w.tick(n, delay(i)/2)
	}
}

// tick renews the agent's own lease, ends what has lapsed and looks at the
// target's task, every heartbeat.
func (w *world) tick(n *node, delay time.Duration) {
	w.at(delay, n, func(now time.Duration) {
		var effects Effects
		n.agent, effects = n.agent.Tick(now)
		w.carry(n, effects)
		if n.started && n.runs <= w.now {
			n.agent, _ = n.agent.TaskEnded(now, worldKey, TaskEnd{
				Rank:     int32(n.index),
				Progress: sesamewire.Progress_PROGRESS_STOPPED,
				Detail:   "the lease ended",
			})
		}
		n.agent = n.agent.WithLease(now + testTimes.Lease)
		w.tick(n, testTimes.Heartbeat)
	})
}

// run plays events until true time reaches the end.
func (w *world) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e, _ := heap.Pop(&w.queue).(event)
		w.now = e.at
		n := e.node
		if n.lost {
			continue
		}
		w.step(w, n)
		if n.lost {
			continue
		}
		if n.paused > w.now {
			w.at(n.paused-w.now, n, e.run)
			continue
		}
		e.run(n.reading(w))
		w.settle(n)
	}
	w.now = end
}

// settle does what the agent's process does after each change.
func (w *world) settle(n *node) {
	now := n.reading(w)
	var beats []Beat
	n.agent, beats = n.agent.Beats(now)
	for _, b := range beats {
		w.call(n, b)
	}
	w.renew(n)
	for i := 0; i < len(n.waiting); i++ {
		c := n.waiting[i]
		if renewals, ok := n.agent.Renewals(worldKey); !ok || renewals > c.renewals {
			c.reply(n.agent.GangAnswer(now, c.req))
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			i--
		}
	}
	if next, ok := n.agent.NextBeat(); ok && next > now && next != n.woken {
		n.woken = next
		w.at(next-now, n, func(time.Duration) {})
	}
}

// renew tells the target what is left of the lease; a task whose lease has
// ended stays stopped.
func (w *world) renew(n *node) {
	m, ok := n.agent.Member(worldKey)
	if !ok || !n.started || m.Phase != Running {
		return
	}
	if w.now <= n.runs || n.opened == w.now {
		n.runs = w.now + n.agent.TaskRemaining(m, n.reading(w))
	}
}

// carry makes the target stop tasks within the grace.
func (w *world) carry(n *node, effects Effects) {
	for _, h := range effects.Halt {
		n.runs = min(n.runs, w.now+h.Grace)
		w.at(h.Grace, n, func(now time.Duration) {
			n.agent, _ = n.agent.TaskEnded(now, worldKey, TaskEnd{
				Rank:     int32(n.index),
				Progress: sesamewire.Progress_PROGRESS_STOPPED,
				Detail:   "stopped",
			})
		})
	}
}

// call sends a heartbeat to the parent and takes the first answer or timeout.
func (w *world) call(n *node, b Beat) {
	parent := w.nodes[Parent(n.index)]
	answered := false
	answer := func(f func(now time.Duration)) func(now time.Duration) {
		return func(now time.Duration) {
			if !answered {
				answered = true
				f(now)
			}
		}
	}
	w.at(callTimeout, n, answer(func(now time.Duration) {
		n.agent = n.agent.BeatFailed(now, b)
	}))
	for _, delay := range w.latency() {
		w.at(delay, parent, func(now time.Duration) {
			w.receive(parent, now, b.Request, func(reply *sesamewire.GangReply) {
				for _, delay := range w.latency() {
					w.at(delay, n, answer(func(now time.Duration) {
						var effects Effects
						n.agent, effects = n.agent.BeatAnswered(now, b, reply)
						w.carry(n, effects)
					}))
				}
			})
		})
	}
}

func (w *world) receive(n *node, now time.Duration, req *sesamewire.GangRequest, reply func(*sesamewire.GangReply)) {
	var effects Effects
	var v GangVerdict
	n.agent, effects, v = n.agent.GangCall(now, req)
	w.carry(n, effects)
	if v.Reply != nil {
		reply(v.Reply)
		return
	}
	n.waiting = append(n.waiting, waiting{
		renewals: v.Renewals,
		req:      req,
		reply:    reply,
	})
}

// done ends a member's task with its result.
func (w *world) done(n *node, delay time.Duration) {
	w.at(delay, n, func(now time.Duration) {
		if !n.started || n.runs <= w.now {
			return
		}
		n.doneAt, n.runs = w.now, w.now
		n.agent, _ = n.agent.TaskEnded(now, worldKey, TaskEnd{
			Rank:     int32(n.index),
			Progress: sesamewire.Progress_PROGRESS_DONE,
			Result:   &sesamewire.Result{},
		})
	})
}

// lose ends a node's VM, its target included.
func (w *world) lose(n *node) {
	n.lost = true
	if !n.silent {
		n.lostAt = w.now
	}
	n.runs = min(n.runs, w.now)
}

// pause holds a node's process, while its target goes on. A pause over the
// lease is a loss.
func (w *world) pause(n *node, d time.Duration) {
	if n.paused > w.now {
		return
	}
	n.paused = w.now + d
	if d > testTimes.Lease && !n.silent && !n.lost {
		n.silent, n.lostAt = true, w.now
	}
}

// running reports whether a task still runs.
func (w *world) running() bool {
	for _, n := range w.nodes {
		if n.runs > w.now {
			return true
		}
	}
	return false
}

// overrun returns the first member that runs longer than the bound after any
// was lost, or an empty string.
func (w *world) overrun() string {
	var lastOpen time.Duration
	for _, n := range w.nodes {
		lastOpen = max(lastOpen, n.opened)
	}
	for _, x := range w.nodes {
		if !x.lost && !x.silent || x.doneAt > 0 {
			continue
		}
		limit := max(x.lostAt, lastOpen) + brokenBound
		for _, y := range w.nodes {
			if y.started && y.runs > limit {
				return fmt.Sprintf("member %d was lost at %v, member %d runs until %v, limit %v", x.index, x.lostAt, y.index, y.runs, limit)
			}
		}
	}
	return ""
}
