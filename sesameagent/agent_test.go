package sesameagent_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// Scripts of the stand-in target: a task that succeeds after 50 ms, one that runs
// until it is stopped, and one that fails.
const (
	echoScript = `{"work":"echo","run":"50ms"}`
	hangScript = `{"work":"hang"}`
	failScript = `{"work":"fail"}`
)

// assertStored checks that the single result refers to the stored output of a
// task that ran the script, with the right length and digest.
func assertStored(t *testing.T, b *testAgent, results []*sesamewire.Result, script string) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(results), 1)
	r := results[0]
	want := sesamestandin.ExpectedOutput([]byte(script), int(r.GetRank()))
	b.objects.mu.Lock()
	defer b.objects.mu.Unlock()
	is.Equal(b.objects.rows[r.GetObject()], want)
	digest := sha256.Sum256(want)
	is.Equal(r.GetDigest(), hex.EncodeToString(digest[:]))
	is.Equal(r.GetLength(), int64(len(want)))
}

// TestAgentRunsJob runs one job from Prepare to its recorded outcome. It checks
// that Open and Stop can be repeated, that an outcome is sent again after a
// failed call, and that a finished attempt cannot be prepared again.
func TestAgentRunsJob(t *testing.T) {
	is := is.New(t)
	k, address := serveKeeper(t)
	k.set(func(k *fakeKeeper) { k.failFinishes = 2 })
	b := startAgent(t, newTarget(t), newObjects(), address)
	b.awaitReady(t)
	req := newAttempt("r1.job", echoScript, b)
	prepare(t, req, b)
	open(t, req, b)
	open(t, req, b)
	eventually(t, "outcome is reported", func() bool { return k.outcome("r1.job") != nil })
	stopped, err := b.client.Stop(t.Context(), &sesamewire.StopRequest{
		Id: req.GetId(),
	})
	is.NoErr(err)
	is.Equal(stopped.GetProgress(), sesamewire.Progress_PROGRESS_DONE)
	report := k.outcome("r1.job").GetReports()[0]
	is.Equal(report.GetProgress(), sesamewire.Progress_PROGRESS_DONE)
	assertStored(t, b, report.GetResults(), echoScript)
	reply, err := b.client.Prepare(t.Context(), req)
	is.NoErr(err)
	is.Equal(reply.GetRefusal(), sesamewire.Refusal_REFUSAL_TOMBSTONE)
}

// TestAgentRunsGang runs gangs over three agents: to success, for longer than a
// lease, and with one member stopped.
func TestAgentRunsGang(t *testing.T) {
	k, address := serveKeeper(t)
	store := newObjects()
	gang := []*testAgent{
		startAgent(t, newTarget(t), store, address),
		startAgent(t, newTarget(t), store, address),
		startAgent(t, newTarget(t), store, address),
	}
	for _, b := range gang {
		b.awaitReady(t)
	}
	t.Run("reports every member from the root", func(t *testing.T) {
		is := is.New(t)
		req := newAttempt("r1.gang", echoScript, gang...)
		prepare(t, req, gang...)
		open(t, req, gang...)
		eventually(t, "outcome is reported", func() bool { return k.outcome("r1.gang") != nil })
		reports := k.outcome("r1.gang").GetReports()
		is.Equal(len(reports), len(gang))
		for _, r := range reports {
			is.Equal(r.GetProgress(), sesamewire.Progress_PROGRESS_DONE)
			assertStored(t, gang[0], r.GetResults(), echoScript)
		}
	})
	t.Run("runs on while every member renews", func(t *testing.T) {
		req := newAttempt("r1.long", `{"work":"echo","run":"1500ms"}`, gang...)
		prepare(t, req, gang...)
		open(t, req, gang...)
		eventually(t, "outcome is reported", func() bool { return k.outcome("r1.long") != nil })
		for _, r := range k.outcome("r1.long").GetReports() {
			is.New(t).Equal(r.GetProgress(), sesamewire.Progress_PROGRESS_DONE)
		}
	})
	t.Run("stops when a member is stopped", func(t *testing.T) {
		req := newAttempt("r1.broken", hangScript, gang...)
		prepare(t, req, gang...)
		open(t, req, gang...)
		_, err := gang[2].client.Stop(t.Context(), &sesamewire.StopRequest{
			Id: req.GetId(),
		})
		is.New(t).NoErr(err)
		eventually(t, "outcome is reported", func() bool { return k.outcome("r1.broken") != nil })
		for _, b := range gang {
			is.New(t).Equal(b.phase(t, "r1.broken"), sesametarget.PhaseStopped)
		}
	})
}

