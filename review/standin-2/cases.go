package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// What the settings of a small deployment and the rules say.
const (
	finish     = 14 * time.Second
	idleLimit  = 3 * time.Second
	lastsLimit = 6 * time.Second
	entryMB    = 284
	poll       = 100 * time.Millisecond
)

// worker is the capacity of each executor.
var worker = amount{CPU: 128000, Mem: 524288, GPU: 8}

// errNotReady says that the deployment didn't come up.
var errNotReady = errors.New("the deployment is not ready")

// deploy starts entries in three zones and one executor with its agent for each rack
// and kind of the lists, and waits until they serve.
func (w *world) deploy(entries int, racks, kinds []string, routes ...route) ([]*process, error) {
	w.configure(1, 16, routes...)
	zones := []string{"magdalena-a", "magdalena-b", "magdalena-c"}
	var fronts []*process
	for i := range entries {
		p, err := w.add("entry", zones[i%len(zones)], w.storeAt, entryMB)
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, p)
	}
	for i, rack := range racks {
		if _, _, err := w.addSide(zones[i%len(zones)], rack, kinds[i], w.storeAt, worker); err != nil {
			return nil, err
		}
	}
	if !w.awaitReady(fronts...) {
		return nil, errNotReady
	}
	return fronts, nil
}

// batch is a queue for jobs that can wait.
var batch = route{name: "r-batch", prefix: "/batch/", priority: 2, attempts: 3}

// needsAnswer is the error of a job that a case needs and that wasn't accepted.
func needsAnswer(id string, status int) error {
	return fmt.Errorf("job %s was answered %d", id, status)
}

// awaitRun waits until a task of the job runs.
func (w *world) awaitRun(id string, most time.Duration) error {
	for deadline := time.Now().Add(most); !w.runs(id); time.Sleep(poll) {
		if time.Now().After(deadline) {
			return fmt.Errorf("job %s does not run", id)
		}
	}
	return nil
}

