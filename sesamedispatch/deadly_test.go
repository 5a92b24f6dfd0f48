package sesamedispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// targetRestart is how long a target that a task has crashed takes to start
// again.
const targetRestart = 3 * time.Second

// restartTarget starts another life of a crashed target after targetRestart. Its
// agent goes on.
func (w *world) restartTarget(t *sesamestandin.LeasedTarget) {
	w.group.Go(func() error {
		for _, n := range w.nodes {
			if n.currentTarget() == t {
				n.replaceTarget()
				return nil
			}
		}
		return nil
	})
}

// replaceTarget starts another life of the node's target, which has crashed,
// after targetRestart.
func (n *nodeProcess) replaceTarget() {
	crashed := n.currentTarget()
	n.setDown(true)
	n.w.sleep(targetRestart)
	n.startNewLife()
	crashed.SetReplaced()
	n.setDown(false)
}

// setDown takes the node's target from the inventory and ends its reports, or
// undoes that.
func (n *nodeProcess) setDown(down bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.removed = down
	n.reportsNothing = down
}

// newDeadlyJob returns a job whose tasks crash their targets that long after
// their start.
func newDeadlyJob(id string, step sesamework.Step, after time.Duration) *clientJob {
	a := newClientJob(id, step, 10*time.Second)
	plain := a.tasks
	a.tasks = func(task sesamework.TaskID) sesamestandin.FleetTask {
		definition := plain(task)
		definition.CrashesAfter = after
		return definition
	}
	return a
}

// singles returns a step of that many tasks of one accelerator.
func singles(count int) sesamework.Step {
	return sesamework.Step{
		Count:    count,
		Need:     accelerators(1),
		Estimate: 8000,
	}
}

// submitInnocents submits jobs that use half of the accelerators of 6 nodes.
func (w *world) submitInnocents() []string {
	var ids []string
	for i := range 6 {
		a := newClientJob(fmt.Sprintf("innocent-%d", i), singles(4), 8*time.Second)
		w.submit(a, "normal", "key-a", i)
		ids = append(ids, a.job.ID)
	}
	return ids
}

// deadlyCase is a case of TestTasksThatCrashTargets.
type deadlyCase struct {
	name string
	// jobs is how many deadly jobs there are, each of the step, and after how
	// long after their start their tasks crash their targets.
	jobs  int
	step  sesamework.Step
	after time.Duration
	// keepsIDs says that all lives of a target have the same ID.
	keepsIDs bool
	// meanwhile is run while the jobs run; nil does nothing.
	meanwhile func(*world)
}

// gangOf returns a step of a gang whose members fill half a target each.
func gangOf(count int) sesamework.Step {
	return sesamework.Step{
		Count:    count,
		Need:     accelerators(4),
		Estimate: 8000,
		Gang:     true,
	}
}

// replacePlanners kills one entry after the other, so that planners change.
func replacePlanners(w *world) {
	for i := range 8 {
		w.killEntry(i%len(w.entries), 1300*time.Millisecond)
	}
}

// killAllRepeatedly kills all processes but the targets, again and again.
func killAllRepeatedly(w *world) {
	for range 3 {
		w.killAll(700 * time.Millisecond)
		w.sleep(4 * time.Second)
	}
}

// deadlyCases are the cases of TestTasksThatCrashTargets.
var deadlyCases = []deadlyCase{
	{name: "one task among neighbours", jobs: 1, step: singles(1), after: 10 * time.Millisecond},
	{name: "targets keep their ID", jobs: 1, step: singles(1), after: 10 * time.Millisecond, keepsIDs: true},
	{name: "a task that crashes late", jobs: 1, step: singles(1), after: 5 * time.Second},
	{name: "a job of several tasks", jobs: 1, step: singles(5), after: 10 * time.Millisecond},
	{name: "many jobs at once", jobs: 4, step: singles(1), after: 10 * time.Millisecond},
	{name: "a gang on several targets", jobs: 1, step: gangOf(4), after: 10 * time.Millisecond},
	{name: "planners change", jobs: 2, step: singles(1), after: 10 * time.Millisecond, meanwhile: replacePlanners},
	{name: "all processes are killed", jobs: 2, step: singles(1), after: 10 * time.Millisecond, meanwhile: killAllRepeatedly},
}

// maxCrashes is how many targets one task may crash.
const maxCrashes = 3

// TestTasksThatCrashTargets guards against tasks that crash target after target:
// their jobs must fail, and those of their neighbours must complete.
func TestTasksThatCrashTargets(t *testing.T) {
	for _, c := range deadlyCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorldOf(t, c.keepsIDs)
				innocents := w.submitInnocents()
				w.sleep(500 * time.Millisecond)
				for i := range c.jobs {
					w.submit(newDeadlyJob(fmt.Sprintf("deadly-%d", i), c.step, c.after), "normal", "key-b", i)
				}
				if c.meanwhile != nil {
					c.meanwhile(w)
				}
				assertPromisesKept(t, w, 2*time.Minute)
				for i := range c.jobs {
					id := fmt.Sprintf("deadly-%d", i)
					is.Equal(w.state(id), sesamework.JobFailed)
					is.True(w.fleet.MaxCrashes()[id] <= maxCrashes)
				}
				for _, id := range innocents {
					is.Equal(w.state(id), sesamework.JobCompleted)
				}
			})
		})
	}
}

