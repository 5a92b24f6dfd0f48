package main

import (
	"fmt"
	"time"
)

const (
	// finishTime is finish_s of the users' settings, and idleTime how long a job may
	// have nothing running after that while there is room for it.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// playEstimate submits a job whose declared duration is far too short.
func playEstimate(w *world, trouble bool) verdict {
	prepare(w, 3, 3, map[string]int{"buyers": 8})
	crews := w.client(w.entries[0], "key-crews")
	const id = "00000000000000b0"
	const actual = 400 * time.Second
	declared := actual
	if trouble {
		declared = 14 * time.Second
	}
	w.actual[id] = actual
	survey := job{Specification: "survey", Steps: []step{{Count: 1, CPU: 52000, Memory: 140000, GPU: 4, Estimate: declared.Milliseconds()}}}
	submitted, ok := crews.submit("normal", id, survey)
	if !ok {
		check(fmt.Errorf("the survey was not accepted"))
	}
	time.Sleep(90 * time.Second)
	w.log.add("client", "GET /normal/%s: %s", id, crews.state("normal", id))
	w.mu.Lock()
	defer w.mu.Unlock()
	var found verdict
	var idleSince time.Time
	judge := func(until time.Time) {
		from := submitted.Add(finishTime)
		if idleSince.After(from) {
			from = idleSince
		}
		if idle := until.Sub(from); !idleSince.IsZero() && idle > idleTime {
			found.add("LOST: nothing of job %s ran for %.1f s up to %.3f, over %v after the last submission, while all 3 executors were idle",
				id, idle.Seconds(), until.Sub(w.log.started).Seconds(), finishTime)
		}
	}
	for _, e := range w.events {
		switch e.kind {
		case "start":
			judge(e.at)
			idleSince = time.Time{}
		case "stopped":
			idleSince = e.at
		}
	}
	judge(time.Now())
	return found
}
