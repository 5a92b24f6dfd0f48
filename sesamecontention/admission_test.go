package sesamecontention

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAdmit guards against jobs that are turned away although they could earn
// something, are owed, or nothing recent is known, and against jobs that are accepted
// without a chance or beyond what the planner holds.
func TestAdmit(t *testing.T) {
	const s = time.Second
	// The objective of a job of 5 s is 16 s, as on the first deployment, so that it is
	// worth nothing after 48 s.
	job := Arrival{Objective: 16 * s, Duration: 5 * s, Units: 6}
	timeless, owed, wide := job, job, job
	timeless.Timeless, owed.MayBeOwed, wide.Units = true, true, 90
	overdeclared := job
	overdeclared.Objective, overdeclared.Duration = 4*s, 20*s
	crowd := Load{Wait: 60 * s, Least: 5 * s, Units: 20, Bound: 100}
	rush, stale, full := crowd, crowd, crowd
	rush.Wait, stale.Age, full.Units = 40*s, 3100*time.Millisecond, 95
	quick := Load{Wait: 8 * s, Least: 3 * s, Bound: 100}
	full.Wait = 0
	fullAndStale := full
	fullAndStale.Age = stale.Age
	for _, c := range []struct {
		load    string
		arrival Arrival
		l       Load
		verdict Verdict
		retry   time.Duration
	}{
		{load: "backlog of a minute", arrival: job, l: crowd, verdict: NoValue, retry: 17 * s},
		{load: "backlog in which the job ends late", arrival: job, l: rush, verdict: Admitted},
		{load: "planner that no longer publishes", arrival: job, l: stale, verdict: Admitted},
		{load: "backlog of a minute, owed job", arrival: owed, l: crowd, verdict: Admitted},
		{load: "backlog of a minute, recurring or lasting job", arrival: timeless, l: crowd, verdict: Admitted},
		{load: "wrong declaration", arrival: overdeclared, l: quick, verdict: Admitted},
		{load: "planner near its bound", arrival: job, l: full, verdict: NoUnits, retry: s},
		{load: "planner near its bound, lasting job", arrival: timeless, l: full, verdict: NoUnits, retry: s},
		{load: "planner near its bound, owed job", arrival: owed, l: full, verdict: Admitted},
		{load: "planner near its bound, no longer publishing", arrival: job, l: fullAndStale, verdict: Admitted},
		{load: "wide job before the bound", arrival: wide, l: crowd, verdict: NoUnits, retry: 60 * s},
		{load: "no wait", arrival: overdeclared, l: Load{Bound: 100}, verdict: Admitted},
		{load: "queue without an objective", arrival: Arrival{}, l: crowd, verdict: Admitted},
	} {
		t.Run(c.load, func(t *testing.T) {
			is := is.New(t)
			verdict, retry := Admit(c.arrival, c.l)
			is.Equal(verdict, c.verdict)
			is.Equal(retry, c.retry)
		})
	}
}
