package sesamedispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// endedRow returns the row of the end of a single task's first run on a target.
func endedRow(target sesamerows.Key, job string, e sesamework.End) sesamerows.Row {
	return sesamerows.Row{
		Key: sesamework.EndKey(target, sesamework.TaskID{
			Job: job,
		}, 1),
		Value:   encode(e),
		Version: 2,
	}
}

// TestLoad checks that a planner that takes over learns durations only from ends
// that tell them: it does not take the time since runs were ordered for how long
// they took, nor old failures for the present state of a target.
func TestLoad(t *testing.T) {
	for taken, learnt := range map[int64]int{0: 0, 1300: 1} {
		t.Run(fmt.Sprintf("ends that tell %d ms", taken), func(t *testing.T) {
			assertLearnt(t, taken, learnt)
		})
	}
}

// assertLearnt loads one run that is done after that many milliseconds, and some
// that failed, all of which were ordered an hour ago, and checks what is learnt.
func assertLearnt(t *testing.T, taken int64, learnt int) {
	t.Helper()
	is := is.New(t)
	target := targetRow(newTarget("a"), 1)
	work := []sesamerows.Row{target}
	var runs []sesamerows.Row
	for job, how := range map[string]sesamework.Outcome{
		"done":     sesamework.EndDone,
		"failed":   sesamework.EndFailed,
		"failed-2": sesamework.EndFailed,
		"failed-3": sesamework.EndFailed,
	} {
		work = append(work, jobFillingTarget(job, 1), endedRow(target.Key, job, sesamework.End{
			Outcome: how,
			Target:  target.Key.Name,
			Taken:   taken,
		}))
		runs = append(runs, sesamerows.Row{
			Key: sesamework.RunKey(sesamework.UnitID{
				Job: job,
			}, "zone"),
			Value: encode(sesamework.Run{
				Number: 1,
				Members: []sesamework.Member{{
					Target: target.Key.Name,
					Zone:   "zone",
				}},
			}),
			Version: 1,
		})
	}
	v := NewView(sesamelog.Discard())
	v.Load(work, runs, nil, Now{
		Steady: time.Hour,
		Store:  time.Hour,
	})
	for _, u := range v.units {
		is.True(!u.isActive())
	}
	is.Equal(len(v.durationModels), learnt)
	for _, m := range v.durationModels {
		is.Equal(m.meanTaken, logSeconds(time.Duration(taken)*time.Millisecond))
	}
	is.Equal(v.targets[target.Key.Name].quarantines, 0)
}
