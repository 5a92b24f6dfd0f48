package sesamegang

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// agentModel is an agent with a simulated target. A property test drives it by
// calls that may be repeated, late and in any order.
type agentModel struct {
	now   time.Duration
	agent Agent
	// incarnations counts the starts of the agent.
	incarnations int
	// requests are all placements so far; calls name one of the newest.
	requests []*sesamewire.PrepareRequest
	// running has the attempts that the target runs, halting those of them that
	// it was asked to stop.
	running map[AttemptKey]Member
	halting map[AttemptKey]bool
	// started counts the starts of each attempt.
	started map[AttemptKey]int
	// neverStarted has the attempts that a Stop reported as never started.
	neverStarted map[AttemptKey]bool
}

// newAgentModel returns the first incarnation of an agent, without attempts.
func newAgentModel() *agentModel {
	m := &agentModel{
		running:      map[AttemptKey]Member{},
		halting:      map[AttemptKey]bool{},
		started:      map[AttemptKey]int{},
		neverStarted: map[AttemptKey]bool{},
	}
	m.restart(nil)
	return m
}

// restart replaces the agent by a new incarnation without its state. The target
// keeps running the attempts that outlive a lease, and the agent adopts them.
func (m *agentModel) restart(*rapid.T) {
	m.incarnations++
	m.halting = map[AttemptKey]bool{}
	m.agent = NewAgent(AgentOptions{
		Incarnation: fmt.Sprint(m.incarnations),
		Times:       testTimes,
	})
	for k, member := range m.running {
		if !member.OutlivesLease() {
			delete(m.running, k)
			continue
		}
		m.agent = m.agent.Adopt(0, AdoptedAttempt{
			Key:             k,
			FirstRank:       member.FirstRank,
			Tasks:           member.Tasks,
			AcceleratorMask: member.AcceleratorMask,
		})
	}
}

// addRequest places a new attempt, which may evict an earlier one.
func (m *agentModel) addRequest(t *rapid.T) {
	req := &sesamewire.PrepareRequest{
		Id: &sesamewire.AttemptID{
			Job:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"),
			Attempt: uint32(len(m.requests) + 1),
		},
		Task: &sesamewire.Resources{
			Accelerators: 2,
		},
		Members: testMembers(rapid.IntRange(1, 2).Draw(t, "size")),
		Once:    rapid.Bool().Draw(t, "once"),
		GraceMs: testTimes.Grace.Milliseconds(),
		HoldMs:  testTimes.Lease.Milliseconds(),
	}
	req.Members[0].Incarnation = m.agent.Incarnation()
	req.Members[0].Accelerators = rapid.SampledFrom([]uint64{0b11, 0b110, 0b1100}).Draw(t, "accelerators")
	if len(m.requests) > 0 && rapid.Bool().Draw(t, "evicts") {
		req.Evict = append(req.Evict, rapid.SampledFrom(m.requests).Draw(t, "evict").GetId())
	}
	m.requests = append(m.requests, req)
}

// pickRequest returns one of the four newest requests.
func (m *agentModel) pickRequest(t *rapid.T) *sesamewire.PrepareRequest {
	recent := m.requests[max(len(m.requests)-4, 0):]
	return rapid.SampledFrom(recent).Draw(t, "request")
}

// prepare sends the Prepare of a recent attempt.
func (m *agentModel) prepare(t *rapid.T) { m.prepareRequest(t, m.pickRequest(t)) }

// open sends the Open of a recent attempt.
func (m *agentModel) open(t *rapid.T) { m.openRequest(t, m.pickRequest(t)) }

// prepareAndOpen sends both calls of a recent attempt in order.
func (m *agentModel) prepareAndOpen(t *rapid.T) {
	req := m.pickRequest(t)
	m.prepareRequest(t, req)
	m.openRequest(t, req)
}

// prepareRequest sends one Prepare. It fails when that stops an attempt which must
// not be repeated and which the request does not evict.
func (m *agentModel) prepareRequest(t *rapid.T, req *sesamewire.PrepareRequest) {
	next, effects, _ := m.agent.Prepare(m.now, req, nil)
	for _, h := range effects.Halt {
		named := len(req.GetEvict()) > 0 && KeyOf(req.GetEvict()[0]) == h.Key
		if m.running[h.Key].AtMostOnce && !named {
			t.Fatalf("%v must not be repeated and was not named for eviction, but is stopped", h.Key)
		}
	}
	m.apply(t, next, effects)
}

// openRequest sends one Open, bound to the incarnation that the request names.
func (m *agentModel) openRequest(t *rapid.T, req *sesamewire.PrepareRequest) {
	next, effects, _ := m.agent.Open(m.now, KeyOf(req.GetId()), req.GetMembers()[0].GetIncarnation())
	m.apply(t, next, effects)
}

// stop sends the Stop of a recent attempt. It fails when the answer says that an
// attempt never started which was in fact started.
func (m *agentModel) stop(t *rapid.T) {
	req := m.pickRequest(t)
	next, effects, answer := m.agent.Stop(m.now, &sesamewire.StopRequest{
		Id:          req.GetId(),
		Incarnation: req.GetMembers()[0].GetIncarnation(),
	})
	m.apply(t, next, effects)
	if answer.Report.GetProgress() != sesamewire.Progress_PROGRESS_NEVER {
		return
	}
	k := KeyOf(req.GetId())
	if m.started[k] > 0 {
		t.Fatalf("%v was started, but Stop reports that it never was", k)
	}
	m.neverStarted[k] = true
}

