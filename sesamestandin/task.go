package sesamestandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestack/sesamestack/sesametarget"
)

// Work is the kind of work that a task does.
type Work string

// The kinds of work.
const (
	// Echo outputs the payload, repeated up to Output bytes if that is set.
	Echo Work = "echo"
	// Sum outputs Output bytes that depend on the payload and the rank only.
	Sum Work = "sum"
	// Fail ends as failed.
	Fail Work = "fail"
	// Hang runs until it is stopped.
	Hang Work = "hang"
)

// Script is the payload that tells a simulated task what to do. A payload that
// is not a Script is echoed at once.
type Script struct {
	Work Work `json:"work"`
	// Run is how long the task takes, in the format of time.ParseDuration.
	Run string `json:"run,omitempty"`
	// Output is the length of the output, in bytes.
	Output int `json:"output,omitempty"`
	// Checkpoint is how long the task takes to write a checkpoint when it is
	// stopped, in the same format.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// parseScript decodes the payload; one that is not a Script becomes an Echo.
func parseScript(payload []byte) Script {
	var s Script
	if err := json.Unmarshal(payload, &s); err != nil || s.Work == "" {
		return Script{
			Work: Echo,
		}
	}
	return s
}

// parseDuration parses a duration and returns 0 for an invalid one.
func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// task is a started task. It does no work: its state follows from the time.
type task struct {
	sesametarget.Task

	script Script
	// started is when the task started.
	started time.Time
	// deadline is the end of the task's lease; zero means none.
	deadline time.Time
	// stopAt is when an ordered stop ends the task; zero means never.
	stopAt time.Time
	status sesametarget.Status
}

// newTask returns a task that started now.
func newTask(t sesametarget.Task, now time.Time) *task {
	script := parseScript(t.Payload)
	return &task{
		Task:    t,
		script:  script,
		started: now,
		status: sesametarget.Status{
			ID:              t.ID,
			Phase:           sesametarget.PhaseRunning,
			OutlivesLease:   t.OutlivesLease,
			AcceleratorMask: t.AcceleratorMask,
			PeakUsage:       t.Need,
		},
	}
}

// running reports whether the task has not ended.
func (t *task) running() bool {
	return t.status.Phase == sesametarget.PhaseRunning
}

// endIfDue ends the task if its work, its lease or an ordered stop was over by
// now; the earliest of them decides on the phase.
func (t *task) endIfDue(now time.Time) {
	if !t.running() {
		return
	}
	end, phase, detail := t.naturalEnd()
	if isEarlier(t.deadline, end) {
		end, phase, detail = t.deadline, sesametarget.PhaseStopped, "lease ended"
	}
	if isEarlier(t.stopAt, end) {
		end, phase, detail = t.stopAt, sesametarget.PhaseStopped, "stopped on request"
	}
	if end.IsZero() || end.After(now) {
		return
	}
	t.status.Phase = phase
	t.status.Detail = detail
}

// isEarlier reports whether a is set and before b; a zero b means never.
func isEarlier(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// naturalEnd returns when and how the task ends without a stop; a zero time
// means never.
func (t *task) naturalEnd() (time.Time, sesametarget.Phase, string) {
	end := t.started.Add(parseDuration(t.script.Run))
	switch t.script.Work {
	case Hang:
		return time.Time{}, sesametarget.PhaseRunning, ""
	case Fail:
		return end, sesametarget.PhaseFailed, "the payload asks for a failure"
	default:
		return end, sesametarget.PhaseDone, ""
	}
}

// nextEnd returns when the task will end unless its lease is extended or it is
// stopped; zero means never.
func (t *task) nextEnd() time.Time {
	end, _, _ := t.naturalEnd()
	if isEarlier(t.deadline, end) {
		end = t.deadline
	}
	if isEarlier(t.stopAt, end) {
		end = t.stopAt
	}
	return end
}

// stop makes the task end after its checkpoint is written, but at most after
// grace. A second stop changes nothing.
func (t *task) stop(now time.Time, grace time.Duration) {
	if !t.running() || !t.stopAt.IsZero() {
		return
	}
	t.stopAt = now.Add(min(grace, parseDuration(t.script.Checkpoint)))
}

// output returns the output of a task that is done.
func (t *task) output() []byte {
	length := t.script.Output
	if t.script.Work == Sum {
		return sum(t.Payload, t.Rank, length)
	}
	if length == 0 || len(t.Payload) == 0 {
		return t.Payload
	}
	times := length/len(t.Payload) + 1
	return bytes.Repeat(t.Payload, times)[:length]
}

// sum returns length bytes that depend on payload and rank only, or one line
// of them for length 0.
func sum(payload []byte, rank, length int) []byte {
	line := fmt.Sprintf("%016x:%d\n", xxhash.Sum64(payload), rank)
	if length == 0 {
		return []byte(line)
	}
	times := length/len(line) + 1
	return bytes.Repeat([]byte(line), times)[:length]
}

// ExpectedOutput returns the output of a simulated task with this payload and
// rank, so that tests can compare.
func ExpectedOutput(payload []byte, rank int) []byte {
	t := newTask(sesametarget.Task{
		Payload: payload,
		Rank:    rank,
	}, time.Time{})
	return t.output()
}
