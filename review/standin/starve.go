package main

import (
	"fmt"
	"time"
)

// beginService starts a service that lasts with one GPU of each executor.
func beginService(w *world, crews *client, executors int) {
	const id = "00000000000000b0"
	service := job{Specification: "service", Steps: []step{{
		Count: executors, CPU: 4000, Memory: 2000, GPU: 1, Estimate: 4000, LongRunning: true, AntiAffinity: 1,
	}}}
	if _, ok := crews.submit("normal", id, service); !ok {
		check(fmt.Errorf("the service was not accepted"))
	}
	if !await(5*time.Second, func() bool { return len(w.starts(id)) == executors }) {
		check(fmt.Errorf("the service was not started"))
	}
}

// submitWideGang submits a gang that needs all GPUs of all executors.
func submitWideGang(crews *client, queue string, executors int) {
	large := job{Specification: "survey", Steps: []step{{Count: executors, CPU: 52000, Memory: 140000, GPU: 8, Estimate: 11000, Gang: true}}}
	if _, ok := crews.submit(queue, "00000000000000b1", large); !ok {
		check(fmt.Errorf("the gang was not accepted"))
	}
}

// playStarve runs a service that lasts with one GPU of each worker, and submits a gang
// that needs all GPUs of all workers, and then small jobs of lower priority.
func playStarve(w *world, trouble bool) verdict {
	const executors = 3
	prepare(w, 3, executors, map[string]int{"buyers": 8})
	crews := w.client(w.entries[0], "key-crews")
	buyers := w.client(w.entries[1], "key-buyers")
	beginService(w, crews, executors)
	if trouble {
		submitWideGang(crews, "normal", executors)
	}
	time.Sleep(2 * time.Second)
	const small = 5
	var last time.Time
	for i := range small {
		id := fmt.Sprintf("%016x", 0xc0+i)
		at, ok := buyers.submit("late", id, job{Specification: "recon", Steps: []step{{Count: 1, CPU: 11000, Memory: 16000, GPU: 1, Estimate: 3000}}})
		if !ok {
			check(fmt.Errorf("a small job was not accepted"))
		}
		last = at
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(50 * time.Second)
	var found verdict
	for i := range small {
		id := fmt.Sprintf("%016x", 0xc0+i)
		state := buyers.state("late", id)
		w.log.add("client", "GET /late/%s: %s", id, state)
		if len(w.starts(id)) == 0 {
			found.add("LOST: job %s, which needs one GPU, has not been started %.1f s after the last submission, while 21 of 24 GPUs are idle; shown as %s",
				id, time.Since(last).Seconds(), state)
		}
	}
	return found
}

// playReclaim runs the same service, submits the gang in the queue of priority 0, and
// then owed jobs of another team.
func playReclaim(w *world, trouble bool) verdict {
	const executors = 3
	prepare(w, 3, executors, map[string]int{"buyers": 8})
	crews := w.client(w.entries[0], "key-crews")
	buyers := w.client(w.entries[1], "key-buyers")
	beginService(w, crews, executors)
	if trouble {
		submitWideGang(crews, "urgent", executors)
	}
	time.Sleep(2 * time.Second)
	const reclaimTime = 3400 * time.Millisecond
	var found verdict
	for i := range 3 {
		id := fmt.Sprintf("%016x", 0xc0+i)
		at, ok := buyers.submit("urgent", id, job{Specification: "pricing", Steps: []step{{Count: 1, CPU: 11000, Memory: 16000, GPU: 1, Estimate: 20000}}})
		if !ok {
			check(fmt.Errorf("an owed job was not accepted"))
		}
		await(30*time.Second, func() bool { return len(w.starts(id)) > 0 })
		if s := w.starts(id); len(s) == 0 || s[0].at.Sub(at) > reclaimTime {
			found.add("RECLAIM: job %s, of priority 0 and owed 1 of 8 guaranteed GPUs, began after %.1f s", id, time.Since(at).Seconds())
		}
	}
	return found
}