// apply carries out the effects on the target. It fails when an attempt starts
// without a lease, or on accelerators that another attempt still uses.
func (m *agentModel) apply(t *rapid.T, next Agent, effects Effects) {
	m.agent = next
	for _, h := range effects.Halt {
		m.halting[h.Key] = true
	}
	for _, k := range effects.Start {
		member, _ := m.agent.Member(k)
		if m.agent.TaskRemaining(member, m.now) == 0 {
			t.Fatalf("%v starts without a lease", k)
		}
		for other, otherMember := range m.running {
			if otherMember.AcceleratorMask&member.AcceleratorMask != 0 {
				t.Fatalf("%v starts on accelerators that %v still uses", k, other)
			}
		}
		m.started[k]++
		m.running[k] = member
	}
}

// endTasks ends some of the running attempts: with a result, or as stopped if
// that was asked.
func (m *agentModel) endTasks(t *rapid.T) {
	attempts := slices.SortedFunc(maps.Keys(m.running), func(x, y AttemptKey) int {
		return cmp.Compare(x.Attempt, y.Attempt)
	})
	for _, k := range attempts {
		progress := sesamewire.Progress_PROGRESS_DONE
		if m.halting[k] {
			progress = sesamewire.Progress_PROGRESS_STOPPED
		}
		if !rapid.Bool().Draw(t, "ends") {
			continue
		}
		delete(m.running, k)
		next, effects := m.agent.TaskEnded(m.now, k, TaskEnd{
			Progress: progress,
			Result:   &sesamewire.Result{},
		})
		m.apply(t, next, effects)
	}
}

// recordOutcomes plays the keeper, which records all outcomes that are due.
func (m *agentModel) recordOutcomes(*rapid.T) {
	for _, o := range m.agent.Outcomes(m.now) {
		m.agent = m.agent.OutcomeRecorded(KeyOf(o.GetId()))
	}
}

// passTime advances the clock by up to 6 s, which is more than a lease.
func (m *agentModel) passTime(t *rapid.T) {
	m.now += time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 6000}).Draw(t, "pass")) * time.Millisecond
}

// tick ends what has expired by now.
func (m *agentModel) tick(t *rapid.T) {
	next, effects := m.agent.Tick(m.now)
	m.apply(t, next, effects)
}

// renewLease grants the agent a whole lease from now.
func (m *agentModel) renewLease(*rapid.T) {
	m.agent = m.agent.WithLease(m.now + testTimes.Lease)
}

// check fails when an attempt was started twice, or after a Stop reported that it
// never started.
func (m *agentModel) check(t *rapid.T) {
	for k, n := range m.started {
		if n > 1 {
			t.Fatalf("%v started %d times", k, n)
		}
		if m.neverStarted[k] {
			t.Fatalf("%v started, but Stop reported that it never did", k)
		}
	}
}

// TestAgentUnderFaults checks that no attempt starts twice, without a lease, on
// accelerators in use, or after a Stop reported that it never started, whatever
// the order of calls, delays and restarts of the agent.
func TestAgentUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAgentModel()
		actions := []func(*rapid.T){
			m.addRequest, m.prepare, m.open, m.prepareAndOpen, m.prepareAndOpen, m.prepareAndOpen, m.stop, m.endTasks,
			m.recordOutcomes, m.passTime, m.tick, m.renewLease, m.renewLease,
		}
		m.addRequest(t)
		for range 150 {
			action := rapid.SampledFrom(actions).Draw(t, "action")
			if rapid.IntRange(0, 60).Draw(t, "fault") == 0 {
				action = m.restart
			}
			action(t)
			m.check(t)
		}
	})
}

// TestTombstonesAreBounded checks that an agent full of tombstones refuses work
// until it takes a new incarnation, and then refuses calls for the old one.
func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	a := NewAgent(AgentOptions{
		Incarnation: "1",
		Times:       testTimes,
	}).WithLease(testTimes.Lease)
	stop := func(job string) *sesamewire.StopRequest {
		return &sesamewire.StopRequest{
			Id: &sesamewire.AttemptID{
				Job: job,
			},
		}
	}
	for i := range maxTombstones {
		a, _, _ = a.Stop(0, stop(fmt.Sprint(i)))
	}
	req := &sesamewire.PrepareRequest{
		Id: &sesamewire.AttemptID{
			Job: "new",
		},
		Members: testMembers(1),
	}
	req.Members[0].Incarnation = "1"
	_, _, answer := a.Prepare(0, req, nil)
	is.Equal(answer.Refusal, sesamewire.Refusal_REFUSAL_LEAVING)
	is.True(a.CanRenewIncarnation())
	a = a.WithNewIncarnation("2").WithLease(testTimes.Lease)
	req.Id.Job = "0"
	_, _, answer = a.Prepare(0, req, nil)
	is.Equal(answer.Refusal, sesamewire.Refusal_REFUSAL_INCARNATION)
}