// newWorldOf starts a system of 2 entries and 6 nodes, and waits until it
// serves.
func newWorldOf(t *testing.T, keepsIDs bool) *world {
	w := newWorld(t, 2, 0)
	w.keepsIDs = keepsIDs
	for i := range 6 {
		w.addNode(i)
	}
	w.sleep(3 * time.Second)
	return w
}

// dyingCase is a case of TestInnocentTasksOnDyingTargets: what happens to the
// node's target again and again.
type dyingCase struct {
	name string
	dies func(*nodeProcess)
}

// dyingCases are the cases of TestInnocentTasksOnDyingTargets.
var dyingCases = []dyingCase{
	{name: "the VM is lost", dies: func(n *nodeProcess) {
		n.crash(time.Second)
	}},
	{name: "the agent is killed", dies: func(n *nodeProcess) {
		n.kill(time.Second)
	}},
	{name: "the target is cut off and starts again", dies: func(n *nodeProcess) {
		n.crashUnreportedFor(4 * time.Second)
	}},
	{name: "the lease lapses in silence", dies: func(n *nodeProcess) {
		n.currentTarget().SetUnreachable(true)
		n.w.sleep(14 * time.Second)
		n.currentTarget().SetUnreachable(false)
	}},
	{name: "the target drains and ends", dies: func(n *nodeProcess) {
		n.setDraining(true)
		n.w.sleep(2 * time.Second)
		n.setDown(true)
		n.currentTarget().Crash()
		n.w.sleep(time.Second)
		n.setDraining(false)
		n.startNewLife()
		n.setDown(false)
	}},
}

// setDraining sets whether the node's target reports that it drains.
func (n *nodeProcess) setDraining(draining bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.draining = draining
}

// TestInnocentTasksOnDyingTargets checks that a job whose targets end again and
// again for other reasons than a crash is not given up.
func TestInnocentTasksOnDyingTargets(t *testing.T) {
	for _, c := range dyingCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2, 1)
				w.sleep(3 * time.Second)
				a := newClientJob("innocent", sesamework.Step{
					Count:    1,
					Need:     accelerators(8),
					Estimate: 12000,
				}, 12*time.Second)
				w.submit(a, "normal", "key-a", 0)
				for range 6 {
					w.sleep(2500 * time.Millisecond)
					c.dies(w.nodes[0])
				}
				assertPromisesKept(t, w, 2*time.Minute)
				is.New(t).Equal(w.state("innocent"), sesamework.JobCompleted)
			})
		})
	}
}

// TestInnocentGangOnCrashingTargets crashes the target of one member of a gang
// after the other for reasons of their own: the crashes are not those of one
// task, and the gang must not be given up.
func TestInnocentGangOnCrashingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 4)
		w.sleep(3 * time.Second)
		w.submit(newClientJob("innocent", sesamework.Step{
			Count:    4,
			Need:     accelerators(8),
			Estimate: 9000,
			Gang:     true,
		}, 9*time.Second), "normal", "key-a", 0)
		for _, n := range w.nodes {
			w.sleep(6 * time.Second)
			n.currentTarget().CrashProcess()
			n.replaceTarget()
		}
		assertPromisesKept(t, w, time.Minute)
		is.New(t).Equal(w.state("innocent"), sesamework.JobCompleted)
	})
}

// deadlyFaultKinds are the faults beside tasks that crash their targets: those
// that start no target anew.
var deadlyFaultKinds = []string{
	"entry killed", "agent killed", "all killed", "store silent", "store refuses", "answers lost", "answers late",
	"store slow", "history lost", "orders late", "policy changes", "entry cut", "agent cut",
}

// TestModelDeadly runs random scenarios as TestModel does, with three jobs in
// them whose tasks crash their targets.
func TestModelDeadly(t *testing.T) {
	for seed := *modelFirstSeed; seed < *modelFirstSeed+*modelSeedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := rapid.Custom(drawScenario(deadlyFaultKinds)).Example(seed)
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, scenarioEntries, scenarioNodes)
				for i := range 3 {
					a := newDeadlyJob(fmt.Sprintf("deadly-%d", i), singles(1+seed%3), 10*time.Millisecond)
					w.group.Go(func() error {
						w.sleep(time.Duration(5+7*i) * time.Second)
						w.submit(a, "normal", "key-b", i)
						return nil
					})
				}
				w.run(s)
				assertPromisesKept(t, w, 4*time.Minute)
				for id, a := range w.jobs {
					if a.accepted && strings.HasPrefix(id, "deadly") {
						is.Equal(w.state(id), sesamework.JobFailed)
					}
				}
				if t.Failed() {
					for _, f := range s.Faults {
						t.Logf("%+v", f)
					}
				}
			})
		})
	}
}
