package main

import (
	"fmt"
	"time"
)

const (
	// crashAfter is how long after its start a deadly task crashes its executor, and
	// backAfter how long that is away.
	crashAfter = 2 * time.Second
	backAfter  = 4 * time.Second
	// killAfter is how long after the start the agent beside it is killed, and
	// agentAway how long it is away.
	killAfter = time.Second
	agentAway = 3500 * time.Millisecond
	// crashesKnown is after how many crashes starts are counted, and startsAllowed how
	// many more break the rule.
	crashesKnown  = 3
	startsAllowed = 3
)

// playDeadly submits a task that crashes each executor that starts it. Each time the
// agent beside the executor is killed before the crash.
func playDeadly(w *world, trouble bool) verdict {
	prepare(w, 3, 3, map[string]int{"buyers": 8})
	crews := w.client(w.entries[0], "key-crews")
	const id = "00000000000000b0"
	deadly := job{Specification: "survey", Steps: []step{{Count: 1, CPU: 5000, Memory: 1000, GPU: 1, Estimate: 20000}}}
	if _, ok := crews.submit("normal", id, deadly); !ok {
		check(fmt.Errorf("the job was not accepted"))
	}
	startedAt := map[string]time.Time{}
	var counted int
	for seen, end := 0, time.Now().Add(85*time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		starts := w.starts(id)
		if len(starts) == seen {
			continue
		}
		s := starts[seen]
		seen++
		i := w.indexOf(s.executor)
		agent, victim := w.agents[i], w.executors[i]
		if seen > crashesKnown && s.at.Sub(startedAt[agent.name]) >= contactTime {
			counted++
		}
		if trouble {
			time.Sleep(time.Until(s.at.Add(killAfter)))
			w.log.add(agent.name, "is killed")
			agent.kill()
			time.AfterFunc(agentAway, func() { w.spawn(agent) })
			startedAt[agent.name] = time.Now().Add(agentAway)
		}
		time.Sleep(time.Until(s.at.Add(crashAfter)))
		victim.crash()
		time.AfterFunc(backAfter, func() { victim.restart("a") })
	}
	w.log.add("client", "GET /normal/%s: %s", id, crews.state("normal", id))
	var found verdict
	if counted >= startsAllowed {
		found.add("BUDGET: %d starts of the task by agents in touch after %d executors had crashed under it, %d starts in all",
			counted, crashesKnown, len(w.starts(id)))
	}
	return found
}

// indexOf returns the position of the executor with the ID.
func (w *world) indexOf(id string) int {
	for i, e := range w.executors {
		if e.id == id {
			return i
		}
	}
	return -1
}
