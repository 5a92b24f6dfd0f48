package main

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the users' settings.
const (
	contactTime = 3 * time.Second
	configApply = 2 * time.Second
)

// playSilent makes the open connections to the store silent, and takes a key away.
func playSilent(w *world, trouble bool) verdict {
	prepare(w, 3, 3, map[string]int{"buyers": 8})
	const id = "00000000000000c0"
	first := w.client(w.entries[0], "key-crews")
	long := job{Specification: "survey", Steps: []step{{Count: 1, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 60000}}}
	if _, ok := first.submit("normal", id, long); !ok {
		check(fmt.Errorf("the job was not accepted"))
	}
	for _, p := range w.entries {
		w.log.add("client", "GET /normal/%s to %s: %s", id, p.name, w.client(p, "key-crews").state("normal", id))
	}
	time.Sleep(5 * time.Second)
	silenced := time.Now()
	if trouble {
		w.log.add("store", "%d open connections go silent; new ones work", w.store.connections.silence())
	}
	time.Sleep(300 * time.Millisecond)
	w.configure(5, map[string][]string{"crews": {"key-new"}, "buyers": {"key-buyers"}}, map[string]int{"buyers": 8})
	acked := time.Now()
	from := acked.Add(configApply)
	if inTouch := silenced.Add(contactTime); trouble && inTouch.After(from) {
		from = inTouch
	}
	w.log.add("case", "from %.3f s on every entry is in touch and has to apply configuration 5", from.Sub(w.log.started).Seconds())
	var mu sync.Mutex
	var found verdict
	var group sync.WaitGroup
	for _, p := range w.entries {
		group.Add(1)
		go func() {
			defer group.Done()
			old, next := w.client(p, "key-crews"), w.client(p, "key-new")
			last := ""
			for time.Since(silenced) < 30*time.Second {
				for _, c := range []*client{old, next} {
					sent := time.Now()
					answered := c.state("normal", id)
					wrong := c == old && answered[:3] == "200" || c == next && answered[:3] == "401"
					if line := c.key + answered; line != last || wrong && sent.After(from) {
						w.log.add("client", "GET /normal/%s to %s with %s, sent %.3f: %s", id, p.name, c.key, sent.Sub(w.log.started).Seconds(), answered)
						last = line
					}
					if wrong && sent.After(from) {
						mu.Lock()
						found.add("CONFIG: %s answers %s to %s, %.3f s after the acknowledgement of configuration 5 and %.3f s after the silence began",
							p.name, answered, c.key, sent.Sub(acked).Seconds(), sent.Sub(silenced).Seconds())
						mu.Unlock()
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	return found
}
