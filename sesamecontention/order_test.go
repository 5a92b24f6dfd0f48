package sesamecontention

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitingJob returns a job of 100 core-seconds whose objective is three times its 4 s.
func waitingJob(priority int, elapsed time.Duration) Waiting {
	return Waiting{
		Outlook: Outlook{
			Objective: 12 * time.Second,
			Elapsed:   elapsed,
			Rest:      4 * time.Second,
			Spread:    0.5,
		},
		Priority: priority,
		Team:     "team",
		Room:     10,
		Value:    100,
		Work:     100,
	}
}

// TestOrder guards against work that waits behind work which earns its callers less.
func TestOrder(t *testing.T) {
	fresh, late := waitingJob(1, time.Second), waitingJob(1, 15*time.Second)
	worthless, aged := waitingJob(0, 40*time.Second), waitingJob(1, 200*time.Second)
	owed := waitingJob(0, 0)
	owed.Owed = true
	owed.Elapsed = 40 * time.Second
	begun := fresh
	begun.Work = 40
	other, third := fresh, fresh
	other.Team, other.Room = "other", 400
	third.Team, third.Room = "third", 400
	long := aged
	long.Elapsed = 0
	long.Lasting = true
	for _, c := range []struct {
		name  string
		all   []Waiting
		first int
	}{
		{name: "priority", all: []Waiting{fresh, waitingJob(0, 0)}, first: 1},
		{name: "in time before late", all: []Waiting{late, fresh}, first: 1},
		{name: "late before worthless of higher priority", all: []Waiting{worthless, late}, first: 1},
		{name: "owed before all, whatever it earns", all: []Waiting{waitingJob(0, 0), owed}, first: 1},
		{name: "more value for the work that is left", all: []Waiting{fresh, begun}, first: 1},
		{name: "a team that floods the system comes last", all: []Waiting{fresh, other, third}, first: 1},
		{name: "none waits for ever", all: []Waiting{fresh, aged}, first: 1},
		{name: "work that lasts has no deadline to miss", all: []Waiting{late, long}, first: 1},
		{name: "equal work keeps its order", all: []Waiting{fresh, fresh}, first: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Order(c.all, map[string]float64{"team": 650}, 600)[0], c.first)
		})
	}
}

// TestChances guards against a point estimate in the place of the distribution: work
// whose expected end is just past its objective may well be in time.
func TestChances(t *testing.T) {
	is := is.New(t)
	o := waitingJob(1, 9*time.Second).Outlook
	inTime, late := o.Chances(0)
	is.True(inTime > 0.1 && inTime < 0.5)
	is.True(late > 0.5 && inTime+late > 0.99)
	o.Spread = 0
	inTime, _ = o.Chances(0)
	is.True(inTime < 0.01)
}

// TestGain guards against stops for a job that is late in either case, or that finds
// room as soon by itself.
func TestGain(t *testing.T) {
	is := is.New(t)
	urgent := waitingJob(0, 7*time.Second)
	is.True(urgent.Gain(5*time.Second) > 10)
	is.Equal(urgent.Gain(StopTime), 0.0)
	urgent.Elapsed = 11 * time.Second
	is.Equal(urgent.Gain(5*time.Second), 0.0)
}

// TestVictims guards against the stop of a run that would soon end by itself, and of
// one unit again and again.
func TestVictims(t *testing.T) {
	is := is.New(t)
	r := Running{
		Outlook:   waitingJob(1, 5*time.Second).Outlook,
		Again:     4 * time.Second,
		Remaining: 2 * time.Second,
		Expected:  4 * time.Second,
		Value:     100,
	}
	r.Rest = r.Remaining
	is.True(!r.IsProtected())
	is.True(r.Delay(4*time.Second) > r.Delay(0))
	r.Remaining = 900 * time.Millisecond
	is.True(r.IsProtected())
	r.Remaining = 2 * time.Second
	r.StoppedBefore = true
	is.True(r.IsProtected())
}
