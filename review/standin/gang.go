package main

import (
	"fmt"
	"time"
)

// playGang submits one gang of 1024 tasks to a deployment that has room for it, and
// then small jobs of other teams.
func playGang(w *world, trouble bool) verdict {
	prepare(w, 3, 11, map[string]int{"buyers": 16})
	crews := w.client(w.entries[0], "key-crews")
	buyers := w.client(w.entries[1], "key-buyers")
	if trouble {
		large := job{Specification: "survey", Steps: []step{{Count: 1024, CPU: 500, Memory: 1000, Estimate: 5000, Gang: true}}}
		if _, ok := crews.submit("late", "00000000000000b0", large); !ok {
			check(fmt.Errorf("the gang was not accepted"))
		}
		time.Sleep(2 * time.Second)
	}
	var found verdict
	accepted := map[string]time.Time{}
	for i := range 10 {
		id := fmt.Sprintf("%016x", 0xc0+i)
		small := job{Specification: "pricing", Steps: []step{{Count: 1, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 500}}}
		if at, ok := buyers.submit("urgent", id, small); ok {
			accepted[id] = at
		}
		time.Sleep(time.Second)
	}
	time.Sleep(20 * time.Second)
	for i := range 10 {
		id := fmt.Sprintf("%016x", 0xc0+i)
		state := buyers.state("urgent", id)
		w.log.add("client", "GET /urgent/%s to %s: %s", id, buyers.entry.name, state)
		if _, ok := accepted[id]; ok && len(w.starts(id)) == 0 {
			found.add("LOST, RECLAIM: job %s was accepted %.1f s ago, needs 1 of 16 guaranteed GPUs, and was never started; shown as %s",
				id, time.Since(accepted[id]).Seconds(), state)
		}
	}
	if trouble {
		w.log.add("client", "GET /late/00000000000000b0: %s; %d of 1024 tasks were started", crews.state("late", "00000000000000b0"), len(w.starts("00000000000000b0")))
	}
	for reason, n := range w.store.refused {
		w.log.add("store", "answered 400 %d times to a transaction with %s", n, reason)
	}
	if len(accepted) < 10 {
		check(fmt.Errorf("a small job was not accepted"))
	}
	return found
}
