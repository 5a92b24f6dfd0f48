package main

import (
	"fmt"
	"time"
)

// playAffinity fills the workers with work of another team, and then submits an owed
// job whose tasks may not share an executor.
func playAffinity(w *world, trouble bool) verdict {
	prepare(w, 3, 3, map[string]int{"buyers": 8})
	crews := w.client(w.entries[0], "key-crews")
	buyers := w.client(w.entries[1], "key-buyers")
	if trouble {
		for i := range 3 {
			id := fmt.Sprintf("%016x", 0xb0+i)
			large := job{Specification: "survey", Steps: []step{{Count: 1, CPU: 52000, Memory: 140000, GPU: 8, Estimate: 20000}}}
			if _, ok := crews.submit("normal", id, large); !ok {
				check(fmt.Errorf("a large job was not accepted"))
			}
			if !await(5*time.Second, func() bool { return len(w.starts(id)) == 1 }) {
				check(fmt.Errorf("a large job was not started"))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	const id = "00000000000000c0"
	spread := job{Specification: "pricing", Steps: []step{{Count: 2, CPU: 15000, Memory: 31000, GPU: 1, Estimate: 2500, AntiAffinity: 1}}}
	if _, ok := buyers.submit("urgent", id, spread); !ok {
		check(fmt.Errorf("the pricing job was not accepted"))
	}
	await(8*time.Second, func() bool { return len(w.starts(id)) >= 2 })
	time.Sleep(500 * time.Millisecond)
	var found verdict
	first := map[string]event{}
	for _, s := range w.starts(id) {
		if other, ok := first[s.executor]; ok && other.task != s.task && !w.endedBefore(other, s.at) {
			found.add("ROUTE: %s run %d starts on %s while %s run %d is there; the step allows one task an executor (anti-affinity 1)",
				s.task, s.run, s.executor, other.task, other.run)
		}
		first[s.executor] = s
	}
	if len(w.starts(id)) < 2 {
		check(fmt.Errorf("the tasks of the pricing job were not started"))
	}
	return found
}

// endedBefore reports whether the run of the start had ended by then.
func (w *world) endedBefore(start event, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.events {
		if e.executor == start.executor && e.task == start.task && e.run == start.run && e.kind != "start" && e.at.Before(at) {
			return true
		}
	}
	return false
}
