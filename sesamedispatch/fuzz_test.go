package sesamedispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// FuzzRows gives the planner a row of any content under any name, before and
// after valid ones. It must ignore what it can't use and still start the valid
// job: a planner that failed on a row would fail again at each start.
func FuzzRows(f *testing.F) {
	job := jobFillingTarget("good", 1)
	target := targetRow(newTarget("a"), 1)
	for _, row := range []sesamerows.Row{job, target} {
		f.Add(row.Key.Name, row.Key.Part, row.Value, false)
		f.Add(row.Key.Name, row.Key.Part, row.Value, true)
	}
	f.Add("e/good.0.0.0/1", "zone/0", []byte(`{"how":"done","t":"t/node-a/a","l":0}`), false)
	f.Add("c/other", "plan", []byte("{}"), false)
	f.Add("good.0.0.0", "plan", []byte(`{"n":1,"m":[{"i":0,"t":"t/node-a/a","z":"zone","l":0}],"at":1}`), false)
	f.Add("j/x", "job-1", []byte(`{"id":"x","digest":"d","terms":{},"steps":[{"n":1,"need":{},"after":[0]}]}`), false)
	f.Add("t/node-b/b", "zone/1", []byte(`- {"state":"ready","run":[{"t":"x","n":-1,"p":-100}],"leaves":-9223372036854775808}`), false)
	f.Fuzz(func(t *testing.T, name, part string, value []byte, removed bool) {
		is := is.New(t)
		bad := sesamerows.Row{
			Key: sesamerows.Key{
				Table: sesamework.WorkTable,
				Part:  part,
				Name:  name,
			},
			Value:   value,
			Version: 1,
			Removed: removed,
		}
		v := NewView(sesamelog.Discard())
		now := Now{
			Steady: time.Hour,
			Store:  time.Hour,
			Wall:   time.Hour.Milliseconds(),
		}
		v.Load([]sesamerows.Row{bad}, []sesamerows.Row{bad}, []sesamerows.Row{bad}, now)
		v.applyDecision(v.Decide(now))
		second := targetRow(newTarget("own"), 2)
		v.Apply([]sesamerows.Row{jobFillingTarget("own", 0), second, bad}, now)
		bad.Version = 3
		v.Apply([]sesamerows.Row{bad}, now)
		for range 3 {
			now.Steady += time.Second
			v.applyDecision(v.Decide(now))
		}
		known := v.jobs["own"]
		is.True(known != nil)
		affected := name == "c/own" || name == second.Key.Name || name == "j/own" || known.isOver()
		is.True(affected || known.hasStarted())
	})
}
