package sesamegang

import (
	"fmt"
	"math/bits"
	"time"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// Answer is the result of a Prepare, an Open or a Stop.
type Answer struct {
	// Refusal says why the call was refused; REFUSAL_NONE means it was accepted.
	Refusal sesamewire.Refusal
	// Detail explains the refusal; empty without one.
	Detail string
	// Wait means that tasks have to end first: the caller repeats the same call
	// after the agent's state has changed.
	Wait bool
	// Report answers a Stop: how the attempt ended, or unknown. It is nil in
	// other answers and while Wait is set.
	Report *sesamewire.MemberReport
}

// refuse returns the answer that refuses a call, with a formatted detail.
func refuse(r sesamewire.Refusal, format string, args ...any) Answer {
	return Answer{
		Refusal: r,
		Detail:  fmt.Sprintf(format, args...),
	}
}

// milliseconds converts a message's field in ms to a duration.
func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// newMember returns the part of an attempt that a Prepare asks this agent to
// hold. The string says why the request is invalid; it is empty otherwise.
func newMember(now time.Duration, req *sesamewire.PrepareRequest) (Member, string) {
	i, n := int(req.GetMember()), len(req.GetMembers())
	if i < 0 || i >= n {
		return Member{}, fmt.Sprintf("member %d is out of range, the attempt has %d members", i, n)
	}
	own := req.GetMembers()[i]
	m := Member{
		Key:             KeyOf(req.GetId()),
		Index:           i,
		Size:            n,
		Team:            req.GetTeam(),
		FirstRank:       int(own.GetFirst()),
		Tasks:           int(own.GetTasks()),
		Need:            req.GetTask(),
		AcceleratorMask: own.GetAccelerators(),
		AtMostOnce:      req.GetOnce(),
		Prepared:        now,
		holdUntil:       now + milliseconds(req.GetHoldMs()),
		node:            newTreeNode(i, req.GetMembers()),
	}
	for _, member := range req.GetMembers() {
		m.TotalTasks += int(member.GetTasks())
	}
	if m.Tasks < 1 {
		return Member{}, fmt.Sprintf("member %d has %d tasks", i, m.Tasks)
	}
	if got, want := bits.OnesCount64(m.AcceleratorMask), m.Tasks*int(m.Need.GetAccelerators()); got != want {
		return Member{}, fmt.Sprintf("member %d is assigned %d accelerators, its tasks need %d", i, got, want)
	}
	return m, ""
}

// Prepare reserves resources for one attempt. It first stops the attempts that
// the request evicts, and any that hold the same accelerators; until they have
// ended, the answer is to wait. The input is the object named by req.Payload.
func (a Agent) Prepare(now time.Duration, req *sesamewire.PrepareRequest, input []byte) (Agent, Effects, Answer) {
	m, invalid := newMember(now, req)
	if invalid != "" {
		return a, Effects{}, refuse(sesamewire.Refusal_REFUSAL_TARGET, "%s", invalid)
	}
	if v := a.admit(now, m.Key, req.GetMembers()[m.Index].GetIncarnation()); v.Refusal != sesamewire.Refusal_REFUSAL_NONE {
		return a, Effects{}, v
	}
	if held, ok := a.Member(m.Key); ok {
		return a.repeatPrepare(held, m)
	}
	if a.Leaving() {
		return a, Effects{}, refuse(sesamewire.Refusal_REFUSAL_LEAVING, "the agent accepts no new attempts")
	}
	a, effects, v := a.evict(m, req)
	if v.Wait || v.Refusal != sesamewire.Refusal_REFUSAL_NONE {
		return a, effects, v
	}
	m.Input = input
	return a.withMember(m), effects, Answer{}
}

// admit checks the conditions for a Prepare and an Open: no tombstone or later
// attempt of the job, the right incarnation, and a live lease of the agent. The
// answer refuses the call when one of them fails.
func (a Agent) admit(now time.Duration, k AttemptKey, incarnation string) Answer {
	if _, ok := a.tombstones.find(k); ok || a.holdsLaterAttempt(k) {
		return refuse(sesamewire.Refusal_REFUSAL_TOMBSTONE, "attempt %d of job %q has already ended on this agent", k.Attempt, k.Job)
	}
	if incarnation != a.incarnation {
		return refuse(sesamewire.Refusal_REFUSAL_INCARNATION, "the agent's incarnation is %q, not %q", a.incarnation, incarnation)
	}
	if now >= a.leaseEnd {
		return refuse(sesamewire.Refusal_REFUSAL_LEASE, "the agent has no valid lease")
	}
	return Answer{}
}

// holdsLaterAttempt reports whether the agent holds a later attempt of the job.
func (a Agent) holdsLaterAttempt(k AttemptKey) bool {
	for _, held := range a.members {
		if held.Key.Job == k.Job && held.Key.Attempt > k.Attempt {
			return true
		}
	}
	return false
}

// repeatPrepare answers a Prepare for an attempt that the agent already holds. It
// extends the hold of one that was not opened yet.
func (a Agent) repeatPrepare(held, requested Member) (Agent, Effects, Answer) {
	switch held.Phase {
	case Prepared:
		held.holdUntil = requested.holdUntil
		return a.withMember(held), Effects{}, Answer{}
	case Running:
		return a, Effects{}, Answer{}
	}
	return a, Effects{}, refuse(sesamewire.Refusal_REFUSAL_TOMBSTONE, "attempt %d of job %q is ending on this agent", requested.Key.Attempt, requested.Key.Job)
}

// evict makes room for a member: it stops the attempts that the request evicts
// and those that hold the same accelerators. An attempt of a job that must not be
// repeated is stopped only when the request names it. A named attempt that is not
// held gets a tombstone, so that a late call does not start it. The answer says
// to wait when tasks may still run, or refuses the member.
func (a Agent) evict(m Member, req *sesamewire.PrepareRequest) (Agent, Effects, Answer) {
	toEvict := map[AttemptKey]bool{}
	for _, id := range req.GetEvict() {
		toEvict[KeyOf(id)] = true
	}
	if v := a.checkResources(m, toEvict); v.Refusal != sesamewire.Refusal_REFUSAL_NONE {
		return a, Effects{}, v
	}
	var effects Effects
	wait := false
	for _, held := range a.Members() {
		if !held.holdsResources() || !toEvict[held.Key] && held.AcceleratorMask&m.AcceleratorMask == 0 {
			continue
		}
		wait = wait || held.Phase != Prepared
		var e Effects
		a, e = a.stopMember(held, milliseconds(req.GetGraceMs()), fmt.Sprintf("evicted for job %q", m.Key.Job))
		effects.Halt = append(effects.Halt, e.Halt...)
	}
	for k := range toEvict {
		if _, ok := a.Member(k); !ok && k.Job != m.Key.Job {
			a.tombstones = a.tombstones.withNeverStarted(k)
		}
	}
	if wait {
		return a, effects, Answer{
			Wait: true,
		}
	}
	return a, effects, Answer{}
}

// checkResources refuses a member when its accelerators are held by an attempt
// that must not be repeated and is not named for eviction, or when the slots in
// use would exceed the agent's bound.
func (a Agent) checkResources(m Member, toEvict map[AttemptKey]bool) Answer {
	slots := m.slots()
	for _, held := range a.members {
		if !held.holdsResources() || toEvict[held.Key] {
			continue
		}
		shared := held.AcceleratorMask&m.AcceleratorMask != 0
		if shared && held.AtMostOnce && held.Phase != Prepared {
			return refuse(sesamewire.Refusal_REFUSAL_BUSY, "accelerators are held by job %q, which must not be repeated", held.Key.Job)
		}
		if !shared {
			slots += held.slots()
		}
	}
	if a.maxSlots > 0 && m.slots() > 0 && slots > a.maxSlots {
		return refuse(sesamewire.Refusal_REFUSAL_BUSY, "%d slots would be in use, the agent has %d", slots, a.maxSlots)
	}
	return Answer{}
}

// Open starts a prepared attempt. It is idempotent: only the first Open has a
// Start among its effects.
func (a Agent) Open(now time.Duration, k AttemptKey, incarnation string) (Agent, Effects, Answer) {
	m, ok := a.Member(k)
	if ok && m.Phase != Prepared {
		return a, Effects{}, Answer{}
	}
	if v := a.admit(now, k, incarnation); v.Refusal != sesamewire.Refusal_REFUSAL_NONE {
		return a, Effects{}, v
	}
	if !ok || now >= m.holdUntil {
		return a.withoutMember(k), Effects{}, refuse(sesamewire.Refusal_REFUSAL_UNPREPARED, "attempt %d of job %q is not prepared", k.Attempt, k.Job)
	}
	m.Phase = Running
	m.Opened = now
	m.node = m.node.withOpen(now, a.times)
	return a.withMember(m), Effects{
		Start: []AttemptKey{k},
	}, Answer{}
}

// Stop ends an attempt and leaves a tombstone, so that the attempt never starts
// on this agent later. While tasks still run, the answer is to wait.
func (a Agent) Stop(now time.Duration, req *sesamewire.StopRequest) (Agent, Effects, Answer) {
	k := KeyOf(req.GetId())
	m, ok := a.Member(k)
	if !ok {
		return a.stopNotHeld(k, req.GetIncarnation())
	}
	if m.Phase == Ended {
		return a, Effects{}, Answer{
			Report: m.report,
		}
	}
	if m.Phase == Running && m.Gang() {
		m.node = m.node.withBreak(now, req.GetReason())
		a = a.withMember(m)
	}
	a, effects := a.stopMember(m, milliseconds(req.GetGraceMs()), req.GetReason())
	if m.Phase == Prepared {
		return a.stopNotHeld(k, req.GetIncarnation())
	}
	return a, effects, Answer{
		Wait: true,
	}
}

// stopNotHeld answers a Stop for an attempt that the agent does not hold, from its
// tombstone. Without one the attempt never started, if the call is for this
// incarnation or names none; an earlier incarnation may have started it.
func (a Agent) stopNotHeld(k AttemptKey, incarnation string) (Agent, Effects, Answer) {
	if incarnation != "" && incarnation != a.incarnation {
		return a, Effects{}, Answer{
			Report: &sesamewire.MemberReport{
				Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
				Detail:   fmt.Sprintf("the agent's incarnation is %q, not %q", a.incarnation, incarnation),
			},
		}
	}
	a.tombstones = a.tombstones.withNeverStarted(k)
	s, _ := a.tombstones.find(k)
	report := s.report
	if s.attempt > k.Attempt {
		report = &sesamewire.MemberReport{
			Progress: sesamewire.Progress_PROGRESS_UNKNOWN,
			Detail:   fmt.Sprintf("superseded by attempt %d", s.attempt),
		}
	}
	return a, Effects{}, Answer{
		Report: report,
	}
}

// withNeverStarted returns the tombstones with one for an attempt that was not
// started, unless one covers it already.
func (t *tombstones) withNeverStarted(k AttemptKey) *tombstones {
	if _, ok := t.find(k); ok {
		return t
	}
	return t.with(k, tombstone{
		report: &sesamewire.MemberReport{
			Progress: sesamewire.Progress_PROGRESS_NEVER,
			Detail:   "stopped before it started",
		},
	})
}