// watchIdle watches a job until the time is over or it has run to its end, and
// returns the longest time for which nothing of it ran while there was room for two
// tasks with its needs and under half of the service's accelerators were in use. Time
// before from does not count.
func (w *world) watchIdle(p *process, prefix, id string, needs amount, from, until time.Time) time.Duration {
	var longest time.Duration
	var since, asked time.Time
	for time.Now().Before(until) {
		time.Sleep(poll)
		room, share := w.roomFor(needs, func(*executor) bool { return true })
		if time.Since(asked) > 2*time.Second {
			asked = time.Now()
			_, state := w.state(p, prefix, id)
			if state == "completed" || state == "failed" {
				break
			}
			w.record("job %s runs: %v; room for %d tasks of it; %.0f %% of the service is in use", id, w.runs(id), room, 100*share)
		}
		if w.runs(id) || room < 2 || share >= 0.5 || time.Now().Before(from) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	w.record("job %s had nothing running, with room for it twice over, for %.1f s on end", id, longest.Seconds())
	return longest
}

// playLasting runs two tasks that last on the only executor of their kind, of which
// each fails a few times.
func playLasting(w *world, trouble bool) (bool, error) {
	const id = "1a57000000000001"
	fronts, err := w.deploy(2, []string{"r1", "r1", "r2"}, []string{"a", "a", "b"}, batch)
	if err != nil {
		return false, err
	}
	fails := func(_ string, run int) (time.Duration, bool) { return 3 * time.Second, trouble && run <= 3 }
	steps := []step{{Count: 2, CPU: 4000, Mem: 8192, GPU: 1, Selector: "b", Lasts: true}}
	if status := w.submitUntilAnswered(fronts[0], batch.prefix, id, steps, behaviour{fails: fails}); status != 200 {
		return false, needsAnswer(id, status)
	}
	if err := w.awaitRun(id, 10*time.Second); err != nil {
		return false, err
	}
	broken := w.watchMissing([]string{id + ".0.0.0", id + ".0.0.1"}, steps[0], 60*time.Second)
	w.state(fronts[1], batch.prefix, id)
	return broken, nil
}

// watchMissing watches tasks that last, with the needs of the step, and reports
// whether one of them didn't run for longer than the rule allows.
func (w *world) watchMissing(tasks []string, s step, most time.Duration) bool {
	broken := false
	var noted time.Time
	for deadline := time.Now().Add(most); time.Now().Before(deadline); time.Sleep(poll) {
		for _, task := range tasks {
			missing := w.missingFor(task, s)
			broken = broken || missing > lastsLimit+idleLimit
			if missing > lastsLimit+idleLimit && time.Since(noted) > time.Second {
				noted = time.Now()
				w.record("%s has not run for %.1f s, with room for it twice over", task, missing.Seconds())
			}
		}
	}
	return broken
}

// missingFor returns for how long a task that lasts has not run since its last run,
// 0 unless there is room for it twice over and under half of the service is in use.
func (w *world) missingFor(task string, s step) time.Duration {
	for _, e := range w.executors {
		e.mu.Lock()
		_, runs := e.running[task]
		e.mu.Unlock()
		if runs {
			return 0
		}
	}
	w.mu.Lock()
	last, ended := w.lastEnds[task]
	w.mu.Unlock()
	room, share := w.roomFor(s.needs(), func(e *executor) bool { return s.Selector == "" || e.kind == s.Selector })
	if !ended || room < 2 || share >= 0.5 {
		return 0
	}
	return time.Since(last)
}

// playDataRack hands in a job whose data is in a rack that others fill, while all
// other racks are empty.
func playDataRack(w *world, trouble bool) (bool, error) {
	const filler, id = "f111000000000001", "da7a000000000001"
	fronts, err := w.deploy(2, []string{"r1", "r2", "r2", "r3"}, []string{"a", "a", "a", "a"}, batch)
	if err != nil {
		return false, err
	}
	if trouble {
		steps := []step{{Count: 1, CPU: 64000, Mem: 262144, GPU: 8, DataRack: "r1", Lasts: true}}
		if status := w.submitUntilAnswered(fronts[0], batch.prefix, filler, steps, behaviour{}); status != 200 {
			return false, needsAnswer(filler, status)
		}
		if err := w.awaitRun(filler, 10*time.Second); err != nil {
			return false, err
		}
	}
	steps := []step{{Count: 1, CPU: 8000, Mem: 32768, GPU: 2, DataRack: "r1", Estimate: 600_000}}
	if status := w.submitUntilAnswered(fronts[0], batch.prefix, id, steps, behaviour{works: 10 * time.Minute}); status != 200 {
		return false, needsAnswer(id, status)
	}
	accepted := time.Now()
	idle := w.watchIdle(fronts[1], batch.prefix, id, steps[0].needs(), accepted.Add(finish), accepted.Add(60*time.Second))
	return idle > idleLimit, nil
}

// survey is a queue for jobs that go before those of batch.
var survey = route{name: "r-survey", prefix: "/survey/", priority: 1, attempts: 3}

// playReserved hands in two jobs whose data is in a rack that others fill. Then a task
// that lasts, and that any executor may run, fails once.
func playReserved(w *world, trouble bool) (bool, error) {
	const filler, id = "f111000000000001", "1a57000000000001"
	fronts, err := w.deploy(2, []string{"r1", "r2", "r3"}, []string{"a", "a", "a"}, survey, batch)
	if err != nil {
		return false, err
	}
	full := []step{{Count: 1, CPU: 64000, Mem: 262144, GPU: 8, DataRack: "r1", Lasts: true}}
	one := []step{{Count: 1, CPU: 8000, Mem: 32768, GPU: 1, Lasts: true}}
	fails := func(_ string, run int) (time.Duration, bool) { return 8 * time.Second, run == 1 }
	if err := w.submitAndAwait(fronts[0], survey.prefix, filler, full, behaviour{}); err != nil {
		return false, err
	}
	if err := w.submitAndAwait(fronts[0], batch.prefix, id, one, behaviour{fails: fails}); err != nil {
		return false, err
	}
	for i := range 2 {
		waiting := fmt.Sprintf("da7a00000000000%d", i)
		steps := []step{{Count: 1, CPU: 64000, Mem: 262144, GPU: 8, DataRack: "r1", Estimate: 600_000}}
		if !trouble {
			break
		}
		if status := w.submitUntilAnswered(fronts[0], survey.prefix, waiting, steps, behaviour{works: 10 * time.Minute}); status != 200 {
			return false, needsAnswer(waiting, status)
		}
	}
	broken := w.watchMissing([]string{id + ".0.0.0"}, one[0], 60*time.Second)
	w.state(fronts[1], batch.prefix, id)
	return broken, nil
}

// submitAndAwait hands a job in and waits until a task of it runs.
func (w *world) submitAndAwait(p *process, prefix, id string, steps []step, does ...behaviour) error {
	if status := w.submitUntilAnswered(p, prefix, id, steps, does...); status != 200 {
		return needsAnswer(id, status)
	}
	return w.awaitRun(id, 10*time.Second)
}

// playAvoid hands in a job that fails once, on the only executor that has room for
// it.
func playAvoid(w *world, trouble bool) (bool, error) {
	const id = "a701d00000000001"
	fronts, err := w.deploy(2, []string{"r1", "r1", "r2"}, []string{"a", "a", "a"}, batch)
	if err != nil {
		return false, err
	}
	for i := range 2 {
		filler := fmt.Sprintf("f11100000000000%d", i)
		steps := []step{{Count: 1, CPU: 40000, Mem: 65536, GPU: 5, Lasts: true}}
		if status := w.submitUntilAnswered(fronts[0], batch.prefix, filler, steps, behaviour{}); status != 200 {
			return false, needsAnswer(filler, status)
		}
		if err := w.awaitRun(filler, 10*time.Second); err != nil {
			return false, err
		}
	}
	fails := func(_ string, run int) (time.Duration, bool) { return 6 * time.Second, trouble && run == 1 }
	steps := []step{{Count: 1, CPU: 40000, Mem: 65536, GPU: 4, Estimate: 600_000}}
	does := behaviour{works: 10 * time.Minute, fails: fails}
	if status := w.submitUntilAnswered(fronts[0], batch.prefix, id, steps, does); status != 200 {
		return false, needsAnswer(id, status)
	}
	accepted := time.Now()
	idle := w.watchIdle(fronts[1], batch.prefix, id, steps[0].needs(), accepted.Add(finish), accepted.Add(60*time.Second))
	return idle > idleLimit, nil
}

// playBackfill hands in a gang that has to wait for one small task, and then a small
// job for which nearly all executors are free.
func playBackfill(w *world, trouble bool) (bool, error) {
	const first, gang, id = "f111000000000001", "9a90000000000001", "5a11000000000001"
	fronts, err := w.deploy(2, []string{"r1", "r1", "r2", "r2"}, []string{"a", "a", "a", "a"}, batch)
	if err != nil {
		return false, err
	}
	one := []step{{Count: 1, CPU: 8000, Mem: 32768, GPU: 1, Estimate: 600_000}}
	if status := w.submitUntilAnswered(fronts[0], batch.prefix, first, one, behaviour{works: 10 * time.Minute}); status != 200 {
		return false, needsAnswer(first, status)
	}
	if err := w.awaitRun(first, 10*time.Second); err != nil {
		return false, err
	}
	if trouble {
		all := []step{{Count: 4, CPU: 64000, Mem: 262144, GPU: 8, Estimate: 60_000, Gang: true}}
		if status := w.submitUntilAnswered(fronts[0], batch.prefix, gang, all, behaviour{works: time.Minute}); status != 200 {
			return false, needsAnswer(gang, status)
		}
	}
	small := []step{{Count: 1, CPU: 8000, Mem: 32768, GPU: 1, Estimate: 10_800_000}}
	if status := w.submitUntilAnswered(fronts[0], batch.prefix, id, small, behaviour{works: 3 * time.Hour}); status != 200 {
		return false, needsAnswer(id, status)
	}
	accepted := time.Now()
	idle := w.watchIdle(fronts[1], batch.prefix, id, small[0].needs(), accepted.Add(finish), accepted.Add(60*time.Second))
	return idle > idleLimit, nil
}

// playLarge hands in one job with very many tasks, and then a small one. After a
// while it cancels the large one.
func playLarge(w *world, trouble bool) (bool, error) {
	const large, id = "1a49e00000000001", "5a11000000000001"
	fronts, err := w.deploy(3, []string{"r1", "r1", "r2"}, []string{"a", "a", "a"}, batch)
	if err != nil {
		return false, err
	}
	count := 4
	if trouble {
		count = largeCount
	}
	var steps []step
	var does []behaviour
	for range largeSteps {
		steps = append(steps, step{Count: count, CPU: 1000, Mem: 1024, GPU: 1, Estimate: 1000})
		does = append(does, behaviour{works: 500 * time.Millisecond})
	}
	if status := w.submitUntilAnswered(fronts[0], batch.prefix, large, steps, does...); status != 200 {
		return false, needsAnswer(large, status)
	}
	time.Sleep(3 * time.Second)
	small := []step{{Count: 1, CPU: 8000, Mem: 32768, GPU: 1, Estimate: 1000}}
	if status := w.submitUntilAnswered(fronts[1], batch.prefix, id, small, behaviour{works: time.Second}); status != 200 {
		return false, needsAnswer(id, status)
	}
	accepted := time.Now()
	idle := w.watchIdle(fronts[1], batch.prefix, id, small[0].needs(), accepted.Add(finish), accepted.Add(40*time.Second))
	for range 10 {
		status, body := w.request(fronts[2], http.MethodDelete, batch.prefix+large, nil)
		w.record("DELETE %s%s at %s: %d %s", batch.prefix, large, fronts[2].name, status, body)
		if status/100 == 2 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if trouble {
		w.watchIdle(fronts[1], batch.prefix, id, small[0].needs(), time.Now(), time.Now().Add(30*time.Second))
	}
	for _, p := range w.processes {
		p.mu.Lock()
		w.record("%s was started %d times, took %d MB of %d at most, was killed for its memory %d times and ended by itself %d times",
			p.name, p.starts, p.peakMB, p.memoryMB, p.killed, p.exits)
		p.mu.Unlock()
	}
	return idle > idleLimit, nil
}

// The large job of playLarge: the number of its steps, and of the tasks in each, which
// is the most that the entry accepts in a step.
const (
	largeSteps = 8
	largeCount = 65536
)

// playPending hands in jobs for an executor that rejects starts for a while, and
// asks how many jobs have not started.
func playPending(w *world, trouble bool) (bool, error) {
	const jobs = 3
	racks := []string{"r1", "r1", "r1", "r2", "r2", "r2", "r3"}
	kinds := []string{"a", "a", "a", "a", "a", "a", "b"}
	fronts, err := w.deploy(2, racks, kinds, batch)
	if err != nil {
		return false, err
	}
	grey := w.executors[len(w.executors)-1]
	reject := func(on bool) {
		grey.mu.Lock()
		grey.rejects = on
		grey.mu.Unlock()
		w.record("executor %s rejects starts: %v", grey.id, on)
	}
	reject(trouble)
	began := time.Now()
	steps := []step{{Count: 1, CPU: 8000, Mem: 32768, GPU: 1, Estimate: 2000, Selector: "b"}}
	for i := range jobs {
		id := fmt.Sprintf("9e4d00000000000%d", i)
		if status := w.submitUntilAnswered(fronts[i%2], batch.prefix, id, steps, behaviour{works: 2 * time.Second}); status != 200 {
			return false, needsAnswer(id, status)
		}
	}
	accepted := time.Now()
	broken := false
	time.Sleep(time.Until(accepted.Add(visible + pendingAge)))
	for time.Since(began) < greyTime-200*time.Millisecond {
		for _, p := range fronts {
			before := w.notBegun(jobs)
			given := w.pending(p, batch.prefix)
			after := w.notBegun(jobs)
			w.record("%d jobs have not begun; %s gives %d", after, p.name, given)
			broken = broken || given >= 0 && 2*given < min(before, after)
		}
		time.Sleep(poll)
	}
	reject(false)
	time.Sleep(8 * time.Second)
	w.record("%d jobs have not begun in the end", w.notBegun(jobs))
	return broken, nil
}

// Times of playPending: what the rule on counts allows, and how long the executor
// rejects starts.
const (
	visible    = 3 * time.Second
	pendingAge = 2 * time.Second
	greyTime   = 6500 * time.Millisecond
)

// notBegun returns how many of the jobs of playPending have no start.
func (w *world) notBegun(jobs int) int {
	n := 0
	for i := range jobs {
		if len(w.startsOf(fmt.Sprintf("9e4d00000000000%d", i))) == 0 {
			n++
		}
	}
	return n
}
