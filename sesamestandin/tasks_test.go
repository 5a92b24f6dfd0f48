package sesamestandin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesametarget"
)

// drawHolder draws one of two agents.
var drawHolder = rapid.SampledFrom([]string{"a1", "a2"})

// drawTask draws a task with random cores and accelerators, of one of ten
// jobs.
func drawTask(t *rapid.T) sesametarget.Task {
	mask := rapid.Uint64Range(0, 15).Draw(t, "accelerators")
	return sesametarget.Task{
		ID:     sesametarget.TaskID(fmt.Sprintf("j%d:1:0", rapid.IntRange(0, 9).Draw(t, "job"))),
		Holder: drawHolder.Draw(t, "holder"),
		Need: sesamemodel.Resources{
			Cores: rapid.IntRange(1, 4).Draw(t, "cores"),
		},
		AcceleratorMask: mask,
		OutlivesLease:   rapid.Bool().Draw(t, "keep"),
		Payload:         []byte(rapid.SampledFrom([]string{hangPayload, `{"work":"sum","run":"2s"}`}).Draw(t, "payload")),
	}
}

// hangPayload is the payload of a task that runs until it is stopped.
const hangPayload = `{"work":"hang"}`

// drawLease draws a lease, in which one task has a remaining time of its own.
func drawLease(t *rapid.T) sesametarget.Lease {
	return sesametarget.Lease{
		Holder:      drawHolder.Draw(t, "holder"),
		RemainingMs: rapid.Int64Range(0, 5000).Draw(t, "remaining"),
		TaskRemainingMs: map[sesametarget.TaskID]int64{
			"j0:1:0": rapid.Int64Range(0, 9000).Draw(t, "own"),
		},
	}
}

// TestTasks renews, starts and stops at random. Accelerators and cores must
// never be used twice, a task must start at most once and only under a valid
// lease, and must not run beyond its lease unless it outlives it.
func TestTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		s := newTasks(sesametarget.Description{
			Capacity: sesamemodel.Resources{
				Cores: 4,
			},
		})
		t.Repeat(map[string]func(*rapid.T){
			"renew": func(t *rapid.T) {
				l := drawLease(t)
				held := s.leaseEnd.After(now) && s.holder != l.Holder
				if err := s.renew(l, now); (err != nil) != held {
					t.Fatalf("renewal of %q while %q holds until %v: %v", l.Holder, s.holder, s.leaseEnd, err)
				}
			},
			"start": func(t *rapid.T) {
				k := drawTask(t)
				started, _ := s.start(k, now)
				if started && (s.holder != k.Holder || !s.leaseEnd.After(now)) {
					t.Fatalf("%q started under the lease of %q until %v", k.Holder, s.holder, s.leaseEnd)
				}
			},
			"stop": func(t *rapid.T) {
				if k, err := s.find(drawTask(t).ID, now); err == nil {
					k.stop(now, time.Second)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				s.endDue(now)
				assertInvariants(t, s, now)
			},
		})
	})
}

// assertInvariants checks that each task was started once, that no accelerator
// or core is used twice, and that no task runs beyond its lease.
func assertInvariants(t *rapid.T, s *tasks, now time.Time) {
	var marked uint64
	for id, k := range s.all {
		if s.starts[id] != 1 {
			t.Fatalf("%q started %d times", id, s.starts[id])
		}
		if !k.running() {
			continue
		}
		if marked&k.AcceleratorMask != 0 {
			t.Fatalf("%q uses accelerators of another task", id)
		}
		marked |= k.AcceleratorMask
		if !k.OutlivesLease && !k.deadline.After(now) {
			t.Fatalf("%q runs at %v beyond its lease until %v", id, now, k.deadline)
		}
	}
	if !s.used().Fits(s.description.Capacity) {
		t.Fatalf("%+v is used of %+v", s.used(), s.description.Capacity)
	}
}
