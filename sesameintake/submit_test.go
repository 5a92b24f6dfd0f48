package sesameintake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// guardKey is the row that holds the newest policy. Submissions require that it
// has not changed.
var guardKey = sesamerows.Key{
	Table: "policies",
	Name:  "newest",
}

// rowSource is a PolicySource that takes the length of the guard row's value as
// the number of the policy.
type rowSource struct {
	follower *sesamerows.Follower
	// keys are the access keys of policies 1, 2 and so on.
	keys []string
}

// Next returns the newest policy, if there is a new one.
func (s *rowSource) Next(ctx context.Context) (sesameintake.PolicyUpdate, error) {
	batch, err := s.follower.Next(ctx)
	if err != nil || len(batch.Rows) == 0 {
		return sesameintake.PolicyUpdate{}, err
	}
	row := batch.Rows[len(batch.Rows)-1]
	policy := &sesamework.Policy{
		Number: int64(len(row.Value)),
		Guard: sesamerows.Expect{
			Key:     row.Key,
			Version: row.Version,
		},
		Queues: []sesamework.Queue{{
			Name:   "queue",
			Host:   "host",
			Prefix: "/queue/",
		}},
	}
	// Each policy withdraws the key of the one before.
	policy.Teams = []sesamework.Team{{
		Name: "team",
		Keys: s.keys[policy.Number-1 : policy.Number],
	}}
	return sesameintake.PolicyUpdate{
		Policy: policy,
	}, nil
}

// intakeWorld is an intake on a store in memory whose calls can be made to fail.
type intakeWorld struct {
	t      *testing.T
	memory *sesamerows.Memory
	// rows is the faulty access to memory that the intake uses.
	rows   *sesamestandin.FaultyRows
	intake *sesameintake.Intake
}

// newIntakeWorld starts an intake that has read policy 1.
func newIntakeWorld(t *testing.T) *intakeWorld {
	clock := clockwork.NewRealClock()
	steady := sesameclock.Wrap(clock)
	memory := sesamerows.NewMemory(steady)
	rows := sesamestandin.NewFaultyRows(memory, clock)
	w := &intakeWorld{
		t:      t,
		memory: memory,
		rows:   rows,
	}
	w.putPolicy(1)
	w.intake = sesameintake.New(sesameintake.Options{
		Store: rows,
		Source: &rowSource{
			keys: []string{"key1", "key2", "key3"},
			follower: sesamerows.NewFollower(rows, sesamerows.FollowOptions{
				Table: guardKey.Table,
				Wait:  time.Second,
			}),
		},
		Clock: steady,
		Log:   sesamelog.Discard(),
		Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return w.intake.Run(ctx)
	})
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(group.Wait())
	})
	time.Sleep(100 * time.Millisecond)
	return w
}

// putPolicy puts the policy with that number into force.
func (w *intakeWorld) putPolicy(number int) {
	_, err := w.memory.Commit(context.Background(), sesamerows.Transaction{
		Writes: []sesamerows.Write{{
			Key:   guardKey,
			Value: make([]byte, number),
		}},
	})
	is.New(w.t).NoErr(err)
}

// submit submits a job with the access key, as an entry does for a caller that
// waits 3 s.
func (w *intakeWorld) submit(id, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	admission, err := w.intake.Admit("host", "/queue/"+id, key)
	if err != nil {
		return err
	}
	return w.intake.Submit(ctx, admission, sesamework.Job{
		ID:     id,
		Digest: id,
		Steps: []sesamework.Step{{
			Count: 1,
		}},
	}, "specification")
}

// isStored reports whether the store has the job.
func (w *intakeWorld) isStored(id string) bool {
	row, _, err := sesamerows.ReadRow(context.Background(), w.memory, sesamework.JobKey(id))
	is.New(w.t).NoErr(err)
	return row.Version > 0
}

// loseFirstWriteAnswer returns faults that lose the answer to the first write,
// which takes effect after the delay late if its conditions still hold then.
func loseFirstWriteAnswer(late time.Duration) func(bool) sesamestandin.RowFault {
	first := true
	return func(write bool) sesamestandin.RowFault {
		lost := write && first
		first = first && !write
		return sesamestandin.RowFault{
			AnswerLost:  lost,
			CommitDelay: late,
		}
	}
}

