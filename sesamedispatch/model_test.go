package sesamedispatch_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// modelSeedCount is how many random scenarios each model test runs.
var modelSeedCount = flag.Int("model-seeds", 12, "random scenarios that each model test runs")

// modelFirstSeed is the seed of the first one; the others follow it.
var modelFirstSeed = flag.Int("model-first", 1, "first seed of the model tests")

// plannedJob is a job that a client submits during a scenario.
type plannedJob struct {
	// At is when it is submitted, from the scenario's start.
	At    time.Duration
	Queue string
	// Key is the access key, which selects the team.
	Key string
	// Entry is the index of the entry that is tried first.
	Entry int
	Step  sesamework.Step
	// WithSecondStep adds a step of two tasks that comes after Step.
	WithSecondStep bool
	// Duration is how long each task really takes.
	Duration time.Duration
	// FailsRun is the number of the run that fails: 0 for none, failsAlways for
	// all.
	FailsRun int
	// CancelAfter is how long after its acceptance the job is cancelled; 0
	// means never.
	CancelAfter time.Duration
}

// plannedFault is a fault that is injected at a time and removed after another.
type plannedFault struct {
	At   time.Duration
	For  time.Duration
	Kind string
	// Process is the index of the first process that has the fault.
	Process int
	// Processes is how many have it, for faults of the store.
	Processes int
}

// scenario is what happens in one test: jobs and faults at random times.
type scenario struct {
	Jobs   []plannedJob
	Faults []plannedFault
}

const (
	// failsAlways marks jobs of which every run fails.
	failsAlways     = -1
	scenarioEntries = 3
	scenarioNodes   = 5
	// scenarioLength bounds the times of submissions and faults.
	scenarioLength = 30 * time.Second
)

// faultKinds are the faults of a scenario; each may come more than once.
var faultKinds = []string{
	"entry killed", "agent killed", "target crashed", "all killed", "store silent", "store refuses",
	"answers lost", "answers late", "store slow", "history lost", "orders late", "policy changes",
	"entry cut", "agent cut",
}

// targetFaultKinds are the faults of targets and of the calls between them and
// their agents, with some of the store.
var targetFaultKinds = []string{
	"target vanished", "target silent", "target crashed", "agent killed", "orders late", "answers lost", "store silent",
}

// drawJob draws a job of one step, submitted from 3 s on.
func drawJob(t *rapid.T) plannedJob {
	gang := rapid.Bool().Draw(t, "gang")
	p := plannedJob{
		At:             time.Duration(rapid.IntRange(3000, int(scenarioLength.Milliseconds())).Draw(t, "at")) * time.Millisecond,
		Queue:          rapid.SampledFrom([]string{"urgent", "normal", "batch"}).Draw(t, "queue"),
		Key:            rapid.SampledFrom([]string{"key-a", "key-b"}).Draw(t, "key"),
		Entry:          rapid.IntRange(0, scenarioEntries-1).Draw(t, "entry"),
		WithSecondStep: rapid.Bool().Draw(t, "after"),
		Duration:       time.Duration(rapid.IntRange(500, 9000).Draw(t, "duration")) * time.Millisecond,
		FailsRun:       rapid.SampledFrom([]int{0, 0, 0, 0, 1, failsAlways}).Draw(t, "fails"),
		Step: sesamework.Step{
			Count:       rapid.IntRange(1, 5).Draw(t, "count"),
			Need:        accelerators(rapid.SampledFrom([]int64{1, 2, 4, 8}).Draw(t, "accelerators")),
			Gang:        gang,
			SameRack:    gang && rapid.Bool().Draw(t, "rack"),
			Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
		},
	}
	p.Step.Estimate = p.Duration.Milliseconds() * int64(rapid.IntRange(50, 150).Draw(t, "estimate")) / 100
	if rapid.IntRange(0, 5).Draw(t, "cancels") == 0 {
		p.CancelAfter = time.Duration(rapid.IntRange(0, 6000).Draw(t, "cancel")) * time.Millisecond
	}
	return p
}

// drawFault draws a fault of one of the kinds, injected from 3 s on.
func drawFault(t *rapid.T, kinds []string) plannedFault {
	return plannedFault{
		At:        time.Duration(rapid.IntRange(3000, int(scenarioLength.Milliseconds())).Draw(t, "at")) * time.Millisecond,
		For:       time.Duration(rapid.IntRange(300, 9000).Draw(t, "for")) * time.Millisecond,
		Kind:      rapid.SampledFrom(kinds).Draw(t, "kind"),
		Process:   rapid.IntRange(0, scenarioNodes-1).Draw(t, "who"),
		Processes: rapid.IntRange(1, 3).Draw(t, "many"),
	}
}

