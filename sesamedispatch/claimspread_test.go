package sesamedispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestClaimsUnderMaxPerTarget guards against two tasks of a step that claim one
// target together, and start there, where the step allows one on each target.
func TestClaimsUnderMaxPerTarget(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			is := is.New(t)
			const targets = 3
			var rows []sesamerows.Row
			for i := range targets {
				rows = append(rows, targetRow(newTarget(fmt.Sprint("target-", i)), 0), jobFillingTarget(fmt.Sprint("batch-", i), 1))
			}
			f := newTermFixture(t, rows...)
			f.decide(2)
			f.term.view.policy = &sesamework.Policy{
				Teams: []sesamework.Team{{
					Name:       "team",
					Guaranteed: 8,
				}},
			}
			f.writeAndFeed(spreadJob("urgent", gang))
			f.decide(1)
			claimed := map[string]int{}
			for _, u := range f.term.view.jobs["urgent"].occurrences[0][0].created {
				for _, name := range u.claim.targets {
					claimed[name]++
				}
			}
			is.Equal(len(claimed), 2)

			for i := range targets {
				f.endStopped(fmt.Sprint("batch-", i))
			}
			f.decide(1)
			started := map[string]int{}
			for _, u := range f.term.view.jobs["urgent"].occurrences[0][0].created {
				for _, m := range u.members {
					started[m.Target]++
				}
			}
			is.Equal(len(started), 2)
		})
	}
}

// spreadJob returns the row of an urgent job of two small tasks, of which one may
// run on each target.
func spreadJob(id string, gang bool) sesamerows.Row {
	row := jobFillingTarget(id, 0)
	row.Value = encode(sesamework.Job{
		ID:   id,
		Team: "team",
		Terms: sesamework.Terms{
			Service:  "service",
			Attempts: 3,
			Stretch:  3,
		},
		Steps: []sesamework.Step{{
			Count: 2,
			Need: sesamework.Resources{
				Accelerators: 4,
			},
			Estimate:     5000,
			MaxPerTarget: 1,
			Gang:         gang,
		}},
	})
	return row
}

// endStopped lets the run of the job's task end if it was ordered to.
func (f *termFixture) endStopped(job string) {
	f.t.Helper()
	u := f.unit(job)
	if u.run.StopReason == "" {
		return
	}
	f.term.view.endMember(u, u.members[0], sesamework.End{
		Outcome: sesamework.EndStopped,
	})
}