// TestSubmit checks that the answer to a submission agrees with the store when
// answers are lost, the store refuses calls, or a newer policy isn't known yet.
func TestSubmit(t *testing.T) {
	subtest := func(name string, test func(is *is.I, w *intakeWorld)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test(is.New(t), newIntakeWorld(t))
			})
		})
	}
	subtest("a write whose answer was lost is found and confirmed", func(is *is.I, w *intakeWorld) {
		w.rows.SetFault(loseFirstWriteAnswer(0))
		is.NoErr(w.submit("a", "key1"))
		is.True(w.isStored("a"))
	})
	subtest("a write that takes effect late does not store the job twice", func(is *is.I, w *intakeWorld) {
		w.rows.SetFault(loseFirstWriteAnswer(2 * time.Second))
		is.NoErr(w.submit("a", "key1"))
		time.Sleep(3 * time.Second)
		is.NoErr(w.submit("a", "key1"))
		is.True(w.isStored("a"))
	})
	subtest("the outcome is unknown while no answer comes", func(is *is.I, w *intakeWorld) {
		w.rows.SetFault(func(write bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				AnswerLost: write,
			}
		})
		var unknown *sesamerows.UnknownError
		is.True(errors.As(w.submit("a", "key1"), &unknown))
	})
	subtest("a refusal comes soon, has no effect and says when to retry", func(is *is.I, w *intakeWorld) {
		w.rows.SetFault(func(write bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Refused: write,
			}
		})
		started := time.Now()
		var refused *sesameintake.NotReadyError
		is.True(errors.As(w.submit("a", "key1"), &refused))
		is.True(refused.RetryAfter > 0)
		const quarterOfObjective = 250 * time.Millisecond / 4
		is.True(time.Since(started) <= quarterOfObjective)
		w.rows.SetFault(nil)
		time.Sleep(10 * time.Second)
		is.True(!w.isStored("a"))
	})
	subtest("a key that was withdrawn while the feed was silent is not accepted", func(is *is.I, w *intakeWorld) {
		// Reads get no answer, so this process doesn't learn of the policy.
		w.rows.SetFault(func(write bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Dropped: !write,
			}
		})
		// A read in flight still gets its answer; wait until it is over.
		time.Sleep(1100 * time.Millisecond)
		w.putPolicy(2)
		// The platform gives a change 2 s to be in force. The call for changes is
		// still open then, so that this process does not know of its silence.
		time.Sleep(900 * time.Millisecond)
		var refused *sesameintake.NotReadyError
		is.True(errors.As(w.submit("a", "key1"), &refused))
		is.True(!w.isStored("a"))
		w.rows.SetFault(nil)
		time.Sleep(5 * time.Second)
		var unknownKey *sesameintake.UnknownKeyError
		is.True(errors.As(w.submit("a", "key1"), &unknownKey))
		is.NoErr(w.submit("a", "key2"))
	})
	subtest("a known job is accepted again while the store refuses calls", func(is *is.I, w *intakeWorld) {
		is.NoErr(w.submit("a", "key1"))
		time.Sleep(time.Second)
		w.rows.SetFault(func(bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Refused: true,
			}
		})
		time.Sleep(2 * time.Second)
		is.NoErr(w.submit("a", "key1"))
		var refused *sesameintake.NotReadyError
		is.True(errors.As(w.submit("b", "key1"), &refused))
	})
}

// TestServesSoonAfterOutage checks that an entry accepts jobs again within the
// shortest latency objective after the store is back, however long it was away.
// Callers give up 3 s after their first try.
func TestServesSoonAfterOutage(t *testing.T) {
	const shortestObjective = 250 * time.Millisecond
	for _, outage := range []time.Duration{time.Second, 2700 * time.Millisecond, 4200 * time.Millisecond, 9 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newIntakeWorld(t)
				w.rows.SetFault(func(bool) sesamestandin.RowFault {
					return sesamestandin.RowFault{
						Refused: true,
					}
				})
				time.Sleep(outage)
				w.rows.SetFault(nil)
				back := time.Now()
				for w.submit("a", "key1") != nil {
					time.Sleep(5 * time.Millisecond)
				}
				if waited := time.Since(back); waited > shortestObjective {
					t.Errorf("accepted after %v, expected %v at the most", waited, shortestObjective)
				}
			})
		})
	}
}