// drawScenario returns a generator of scenarios with faults of these kinds.
func drawScenario(kinds []string) func(*rapid.T) scenario {
	fault := rapid.Custom(func(t *rapid.T) plannedFault {
		return drawFault(t, kinds)
	})
	return func(t *rapid.T) scenario {
		return scenario{
			Jobs:   rapid.SliceOfN(rapid.Custom(drawJob), 5, 25).Draw(t, "jobs"),
			Faults: rapid.SliceOfN(fault, 1, 8).Draw(t, "faults"),
		}
	}
}

// regressions are seeds of scenarios that once failed, with the cause.
var regressions = []int{
	71,  // a stop that the fence refused was retried without a pause
	74,  // after a failure, a gang that needs every target waited for ever
	162, // the same
	196, // the same
	27,  // a target that answered its agent but no longer reported was given work for ever
	48,  // the same
}

// TestModel runs random scenarios with overlapping faults on the real intake,
// planner and runner, and checks the promises to callers by what targets and
// clients saw. A scenario is repeated by its seed: -model-first=SEED
// -model-seeds=1.
func TestModel(t *testing.T) {
	runSeeds(t, faultKinds, worldOptions{}, regressions)
}

// TestModelTargets is TestModel with the faults of targets.
func TestModelTargets(t *testing.T) {
	runSeeds(t, targetFaultKinds, worldOptions{}, nil)
}

// TestModelDetours is TestModel with processes that relay calls to the store
// for each other.
func TestModelDetours(t *testing.T) {
	runSeeds(t, faultKinds, worldOptions{
		detours: true,
	}, nil)
}

// TestModelEvacuation is TestModel with zones that are evacuated for a while, two of
// them at once in some scenarios. Nothing may be started in such a zone later than
// evacuationBound after the evacuation.
func TestModelEvacuation(t *testing.T) {
	kinds := slices.Concat(faultKinds, slices.Repeat([]string{"zone evacuated"}, len(faultKinds)))
	runSeeds(t, kinds, worldOptions{
		evacuations: true,
	}, nil)
}

// TestModelCompaction is TestModel with planners that keep of almost nothing that has
// ended more than that it is done.
func TestModelCompaction(t *testing.T) {
	runSeeds(t, slices.Concat(faultKinds, targetFaultKinds), worldOptions{
		heldEnds: 1,
	}, nil)
}

// runSeeds runs the scenarios of these seeds and of those that the flags name.
func runSeeds(t *testing.T, kinds []string, o worldOptions, seeds []int) {
	for seed := *modelFirstSeed; seed < *modelFirstSeed+*modelSeedCount; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := rapid.Custom(drawScenario(kinds)).Example(seed)
			synctest.Test(t, func(t *testing.T) {
				w := startWorld(t, scenarioEntries, scenarioNodes, o)
				w.run(s)
				assertPromisesKept(t, w, 4*time.Minute)
				if t.Failed() {
					for _, f := range s.Faults {
						t.Logf("%+v", f)
					}
				}
			})
		})
	}
}

// run submits the jobs and injects the faults, and then waits until all faults
// have been removed.
func (w *world) run(s scenario) {
	for i, p := range s.Jobs {
		w.group.Go(func() error {
			w.runJob(fmt.Sprintf("job%02d", i), p)
			return nil
		})
	}
	for _, f := range s.Faults {
		w.group.Go(func() error {
			w.sleep(f.At)
			w.inject(f)
			return nil
		})
	}
	const settling = 20 * time.Second
	w.sleep(scenarioLength + settling)
}

// runJob submits a job at its time, and cancels it later if that is planned.
func (w *world) runJob(id string, p plannedJob) {
	w.sleep(p.At)
	a := newClientJob(id, p.Step, p.Duration)
	if p.WithSecondStep {
		a.job.Steps = append(a.job.Steps, sesamework.Step{
			Count:    2,
			Need:     accelerators(1),
			Estimate: p.Step.Estimate,
			After:    []int{0},
		})
	}
	plain := plainTasks(a.job, p.Duration)
	a.tasks = func(task sesamework.TaskID) sesamestandin.FleetTask {
		f := plain(task)
		f.FailsRun = func(run int) bool {
			return run == p.FailsRun || p.FailsRun == failsAlways
		}
		f.MaxFailures = testAttempts
		f.Predecessors = precedingTasks(a.job, task)
		return f
	}
	w.submit(a, p.Queue, p.Key, p.Entry)
	if a.accepted && p.CancelAfter > 0 {
		w.sleep(p.CancelAfter)
		w.cancel(a, p.Queue, p.Key)
	}
}

