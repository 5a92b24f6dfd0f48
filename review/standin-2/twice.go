package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// The doses of playTwice: how long one worker's machine is cut off, and when and how
// long it is suspended meanwhile.
const (
	cutTime       = 12 * time.Second
	suspendAfter  = 6500 * time.Millisecond
	suspendedTime = 3500 * time.Millisecond
	twiceMachines = 8
)

// playTwice cuts off the machine of a worker that runs a task, and suspends it for a
// while during the cut.
func playTwice(w *world, trouble bool) (bool, error) {
	const id = "7071ce0000000001"
	w.configure(1, 16, batch)
	var fronts []*process
	for _, zone := range []string{"magdalena-a", "magdalena-b"} {
		// The cut is between the worker's machine and all entries. On loopback
		// addresses it can't hold for the entries' relays, so there are none.
		p, err := w.addWith("entry", zone, w.storeAt, entryMB, withoutRelay)
		if err != nil {
			return false, err
		}
		fronts = append(fronts, p)
	}
	proxies := map[*executor]*proxy{}
	agents := map[*executor]*process{}
	for i := range twiceMachines {
		link, at, err := w.newProxy(w.network+"249", w.storeAt)
		if err != nil {
			return false, err
		}
		e, p, err := w.addSide([]string{"magdalena-a", "magdalena-b"}[i%2], fmt.Sprintf("r%d", i/3), "a", at, worker)
		if err != nil {
			return false, err
		}
		proxies[e], agents[e] = link, p
	}
	if !w.awaitReady(fronts...) {
		return false, errNotReady
	}
	steps := []step{{Count: 1, CPU: 52000, Mem: 150000, GPU: 4, Estimate: 40_000}}
	if status := w.submitUntilAnswered(fronts[0], batch.prefix, id, steps, behaviour{works: 40 * time.Second}); status != 200 {
		return false, needsAnswer(id, status)
	}
	if err := w.awaitRun(id, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	e := w.startsOf(id)[0].on
	if trouble {
		go func() {
			w.record("the machine of executor %s is cut off", e.id)
			proxies[e].setCut(true)
			time.Sleep(suspendAfter)
			agents[e].signal(syscall.SIGSTOP)
			e.suspend(true)
			time.Sleep(suspendedTime)
			e.suspend(false)
			agents[e].signal(syscall.SIGCONT)
			time.Sleep(cutTime - suspendAfter - suspendedTime)
			proxies[e].setCut(false)
			w.record("the machine of executor %s is no longer cut off", e.id)
		}()
	}
	task := id + ".0.0.0"
	broken := false
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(poll) {
		if on := w.runningOn(task); len(on) > 1 {
			broken = true
			w.record("%s runs on %s", task, strings.Join(on, " and "))
		}
	}
	w.state(fronts[1], batch.prefix, id)
	return broken, nil
}

// withoutRelay returns the settings of an entry that relays no calls.
func withoutRelay(settings string) string {
	var kept []string
	for _, line := range strings.Split(settings, "\n") {
		if !strings.HasPrefix(line, "relay:") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// runningOn returns the executors that run the task now and whose machines are not
// suspended.
func (w *world) runningOn(task string) []string {
	var on []string
	for _, e := range w.executors {
		e.mu.Lock()
		r, runs := e.running[task]
		if runs && e.asleepAt.IsZero() {
			on = append(on, fmt.Sprintf("%s (run %d)", e.id, r.run))
		}
		e.mu.Unlock()
	}
	return on
}
