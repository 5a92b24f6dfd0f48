package main

import (
	"fmt"
	"time"
)

const (
	// lastingGrace is how long a task that lasts may be without a run before it
	// counts: 6 s after its last run, and 3 s with nothing running.
	lastingGrace = 9 * time.Second
	// failsAfter is when the task fails that fails once.
	failsAfter = 5 * time.Second
)

// hasFailed reports whether a run has failed by now.
func (w *world) hasFailed(r *run, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fails[r.task] == r.number && now.Sub(r.started) > failsAfter
}

// playLasting submits a job with a task for each executor that lasts, one on each.
// One of them fails once.
func playLasting(w *world, trouble bool) verdict {
	const executors = 3
	prepare(w, 3, executors, map[string]int{"buyers": 8})
	crews := w.client(w.entries[0], "key-crews")
	const id = "00000000000000b0"
	if trouble {
		w.fails[id+".0.0.1"] = 1
	}
	service := job{Specification: "service", Steps: []step{{
		Count: executors, CPU: 4000, Memory: 2000, GPU: 1, Estimate: 1000, LongRunning: true, AntiAffinity: 1,
	}}}
	if _, ok := crews.submit("normal", id, service); !ok {
		check(fmt.Errorf("the service was not accepted"))
	}
	if !await(5*time.Second, func() bool { return len(w.starts(id)) == executors }) {
		check(fmt.Errorf("the service was not started"))
	}
	time.Sleep(75 * time.Second)
	w.log.add("client", "GET /normal/%s: %s", id, crews.state("normal", id))
	w.mu.Lock()
	defer w.mu.Unlock()
	var found verdict
	last := map[string]event{}
	for _, e := range w.events {
		if e.kind == "start" || e.kind == "failed" {
			last[e.task] = e
		}
	}
	for task, e := range last {
		if since := time.Since(e.at); e.kind == "failed" && since > lastingGrace {
			found.add("LOST: %s run %d failed on %s %.1f s ago and was not started again; that executor has been idle since",
				task, e.run, e.executor, since.Seconds())
		}
	}
	return found
}
