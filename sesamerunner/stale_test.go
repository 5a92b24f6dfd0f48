package sesamerunner

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// scriptedTarget answers orders as a test says.
type scriptedTarget struct {
	start func() error
	stop  func() error
}

func (c *scriptedTarget) Start(context.Context, Order) (time.Duration, error) {
	return 0, c.start()
}

func (c *scriptedTarget) Stop(context.Context, Order) (time.Duration, error) {
	return 0, c.stop()
}

func (c *scriptedTarget) RenewLease(context.Context, LeaseRenewal) (Listing, error) {
	return Listing{}, nil
}

func (c *scriptedTarget) Close() {}

// newTestSession returns a session that serves the target and may start runs.
func newTestSession(t *testing.T, target *scriptedTarget) *session {
	clock := sesameclock.Wrap(clockwork.NewFakeClock())
	r := New(Options{
		Node:     "node",
		Zone:     "zone",
		Store:    sesamerows.NewMemory(clock),
		Dial:     func(string, string, int64) Executor { return target },
		Clock:    clock,
		Log:      sesamelog.Discard(),
		Scope:    tally.NoopScope,
		MaxLease: 5 * time.Second,

		TargetReportInterval: time.Hour,
	})
	s := newSession(r, Report{
		ID:   "a",
		Life: 1,
	}, clock.Steady(), nil)
	is.New(t).NoErr(s.acquireOnce(t.Context()))
	s.specifications.Add("job", "specification")
	s.setTargetClock(time.Hour)
	return s
}

// orderedRun returns the row of the job's run with that number on the target.
func orderedRun(is *is.I, number int, target string, version sesamerows.Version) sesamerows.Row {
	value, err := json.Marshal(sesamework.Run{
		Number: number,
		Members: []sesamework.Member{{
			Target: target,
			Zone:   "zone",
			Life:   1,
		}},
	})
	is.NoErr(err)
	return sesamerows.Row{
		Key: sesamework.RunKey(sesamework.UnitID{
			Job: "job",
		}, "zone"),
		Value:   value,
		Version: version,
	}
}

// TestReplayedOrder brings the row of an earlier run again, as a feed does that
// lags behind a snapshot. The view must not go back to that run.
func TestReplayedOrder(t *testing.T) {
	is := is.New(t)
	s := newTestSession(t, &scriptedTarget{})
	s.runs.apply(sesamerows.Batch{
		Rows:     []sesamerows.Row{orderedRun(is, 2, s.key.Name, 20)},
		Snapshot: true,
		Version:  5,
	}, s.o.Clock.Steady())
	s.runs.apply(sesamerows.Batch{
		Rows:    []sesamerows.Row{orderedRun(is, 1, s.key.Name, 10)},
		Version: 10,
	}, s.o.Clock.Steady())
	wanted, _, fresh := s.runs.wantedBy(s.key.Name, 1)
	is.True(fresh)
	is.Equal(len(wanted), 1)
	is.Equal(wanted[0].run, 2)
}

// TestNoRoomAfterUnansweredStart lets a target refuse a run for lack of room
// whose first order got no answer. That order may be carried out later, so the
// run must not count as one that never ran.
func TestNoRoomAfterUnansweredStart(t *testing.T) {
	is := is.New(t)
	answers := []error{
		context.DeadlineExceeded,
		&RefusedError{
			Reason: RefusedNoCapacity,
		},
	}
	s := newTestSession(t, &scriptedTarget{
		start: func() error {
			answer := answers[0]
			answers = answers[1:]
			return answer
		},
	})
	task := sesamework.TaskID{
		Job: "job",
	}
	for range 2 {
		s.start(t.Context(), wantedRun{
			task: task,
			run:  1,
		}, runKey{
			task: task.String(),
			run:  1,
		})
	}
	is.Equal(len(answers), 0)
	is.Equal(len(s.pendingEnds), 0)
}

// TestOrderOfOwnEarlierEpoch lets a target refuse an order that this agent sent
// before it acquired the target again. The session must go on: its end would be
// reported as that of the target.
func TestOrderOfOwnEarlierEpoch(t *testing.T) {
	is := is.New(t)
	target := &scriptedTarget{}
	s := newTestSession(t, target)
	target.stop = func() error {
		is.NoErr(s.acquireOnce(t.Context()))
		return &RefusedError{
			Reason: RefusedSuperseded,
		}
	}
	task := sesamework.TaskID{
		Job: "job",
	}
	s.stop(t.Context(), task, runKey{
		task: task.String(),
		run:  1,
	}, "cancelled")
	is.True(!s.isOver())
}

// TestLateReportOfEarlierLife begins a session for a report that was held up,
// while the target's row is of a later life. What runs in that life must not be
// given up, so the row must keep it.
func TestLateReportOfEarlierLife(t *testing.T) {
	is := is.New(t)
	later := newTestSession(t, &scriptedTarget{})
	earlier := newSession(later.Runner, Report{
		ID:   later.id,
		Life: later.life() - 1,
	}, later.o.Clock.Steady(), nil)
	err := earlier.acquireOnce(t.Context())
	t.Log("acquired the target:", err)
	row, _, err := sesamerows.ReadRow(t.Context(), later.o.Store, later.key)
	is.NoErr(err)
	var found sesamework.Target
	is.NoErr(json.Unmarshal(sesamerows.DecodeFenceValue(row.Value), &found))
	is.Equal(found.Life, later.life())
}
