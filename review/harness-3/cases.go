package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// The bounds of the site that the scripts use.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// dueTime is from the first hand-in to the time of the job that waits.
	dueTime = 27 * time.Second
	// cutTime is less than the length of a srv_cut, 5 s.
	cutTime = 4 * time.Second
)

// overlaps returns the pairs of runs of a task of the job that went on at the same
// time on executors that were up.
func (d *deployment) overlaps(id string) []string {
	var found []string
	runs := d.runsOf(id)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			endOf := a.end
			if endOf.IsZero() {
				endOf = time.Now()
			}
			if a.task == b.task && b.began.Before(endOf) {
				found = append(found, fmt.Sprintf("TWICE: %s ran at the same time as run %d on %s (born %d) and run %d on %s (born %d), for %v",
					a.task, a.run, a.executor, a.born, b.run, b.executor, b.born, endOf.Sub(b.began).Round(time.Millisecond)))
			}
		}
	}
	return found
}

// awaitRun returns the first run of the job's first task.
func (d *deployment) awaitRun(id string, within time.Duration) (taskRun, bool) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if runs := d.runsOf(id); len(runs) > 0 {
			return runs[0], true
		}
	}
	return taskRun{}, false
}

// idleFor watches a job and returns a break if it has nothing running for idleTime
// on end before the deadline, though its turn has come and the executors are idle.
func (d *deployment) idleFor(id string, until time.Time) []string {
	var idleSince time.Time
	for time.Now().Before(until) {
		running, done := false, false
		for _, r := range d.runsOf(id) {
			running = running || r.end.IsZero()
			done = done || r.endHow == "done"
		}
		switch {
		case done:
			return nil
		case running:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) > idleTime:
			return []string{fmt.Sprintf("LOST: job %s has had nothing running for %v", id, time.Since(idleSince).Round(time.Millisecond))}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// twoSides are side machines of which the first is smaller, so that it suits small
// work best.
var twoSides = []side{
	{"magdalena-a", resources{64000, 262144, 4}, []string{"a", "r1-1"}, false},
	{"magdalena-b", resources{128000, 524288, 8}, []string{"a", "r1-2"}, false},
}

// sixSides are side machines of which the first suits small work best. One of them is
// less than the share of servers that a srv_cut takes, 0.2.
func sixSides() []side {
	sides := []side{twoSides[0]}
	for i := 2; i <= 6; i++ {
		sides = append(sides, side{
			fmt.Sprintf("magdalena-%c", 'a'+(i-1)%3), resources{128000, 524288, 8}, []string{"a", fmt.Sprintf("r1-%d", i)}, false,
		})
	}
	return sides
}

// lateLeave: an executor takes its leave, and is cut off as it does. It starts again
// under its id. What it sent last arrives after the cut, behind the first heartbeat
// of the new life.
func lateLeave(d *deployment) ([]string, error) {
	if err := d.startAll(2, sixSides(), configuration(7, 8, batchRoute)); err != nil {
		return nil, err
	}
	e := d.executors[0]
	first := e.current()
	if !first.drain(2 * time.Second) {
		return nil, fmt.Errorf("the executor's leaving was not acknowledged")
	}
	time.Sleep(2500 * time.Millisecond)
	if d.trouble {
		e.reports.setCut(true)
		e.app.setCut(true)
		d.record("executor i-1 is cut off")
		time.AfterFunc(cutTime, func() {
			e.reports.setCut(false)
			e.app.setCut(false)
			d.record("executor i-1 is no longer cut off")
		})
	}
	if err := first.farewell(); err != nil {
		return nil, err
	}
	time.Sleep(60 * time.Millisecond)
	e.end("planned")
	time.Sleep(time.Second)
	if err := e.start(); err != nil {
		return nil, err
	}
	if !e.current().awaitAcknowledged(8 * time.Second) {
		return nil, fmt.Errorf("no heartbeat of the new life was acknowledged")
	}
	d.record("the first heartbeat of the new life is acknowledged")
	time.Sleep(200 * time.Millisecond)
	id := jobID(1)
	if !d.submit(batchRoute, id, job{"work 9000 ms, then done", []step{{Count: 1, CPU: 11000, Memory: 59000, GPU: 4, Estimate: 9000}}, 0, 0, 0}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	run, ok := d.awaitRun(id, 3*time.Second)
	if !ok || run.executor != "i-1" {
		return nil, fmt.Errorf("the job did not start on i-1")
	}
	time.Sleep(8 * time.Second)
	return d.overlaps(id), nil
}

// foreignLife: another writer sends a heartbeat with the id of an executor in which
// fields are missing.
func foreignLife(d *deployment) ([]string, error) {
	if err := d.startAll(2, twoSides, configuration(7, 8, batchRoute)); err != nil {
		return nil, err
	}
	id := jobID(1)
	if !d.submit(batchRoute, id, job{"work 9000 ms, then done", []step{{Count: 1, CPU: 11000, Memory: 59000, GPU: 4, Estimate: 9000}}, 0, 0, 0}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if run, ok := d.awaitRun(id, 3*time.Second); !ok || run.executor != "i-1" {
		return nil, fmt.Errorf("the job did not start on i-1")
	}
	time.Sleep(time.Second)
	if d.trouble {
		e := d.executors[0]
		body := map[string]any{
			"service": serviceName, "address": e.address, "state": "ready", "capacity": e.capacity, "sequence": 1,
			"born": time.Now().UnixMilli(),
		}
		status, err := sendBeat(http.MethodPut, "http://"+e.reports.listener.Addr().String()+"/instances/i-1", body)
		d.record("another writer sends PUT /instances/i-1 %v: %d %v", body, status, err)
	}
	time.Sleep(8 * time.Second)
	return d.overlaps(id), nil
}

// incompleteHeartbeats: another writer sends heartbeats in which fields are missing.
// They name no executor to use.
func incompleteHeartbeats(d *deployment) ([]string, error) {
	sides := []side{
		{"magdalena-a", resources{128000, 524288, 8}, []string{"a", "r1-1"}, false},
		{"magdalena-b", resources{128000, 524288, 8}, []string{"a", "r1-2"}, false},
	}
	if err := d.startAll(2, sides, configuration(7, 8, batchRoute)); err != nil {
		return nil, err
	}
	// Nobody answers at this address.
	silent, err := net.Listen("tcp", d.at(18, 8532))
	if err != nil {
		return nil, err
	}
	defer silent.Close()
	if d.trouble {
		stop := make(chan struct{})
		defer close(stop)
		go d.writeIncomplete(silent.Addr().String(), stop)
		time.Sleep(time.Second)
	}
	id := jobID(1)
	if !d.submit(batchRoute, id, job{"work 1000 ms, then done", []step{{Count: 1, CPU: 11000, Memory: 59000, GPU: 1, Estimate: 1000}}, 0, 0, 0}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	d.record("the traffic ends")
	time.Sleep(finishTime)
	status, state := d.state(d.fronts[0], batchRoute, id)
	d.record("the job is asked for: %d %s", status, state)
	return d.idleFor(id, time.Now().Add(2*idleTime)), nil
}

// writeIncomplete sends such a heartbeat to each agent in turn, about as often as
// an executor would, each with another id.
func (d *deployment) writeIncomplete(address string, stop chan struct{}) {
	for n := 1; ; n++ {
		e := d.executors[n%len(d.executors)]
		id := fmt.Sprintf("i-other%d", n)
		body := map[string]any{
			"service": serviceName, "address": address, "state": "ready", "sequence": 1,
			"capacity": resources{11000, 59000, 1},
		}
		status, _ := sendBeat(http.MethodPut, "http://"+e.reports.listener.Addr().String()+"/instances/"+id, body)
		d.record("another writer sends PUT /instances/%s %v: %d", id, body, status)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatTime / 2):
		}
	}
}

// quarantine: 6 of 200 jobs can never be done. A job whose time comes later finds
// idle executors, and waits.
func quarantine(d *deployment) ([]string, error) {
	sides := []side{
		{"magdalena-a", resources{128000, 524288, 8}, []string{"a", "r1-1"}, false},
		{"magdalena-b", resources{128000, 524288, 8}, []string{"a", "r1-2"}, false},
	}
	if err := d.startAll(2, sides, configuration(7, 8, batchRoute)); err != nil {
		return nil, err
	}
	small := step{Count: 1, CPU: 11000, Memory: 59000, GPU: 1, Estimate: 100}
	due := time.Now().Add(dueTime)
	timed := jobID(1)
	if !d.submit(batchRoute, timed, job{"work 500 ms, then done", []step{small}, 1, due.UnixMilli(), 4500}) {
		return nil, fmt.Errorf("the timed job was not accepted")
	}
	for n := range 193 {
		if !d.submit(batchRoute, jobID(100+n), job{"work 100 ms, then done", []step{small}, 0, 0, 0}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	time.Sleep(time.Second)
	for n, rack := range []string{"r1-1", "r1-1", "r1-1", "r1-2", "r1-2", "r1-2"} {
		bound := small
		bound.Selector = rack
		how := "done"
		if d.trouble {
			how = "failed"
		}
		if !d.submit(batchRoute, jobID(500+n), job{"work 1000 ms, then " + how, []step{bound}, 0, 0, 0}) {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	d.record("the traffic ends")
	time.Sleep(max(finishTime, time.Until(due)))
	d.record("the timed job is due")
	return d.idleFor(timed, time.Now().Add(2*idleTime)), nil
}

// isolation: an executor crashes just after it has begun a task of a job. The others
// have room for the task many times over.
func isolation(d *deployment) ([]string, error) {
	var sides []side
	// One of eight is less than the share of the site's srv_crash, 0.14.
	for i := range 8 {
		zone := fmt.Sprintf("magdalena-%c", 'a'+i%3)
		sides = append(sides, side{zone, resources{128000, 524288, 8}, []string{"a", fmt.Sprintf("r1-%d", i+1)}, true})
	}
	if err := d.startAll(2, sides, configuration(7, 8, batchRoute)); err != nil {
		return nil, err
	}
	lasting := step{Count: len(sides), CPU: 11000, Memory: 59000, GPU: 1, Lasting: true, Apart: 1}
	if !d.submit(batchRoute, jobID(1), job{"work 0 ms, then done", []step{lasting}, 0, 0, 0}) {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	id := jobID(2)
	due := time.Now().Add(finishTime + 2*time.Second)
	small := step{Count: 1, CPU: 11000, Memory: 59000, GPU: 1, Estimate: 3000}
	if !d.submit(batchRoute, id, job{"work 3000 ms, then done", []step{small}, 1, due.UnixMilli(), 4500}) {
		return nil, fmt.Errorf("the timed job was not accepted")
	}
	d.record("the traffic ends")
	run, ok := d.awaitRun(id, time.Until(due)+3*time.Second)
	if !ok {
		return nil, fmt.Errorf("the timed job did not start")
	}
	time.Sleep(300 * time.Millisecond)
	if d.trouble {
		for _, e := range d.executors {
			if e.id == run.executor {
				e.end("crash")
				time.AfterFunc(4500*time.Millisecond, func() { _ = e.start() })
			}
		}
	}
	return d.idleFor(id, time.Now().Add(8*time.Second)), nil
}

// The load of the compaction case: scheduled jobs with as many times as those of the
// site's class yield-map.
const (
	scheduledTimes = 6
	submitGap      = 45 * time.Millisecond
	// trafficTime is how long jobs are handed in, from the script's beginning.
	trafficTime = 105 * time.Second
	// The bounds of the rule Fault: a tenth of the machines, two at least, three times.
	minMachines = 2
	minOwnEnds  = 3
)

// compaction: scheduled jobs are handed in, all of which are done soon. Nothing else
// happens. TROUBLE=0 hands in the same tasks as jobs without times.
func compaction(d *deployment) ([]string, error) {
	sides := []side{
		{"magdalena-a", resources{128000, 524288, 8}, []string{"a", "r1-1"}, true},
		{"magdalena-b", resources{128000, 524288, 8}, []string{"a", "r1-2"}, true},
		{"magdalena-c", resources{128000, 524288, 8}, []string{"a", "r1-3"}, true},
	}
	if err := d.startAll(3, sides, configuration(7, 8, batchRoute)); err != nil {
		return nil, err
	}
	small := step{Count: 1, CPU: 1000, Memory: 1000, Estimate: 100}
	for n := 0; time.Since(d.began) < trafficTime; n++ {
		j := job{"work 100 ms, then done", []step{small}, scheduledTimes, time.Now().UnixMilli(), 3000}
		if !d.trouble {
			j.Steps[0].Count, j.Times, j.First, j.Interval = scheduledTimes, 0, 0, 0
		}
		if !d.submit(batchRoute, jobID(1000+n), j) {
			d.record("job %s was not accepted", jobID(1000+n))
		}
		if ends := d.ownEnds(); len(ends) >= minMachines {
			return []string{fmt.Sprintf("Fault: with no disruption there ended by themselves %v", ends)}, nil
		}
		time.Sleep(submitGap)
	}
	return nil, nil
}

// ownEnds returns the machines on which processes have ended by themselves minOwnEnds
// times.
func (d *deployment) ownEnds() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []string
	for _, p := range d.processes {
		if p.ownEnds >= minOwnEnds {
			found = append(found, fmt.Sprintf("%s %d times", p.name, p.ownEnds))
		}
	}
	return found
}