// TestAgentEvicts checks that a Prepare returns only after the attempt that it
// evicts has stopped.
func TestAgentEvicts(t *testing.T) {
	is := is.New(t)
	_, address := serveKeeper(t)
	b := startAgent(t, newTarget(t), newObjects(), address)
	b.awaitReady(t)
	victim := newAttempt("r1.victim", hangScript, b)
	prepare(t, victim, b)
	open(t, victim, b)
	urgent := newAttempt("r1.urgent", echoScript, b)
	urgent.Evict = []*sesamewire.AttemptID{victim.GetId()}
	prepare(t, urgent, b)
	is.Equal(b.phase(t, "r1.victim"), sesametarget.PhaseStopped)
	open(t, urgent, b)
}

// TestAgentLeaves stops an agent while a task runs. It checks that the agent
// tells its keeper, refuses new attempts, and waits for the task's outcome.
func TestAgentLeaves(t *testing.T) {
	is := is.New(t)
	k, address := serveKeeper(t)
	b := startAgent(t, newTarget(t), newObjects(), address)
	b.awaitReady(t)
	req := newAttempt("r1.open", `{"work":"echo","run":"700ms"}`, b)
	prepare(t, req, b)
	open(t, req, b)
	b.stop()
	eventually(t, "keeper knows", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.heartbeats) > 0 && k.heartbeats[len(k.heartbeats)-1].GetLeaving()
	})
	reply, err := b.client.Prepare(t.Context(), newAttempt("r1.late", echoScript, b))
	is.NoErr(err)
	is.Equal(reply.GetRefusal(), sesamewire.Refusal_REFUSAL_LEAVING)
	is.NoErr(b.group.Wait())
	is.Equal(k.outcome("r1.open").GetReports()[0].GetProgress(), sesamewire.Progress_PROGRESS_DONE)
}

// TestAgentFollowsKeeper checks which entry receives heartbeats after a
// referral, after a failed call, and after a newer epoch was seen.
func TestAgentFollowsKeeper(t *testing.T) {
	t.Run("to the keeper that a reply refers to", func(t *testing.T) {
		first, a := serveKeeper(t)
		second, other := serveKeeper(t)
		first.set(func(k *fakeKeeper) { k.redirectTo = other })
		b := startAgent(t, newTarget(t), newObjects(), a)
		b.awaitReady(t)
		is.New(t).True(second.heartbeatCount() > 0)
	})
	t.Run("to another entry when one does not answer", func(t *testing.T) {
		first, a := serveKeeper(t)
		first.set(func(k *fakeKeeper) { k.unavailable = true })
		second, other := serveKeeper(t)
		b := startAgent(t, newTarget(t), newObjects(), a, other)
		b.awaitReady(t)
		is.New(t).True(second.heartbeatCount() > 0)
	})
	t.Run("back to the keeper when another entry grants no lease", func(t *testing.T) {
		first, a := serveKeeper(t)
		second, other := serveKeeper(t)
		second.set(func(k *fakeKeeper) { k.lease = 0 })
		b := startAgent(t, newTarget(t), newObjects(), a, other)
		b.awaitReady(t)
		first.set(func(k *fakeKeeper) { k.unavailable = true })
		eventually(t, "a heartbeat goes to the other entry", func() bool { return second.heartbeatCount() > 0 })
		before := first.heartbeatCount()
		first.set(func(k *fakeKeeper) { k.unavailable = false })
		eventually(t, "heartbeats go to the keeper again", func() bool { return first.heartbeatCount() > before })
		b.awaitReady(t)
	})
	t.Run("never back to an older epoch", func(t *testing.T) {
		is := is.New(t)
		former, a := serveKeeper(t)
		b := startAgent(t, newTarget(t), newObjects(), a)
		b.awaitReady(t)
		_, err := b.client.Adopt(t.Context(), &sesamewire.AdoptRequest{
			Cell:    "r1/z1",
			Address: a,
			Epoch:   9,
		})
		is.NoErr(err)
		eventually(t, "the former keeper's lease runs out", func() bool { return !b.agent.Ready() })
		former.set(func(k *fakeKeeper) { k.epoch = 9 })
		b.awaitReady(t)
	})
}

