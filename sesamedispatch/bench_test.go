package sesamedispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamespeed"
	"github.com/sesamestack/sesamestack/sesamework"
)

// encode returns the JSON of a row's value.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// targetRow returns the row of a target on the node "node-" with the target's
// ID.
func targetRow(t sesamework.Target, version sesamerows.Version) sesamerows.Row {
	return sesamerows.Row{
		Key:     sesamework.TargetKey(t.Zone, "node-"+t.ID, t.ID),
		Value:   sesamerows.EncodeUnfencedValue(encode(t)),
		Version: version,
	}
}

// overloadedView returns a view with empty targets and three times as much work
// as fits on them, of all priorities.
func overloadedView(targets int) *View {
	v := NewView(sesamelog.Discard())
	v.SetPolicy(&sesamework.Policy{
		Teams: []sesamework.Team{{
			Name:       "team",
			Guaranteed: int64(2 * targets),
		}},
	})
	var work []sesamerows.Row
	for i := range targets {
		t := sesamework.Target{
			ID:      fmt.Sprint(i),
			Zone:    "zone",
			Service: "service",
			Rack:    fmt.Sprint(i / 10),
			State:   sesamework.TargetReady,
			Capacity: sesamework.Resources{
				Cores:        128000,
				Memory:       1 << 19,
				Accelerators: 8,
			},
		}
		work = append(work, targetRow(t, 1))
	}
	for i := range 2 * targets {
		j := sesamework.Job{
			ID:     fmt.Sprintf("%016x", i),
			Digest: "d",
			Team:   "team",
			Terms: sesamework.Terms{
				Service:  "service",
				Priority: i % 3,
				Attempts: 3,
				Stretch:  2,
			},
			Steps: []sesamework.Step{{
				Count: 1 + i%20,
				Need: sesamework.Resources{
					Cores:        11000,
					Accelerators: 1 << (i % 4),
				},
				Estimate: 5000,
				Gang:     i%3 == 0,
				SameRack: i%6 == 0,
			}},
		}
		work = append(work, sesamerows.Row{
			Key:     sesamework.JobKey(j.ID),
			Value:   encode(j),
			Version: 1,
		})
	}
	v.Load(work, nil, nil, Now{
		Steady: time.Hour,
		Store:  time.Hour,
	})
	return v
}

// applyDecision updates the view as if the decision had been written.
func (v *View) applyDecision(d Decision) {
	for _, s := range d.Starts {
		s.unit.setRun(s.run, v.now.Steady)
	}
	for _, s := range d.States {
		v.setPublished(s.job, s.state)
	}
	for _, s := range d.Stops {
		s.unit.run.StopReason = s.reason
	}
}

// BenchmarkDecide measures one decision while three times as much work as fits
// waits or runs.
func BenchmarkDecide(b *testing.B) {
	for _, targets := range []int{11, 62, 300} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			benchmarkDecide(b, overloadedView(targets))
		})
		b.Run(fmt.Sprint(targets, " by value"), func(b *testing.B) {
			view := overloadedView(targets)
			view.byValue = true
			benchmarkDecide(b, view)
		})
	}
}

// benchmarkDecide measures one decision on the view, after some.
func benchmarkDecide(b *testing.B, view *View) {
	b.Helper()
	now := view.now
	for range 10 {
		view.applyDecision(view.Decide(now))
		now.Steady += 10 * time.Millisecond
	}
	for b.Loop() {
		now.Steady += time.Millisecond
		view.Decide(now)
	}
}

// BenchmarkDecideWideGang measures one decision while a gang of 1,024 tasks waits
// on full targets.
func BenchmarkDecideWideGang(b *testing.B) {
	for _, priority := range []int{0, 1} {
		b.Run(fmt.Sprint("priority ", priority), func(b *testing.B) {
			view := overloadedView(300)
			now := view.now
			for range 10 {
				view.applyDecision(view.Decide(now))
				now.Steady += 10 * time.Millisecond
			}
			view.setJob("gang", withStep(jobFillingTarget("gang", priority), func(j *sesamework.Job, s *sesamework.Step) {
				j.Accepted = now.Store.Milliseconds()
				j.Terms.Stretch = 1
				s.Count = 1024
				s.Need = sesamework.Resources{
					Cores:        500,
					Accelerators: 1,
				}
				s.Gang = true
			}))
			for b.Loop() {
				now.Steady += time.Millisecond
				view.Decide(now)
			}
		})
	}
}

// BenchmarkDecideSpeeds is BenchmarkDecide on targets that differ in speed.
func BenchmarkDecideSpeeds(b *testing.B) {
	for _, targets := range []int{62, 300} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			view := overloadedView(targets)
			view.speeds = sesamespeed.NewModel()
			now := view.now
			for i := range 20 {
				for _, t := range view.targets {
					factor := time.Duration(1 + len(t.ID)%2)
					view.speeds.Observe(sesamespeed.Observation{
						ID:     t.name,
						Group:  fmt.Sprint(i),
						Target: t.speedID(),
						Taken:  factor * time.Second,
					})
				}
			}
			for range 10 {
				view.applyDecision(view.Decide(now))
				now.Steady += 10 * time.Millisecond
			}
			if !view.speeds.Differ() {
				b.Fatal("targets do not differ")
			}
			for b.Loop() {
				now.Steady += time.Millisecond
				view.Decide(now)
			}
		})
	}
}
