package sesamedispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamework"
)

// replay is a view whose runs end when their time is over, without a store. Tasks
// take from half as long as declared to half as long again.
type replay struct {
	view *View
	now  Now
	jobs int
}

// newReplay returns a view of full racks of empty targets with 8 accelerators.
func newReplay(racks, perRack int) *replay {
	r := &replay{
		view: NewView(sesamelog.Discard()),
		now: Now{
			Steady: time.Hour,
			Store:  time.Hour,
		},
	}
	for i := range racks * perRack {
		t := newTarget(fmt.Sprintf("%03d", i))
		t.Rack = fmt.Sprintf("rack-%02d", i/perRack)
		row := targetRow(t, 1)
		r.view.now = r.now
		r.view.setTarget("", row)
	}
	return r
}

// submit adds a job of one step and returns its first unit.
func (r *replay) submit(priority int, s sesamework.Step) *unit {
	r.jobs++
	id := fmt.Sprintf("%08d", r.jobs)
	row := jobFillingTarget(id, priority)
	row.Value = encode(sesamework.Job{
		ID: id,
		Terms: sesamework.Terms{
			Service:  "service",
			Priority: priority,
			Attempts: 3,
			Stretch:  3,
			Latency:  1000,
		},
		Accepted: r.now.Store.Milliseconds(),
		Steps:    []sesamework.Step{s},
	})
	r.view.now = r.now
	r.view.setJob(id, row)
	return r.view.create(r.view.jobs[id].occurrences[0][0], 0)
}

// duration returns how long a run of the unit really takes, which is the same in
// each replay.
func (u *unit) duration() time.Duration {
	percent := 50 + xxhash.Sum64String(u.id.String())%101
	return u.step.Duration() * time.Duration(percent) / 100
}

// step lets time pass: runs end that have taken their time, stopped ones at
// once; targets report; and a decision is taken.
func (r *replay) step(d time.Duration) {
	r.now.Steady += d
	r.now.Store += d
	r.view.now = r.now
	for _, t := range r.view.targets {
		t.reportedAt = r.now.Steady
	}
	for _, u := range r.view.units {
		over := r.now.Steady-u.orderedAt >= u.duration()
		for _, m := range u.members {
			switch {
			case u.run.StopReason != "":
				r.view.endMember(u, m, sesamework.End{Outcome: sesamework.EndStopped})
			case over:
				r.view.endMember(u, m, sesamework.End{Outcome: sesamework.EndDone})
			}
		}
	}
	r.view.applyDecision(r.view.Decide(r.now))
}

// TestWideGangsAmongSmallTasks replays the load of the large deployment's scale
// days: waves of small tasks of lower priority keep all targets full, and gangs
// come that each need most of a rack. All gangs must start early enough to end
// in time; when room is reserved for two of them only, the small tasks fill what
// the others wait for.
func TestWideGangsAmongSmallTasks(t *testing.T) {
	const (
		racks    = 12
		perRack  = 20
		tick     = 200 * time.Millisecond
		gangs    = 10
		gangTime = 6800 * time.Millisecond
		// latestStart leaves gangTime of an objective of 3 times that and 1 s.
		latestStart = 2*gangTime + time.Second
	)
	r := newReplay(racks, perRack)
	wave := func(tasks int) {
		r.submit(2, sesamework.Step{
			Count: tasks,
			Need: sesamework.Resources{
				Cores:        5500,
				Accelerators: 1,
			},
			Estimate: 6100,
		})
	}
	wave(8 * racks * perRack)
	r.step(tick)
	var wide []*unit
	for range gangs {
		wide = append(wide, r.submit(1, sesamework.Step{
			Count: 26,
			Need: sesamework.Resources{
				Cores:        26000,
				Accelerators: 4,
			},
			Estimate: gangTime.Milliseconds(),
			Gang:     true,
			SameRack: true,
		}))
	}
	for elapsed := time.Duration(0); elapsed <= latestStart; elapsed += tick {
		if elapsed%(5*tick) == 0 {
			wave(2 * racks * perRack)
		}
		r.step(tick)
	}
	started := 0
	for _, u := range wide {
		if u.run.Number > 0 {
			started++
		}
	}
	is.New(t).Equal(started, gangs)
}