// TestAgentRestarts replaces a crashed agent. The new one must adopt the task
// that must not be repeated, and stop the repeatable one.
func TestAgentRestarts(t *testing.T) {
	k, address := serveKeeper(t)
	target := newTarget(t)
	first := startAgent(t, target, newObjects(), address)
	first.awaitReady(t)
	atMostOnce := newAttempt("r1.once", `{"work":"echo","run":"2s"}`, first)
	atMostOnce.Once = true
	repeatable := newAttempt("r1.repeatable", hangScript, first)
	repeatable.Members[0].Accelerators = 2
	for _, req := range []*sesamewire.PrepareRequest{atMostOnce, repeatable} {
		prepare(t, req, first)
		open(t, req, first)
	}
	first.agent.Abort()
	is.New(t).NoErr(first.group.Wait())
	second := startAgent(t, target, first.objects, address)
	eventually(t, "the repeatable task is stopped", func() bool {
		return second.phase(t, "r1.repeatable") == sesametarget.PhaseStopped
	})
	eventually(t, "the task that must not be repeated is reported", func() bool { return k.outcome("r1.once") != nil })
	is.New(t).Equal(k.outcome("r1.once").GetReports()[0].GetProgress(), sesamewire.Progress_PROGRESS_DONE)
}

// TestAgentLosesKeeper makes the keeper unavailable. When the lease has
// expired, the repeatable task stops, the task that must not be repeated runs
// on, and new attempts are refused.
func TestAgentLosesKeeper(t *testing.T) {
	k, address := serveKeeper(t)
	b := startAgent(t, newTarget(t), newObjects(), address)
	b.awaitReady(t)
	atMostOnce := newAttempt("r1.once", hangScript, b)
	atMostOnce.Once = true
	repeatable := newAttempt("r1.repeatable", hangScript, b)
	repeatable.Members[0].Accelerators = 2
	for _, req := range []*sesamewire.PrepareRequest{atMostOnce, repeatable} {
		prepare(t, req, b)
		open(t, req, b)
	}
	k.set(func(k *fakeKeeper) { k.unavailable = true })
	eventually(t, "the repeatable task stops", func() bool {
		return b.phase(t, "r1.repeatable") == sesametarget.PhaseStopped
	})
	is := is.New(t)
	is.Equal(b.phase(t, "r1.once"), sesametarget.PhaseRunning)
	reply, err := b.client.Prepare(t.Context(), newAttempt("r1.late", echoScript, b))
	is.NoErr(err)
	is.True(reply.GetRefusal() != sesamewire.Refusal_REFUSAL_NONE)
	_, err = b.client.Stop(t.Context(), &sesamewire.StopRequest{
		Id: atMostOnce.GetId(),
	})
	is.NoErr(err)
}

// TestGangLosesMember aborts the agent of each of three members in turn. All
// tasks of the gang must stop within a lease and the grace.
func TestGangLosesMember(t *testing.T) {
	for lost := range 3 {
		_, address := serveKeeper(t)
		store := newObjects()
		gang := []*testAgent{
			startAgent(t, newTarget(t), store, address),
			startAgent(t, newTarget(t), store, address),
			startAgent(t, newTarget(t), store, address),
		}
		for _, b := range gang {
			b.awaitReady(t)
		}
		req := newAttempt("r1.gang", hangScript, gang...)
		prepare(t, req, gang...)
		open(t, req, gang...)
		gang[lost].agent.Abort()
		began := time.Now()
		for _, b := range gang {
			eventually(t, "every member stops", func() bool {
				return b.phase(t, "r1.gang") == sesametarget.PhaseStopped
			})
		}
		bound := testLeases.Lease + testLeases.Grace
		slack := time.Second // for a busy machine
		if took := time.Since(began); took > bound+slack {
			t.Errorf("members run %v after member %d was lost, bound %v", took, lost, bound)
		}
	}
}