// precedingTasks returns the tasks that must be done before the task starts:
// those of the steps that its own comes after.
func precedingTasks(job sesamework.Job, task sesamework.TaskID) []sesamework.TaskID {
	var all []sesamework.TaskID
	for _, step := range job.Steps[task.Step].After {
		for index := range job.Steps[step].Count {
			all = append(all, sesamework.TaskID{
				Job:   task.Job,
				Step:  step,
				Index: index,
			})
		}
	}
	return all
}

// inject injects one fault and removes it after its duration.
func (w *world) inject(f plannedFault) {
	switch f.Kind {
	case "entry killed":
		w.killEntry(f.Process%scenarioEntries, f.For)
	case "agent killed":
		w.nodes[f.Process].kill(f.For)
	case "target crashed":
		w.nodes[f.Process].crash(f.For)
	case "target vanished":
		w.nodes[f.Process].crashUnreportedFor(f.For)
	case "target leaves":
		w.nodes[f.Process].leaveFor(f.For)
	case "target silent":
		w.nodes[f.Process].currentTarget().SetUnreachable(true)
		w.sleep(f.For)
		w.nodes[f.Process].currentTarget().SetUnreachable(false)
	case "target shrinks":
		w.nodes[f.Process].setCapacity(int64(f.Processes-1) * 2)
		w.sleep(shrinkGrace + f.For)
		w.nodes[f.Process].setCapacity(nodeCapacity().Accelerators)
	case "all killed":
		w.killAll(f.For)
	case "history lost":
		w.store.DropHistory()
	case "orders late":
		w.nodes[f.Process].delayOrders(f.For)
	case "zone evacuated":
		w.evacuate(fmt.Sprintf("zone-%d", f.Process%2), 2*f.For)
	case "policy changes":
		w.putPolicy(2 + f.At.Milliseconds())
	default:
		w.injectStoreFault(f)
	}
}

// killEntry stops an entry and starts it again later.
func (w *world) killEntry(i int, d time.Duration) {
	w.entries[i].stop()
	w.sleep(d)
	w.entries[i].start()
}

// kill stops the node's agent and starts it again later; its target goes on.
func (n *nodeProcess) kill(d time.Duration) {
	n.stop()
	n.w.sleep(d)
	n.start()
}

// crash ends the target and its agent, and starts another life of both later.
func (n *nodeProcess) crash(d time.Duration) {
	n.stop()
	n.currentTarget().Crash()
	n.w.sleep(d)
	n.startNewLife()
	n.start()
}

// killAll stops all entries and agents and starts them again later.
func (w *world) killAll(d time.Duration) {
	for _, e := range w.entries {
		e.stop()
	}
	for _, n := range w.nodes {
		n.stop()
	}
	w.sleep(d)
	for _, e := range w.entries {
		e.start()
	}
	for _, n := range w.nodes {
		n.start()
	}
}

// delayOrders leaves every second order unanswered and carries it out 2.5 s
// late.
func (n *nodeProcess) delayOrders(d time.Duration) {
	count := 0
	n.currentTarget().SetLostOrders(func() (time.Duration, bool) {
		count++
		return 2500 * time.Millisecond, count%2 == 0
	})
	n.w.sleep(d)
	n.currentTarget().SetLostOrders(nil)
}

// storeFate returns what becomes of each call to the store under that kind of
// fault.
func storeFate(kind string) func(write bool) sesamestandin.RowFault {
	count := 0
	return func(write bool) sesamestandin.RowFault {
		count++
		switch kind {
		case "store silent", "entry cut", "agent cut":
			return sesamestandin.RowFault{
				Dropped: true,
			}
		case "reads unanswered":
			return sesamestandin.RowFault{
				Dropped: !write,
			}
		case "store refuses":
			return sesamestandin.RowFault{
				Refused: true,
			}
		case "store slow":
			return sesamestandin.RowFault{
				AnswerDelay: 300 * time.Millisecond,
			}
		}
		late := time.Duration(0)
		if kind == "answers late" {
			late = 1500 * time.Millisecond
		}
		return sesamestandin.RowFault{
			AnswerLost:  write && count%3 == 0,
			CommitDelay: late,
		}
	}
}

// injectStoreFault injects a fault into the calls of some entries, agents or
// both.
func (w *world) injectStoreFault(f plannedFault) {
	var all []*sesamestandin.FaultyRows
	for i := range f.Processes {
		if f.Kind != "agent cut" {
			all = append(all, w.entries[(f.Process+i)%scenarioEntries].rows)
		}
		if f.Kind != "entry cut" && f.Kind != "reads unanswered" {
			all = append(all, w.nodes[(f.Process+i)%scenarioNodes].rows)
		}
	}
	for _, rows := range all {
		rows.SetFault(storeFate(f.Kind))
	}
	w.sleep(f.For)
	for _, rows := range all {
		rows.SetFault(nil)
	}
}
