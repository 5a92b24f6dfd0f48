package sesamedispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// drawRows draws targets in racks of three, and more jobs than fit on them.
func drawRows(t *rapid.T) []sesamerows.Row {
	var rows []sesamerows.Row
	for i := range rapid.IntRange(1, 12).Draw(t, "targets") {
		target := newTarget(fmt.Sprintf("%02d", i))
		target.Rack = fmt.Sprintf("rack-%d", i/3)
		target.Labels = []string{fmt.Sprintf("kind-%d", i%2)}
		rows = append(rows, targetRow(target, 1))
	}
	for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
		priority := rapid.IntRange(0, 2).Draw(t, "priority")
		row := jobFillingTarget(fmt.Sprintf("job%02d", i), priority)
		gang := rapid.Bool().Draw(t, "gang")
		step := sesamework.Step{
			Count: rapid.IntRange(1, 8).Draw(t, "count"),
			Need: sesamework.Resources{
				Cores:        int64(rapid.SampledFrom([]int{1000, 8000, 30000}).Draw(t, "cores")),
				Accelerators: int64(rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "accelerators")),
			},
			Estimate:     int64(rapid.SampledFrom([]int{500, 3000, 9000}).Draw(t, "estimate")),
			Gang:         gang,
			SameRack:     gang && rapid.Bool().Draw(t, "rack"),
			Label:        rapid.SampledFrom([]string{"", "", "kind-0"}).Draw(t, "label"),
			DataRack:     rapid.SampledFrom([]string{"", "", "rack-0"}).Draw(t, "data"),
			MaxPerTarget: rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "spread"),
			Checkpoints:  rapid.Bool().Draw(t, "checkpoints"),
		}
		row.Value = encode(sesamework.Job{
			ID:   fmt.Sprintf("job%02d", i),
			Team: "team",
			Terms: sesamework.Terms{
				Service:  "service",
				Priority: priority,
				Attempts: 3,
				Stretch:  2,
			},
			Accepted: (time.Hour - time.Duration(rapid.IntRange(0, 9).Draw(t, "age"))*time.Second).Milliseconds(),
			Steps:    []sesamework.Step{step},
		})
		rows = append(rows, row)
	}
	return rows
}

// describe returns the starts, with their targets, and the stops of a decision.
func (d Decision) describe() []string {
	var all []string
	for _, s := range d.Starts {
		text := "start " + s.unit.id.String()
		for _, m := range s.run.Members {
			text += " " + m.Target
		}
		all = append(all, text)
	}
	for _, s := range d.Stops {
		all = append(all, "stop "+s.unit.id.String())
	}
	slices.Sort(all)
	return all
}

// suspectJobs makes suspects of the units of each job whose number, which its ID
// holds, has a 0 in the list.
func (v *View) suspectJobs(list []int) {
	for i, drawn := range list {
		j, ok := v.jobs[fmt.Sprintf("job%02d", i)]
		if drawn != 0 || !ok {
			continue
		}
		for _, s := range j.occurrences[0] {
			for position := range s.count {
				v.create(s, position).suspicion.suspect = true
			}
		}
	}
}

// TestSameAsPlain checks that what only makes decisions faster does not change
// them, over some decisions in a row.
func TestSameAsPlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := drawRows(t)
		now := Now{
			Steady: time.Hour,
			Store:  time.Hour,
		}
		suspects := rapid.SliceOfN(rapid.IntRange(0, 3), 20, 20).Draw(t, "suspects")
		var views []*View
		for _, plain := range []bool{false, true} {
			v := NewView(sesamelog.Discard())
			v.plain = plain
			v.SetPolicy(&sesamework.Policy{
				Teams: []sesamework.Team{{
					Name:       "team",
					Guaranteed: 8,
				}},
			})
			v.Load(rows, nil, nil, now)
			v.suspectJobs(suspects)
			views = append(views, v)
		}
		for range 4 {
			now.Steady += 300 * time.Millisecond
			now.Store += 300 * time.Millisecond
			fast, slow := views[0].Decide(now), views[1].Decide(now)
			is.New(t).Equal(fast.describe(), slow.describe())
			views[0].applyDecision(fast)
			views[1].applyDecision(slow)
			for _, v := range views {
				for _, u := range v.units {
					for _, m := range u.members {
						if u.run.StopReason != "" {
							v.endMember(u, m, sesamework.End{Outcome: sesamework.EndStopped})
						}
					}
				}
			}
		}
	})
}
