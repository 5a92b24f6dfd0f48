package sesamestandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestack/sesamestack/sesametarget"
)

// Work says what a task does.
type Work string

// The kinds of work.
const (
	// Echo puts out the payload, or Output bytes of it repeated.
	Echo Work = "echo"
	// Sum puts out Output bytes that follow from the payload and the rank.
	Sum Work = "sum"
	// Fail ends as failed.
	Fail Work = "fail"
	// Hang never ends by itself.
	Hang Work = "hang"
)

// Script is a task's payload. A payload that is none is echoed at once.
type Script struct {
	Work Work `json:"work"`
	// Run is how long the task takes, as Go writes durations.
	Run string `json:"run,omitempty"`
	// Output is the length of the output, in bytes.
	Output int `json:"output,omitempty"`
	// Checkpoint is how long a checkpoint takes when the task is stopped.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// parseScript reads the payload.
func parseScript(payload []byte) Script {
	var s Script
	if err := json.Unmarshal(payload, &s); err != nil || s.Work == "" {
		return Script{
			Work: Echo,
		}
	}
	return s
}

func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// task is one task from its start on.
type task struct {
	sesametarget.Task

	script  Script
	started time.Time
	// deadline is the end of the task's lease; zero means none.
	deadline time.Time
	// stopAt is when a stop ends the task; zero means never.
	stopAt time.Time
	status sesametarget.Status
}

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

func (t *task) running() bool {
	return t.status.Phase == sesametarget.PhaseRunning
}

// endIfDue ends the task when the first reason for that has come by now.
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

// isEarlier reports whether a is set and comes before b, where a zero b means
// never.
func isEarlier(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// naturalEnd returns how and when the task ends by itself; zero means never.
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

// nextEnd returns when the task may end without a further call; zero is never.
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

// stop ends the task after its checkpoint, within grace.
func (t *task) stop(now time.Time, grace time.Duration) {
	if !t.running() || !t.stopAt.IsZero() {
		return
	}
	t.stopAt = now.Add(min(grace, parseDuration(t.script.Checkpoint)))
}

// output returns the bytes of a task that is done.
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

// sum returns length bytes that follow from payload and rank.
func sum(payload []byte, rank, length int) []byte {
	line := fmt.Sprintf("%016x:%d\n", xxhash.Sum64(payload), rank)
	if length == 0 {
		return []byte(line)
	}
	times := length/len(line) + 1
	return bytes.Repeat([]byte(line), times)[:length]
}

// ExpectedOutput returns what a stand-in target's task with that payload and rank
// puts out, so that tests can compare.
func ExpectedOutput(payload []byte, rank int) []byte {
	t := newTask(sesametarget.Task{
		Payload: payload,
		Rank:    rank,
	}, time.Time{})
	return t.output()
}
