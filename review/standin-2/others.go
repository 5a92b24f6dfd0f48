package main

import (
	"net/http"
	"strings"
	"time"
)

// playUnasked hands in a job while answers of the store are lost, gives it up and
// cancels it.
func playUnasked(w *world, trouble bool) (bool, error) {
	const id = "c4ce100000000001"
	fronts, err := w.deploy(2, []string{"r1", "r1", "r2", "r2", "r3", "r3"}, []string{"a", "a", "a", "a", "a", "a"}, batch)
	if err != nil {
		return false, err
	}
	w.store.mu.Lock()
	w.store.lost, w.store.answered = 0, 0
	if trouble {
		w.store.loses = func(body string) time.Duration {
			if strings.Contains(body, `"j/`+id+`"`) {
				return 6 * time.Second
			}
			return 0
		}
	}
	w.store.mu.Unlock()
	steps := []step{{Count: 1, CPU: 8000, Mem: 32768, GPU: 1, Estimate: 5000}}
	status := w.submit(fronts[0], batch.prefix, id, steps, behaviour{works: 5 * time.Second})
	cancel, body := w.request(fronts[1], http.MethodDelete, batch.prefix+id, nil)
	w.record("DELETE %s%s at %s: %d %s", batch.prefix, id, fronts[1].name, cancel, body)
	acknowledged := time.Now()
	w.store.mu.Lock()
	w.record("submission %d; %d writes were lost and %d answered", status, w.store.lost, w.store.answered)
	w.store.mu.Unlock()
	time.Sleep(12 * time.Second)
	w.state(fronts[0], batch.prefix, id)
	for _, s := range w.startsOf(id) {
		if s.at.Sub(acknowledged) > 3*time.Second && (cancel/100 == 2 || cancel == http.StatusGone) {
			w.record("%s was started %.1f s after the cancelling was acknowledged", s.task, s.at.Sub(acknowledged).Seconds())
			return true, nil
		}
	}
	return false, nil
}

// playRenamed changes the name of a route while a job of it runs.
func playRenamed(w *world, trouble bool) (bool, error) {
	const id = "4e4a3e0000000001"
	fronts, err := w.deploy(2, []string{"r1", "r1", "r2"}, []string{"a", "a", "a"}, batch)
	if err != nil {
		return false, err
	}
	steps := []step{{Count: 1, CPU: 8000, Mem: 32768, GPU: 1, Estimate: 30000}}
	if status := w.submitUntilAnswered(fronts[0], batch.prefix, id, steps, behaviour{works: 30 * time.Second}); status != 200 {
		return false, needsAnswer(id, status)
	}
	time.Sleep(5 * time.Second)
	changed := batch
	if trouble {
		changed.name = "r-batch-2"
	}
	w.configure(2, 16, changed)
	time.Sleep(5 * time.Second)
	broken := false
	for _, p := range fronts {
		status, _ := w.state(p, batch.prefix, id)
		broken = broken || status == http.StatusGone
	}
	return broken, nil
}
