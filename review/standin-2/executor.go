package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of executors, as the settings of a small deployment state them.
const (
	beatInterval  = 1500 * time.Millisecond
	holdMax       = 6 * time.Second
	stopTime      = 300 * time.Millisecond
	gangTimeout   = 3 * time.Second
	executorTick  = 20 * time.Millisecond
	maxListedEnds = 500
)

// behaviour says what a task does: how long it works, and with which run and
// after how much work it fails, if at all. A task that lasts has no end.
type behaviour struct {
	works time.Duration
	lasts bool
	gang  int
	fails func(task string, run int) (after time.Duration, fails bool)
	needs amount
}

// amount is an amount of each resource.
type amount struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem-request-mb"`
	GPU int64 `json:"gpu"`
}

// taskRun is a run of a task on an executor.
type taskRun struct {
	task    string
	run     int
	started time.Time
	// working is when it began to work, which for a member of a gang is when all
	// others are there.
	working time.Time
	stopAt  time.Time
	does    behaviour
}

// taskEnd is an end that was not acknowledged.
type taskEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// executor is a stand-in for one life of an executor.
type executor struct {
	w        *world
	id       string
	machine  string
	zone     string
	rack     string
	kind     string
	address  string
	control  string
	capacity amount
	born     int64
	started  time.Time

	mu       sync.Mutex
	fence    int64
	leaseEnd time.Time
	running  map[string]*taskRun
	ended    []taskEnd
	number   int64
	highest  map[string]int
	changed  chan struct{}
	// rejects is true while the executor answers starts with 503.
	rejects bool
	// asleepAt is when the executor's machine was suspended, zero while it is not,
	// and asleep for how long it was in all before. Its steady clock doesn't count
	// that time.
	asleepAt time.Time
	asleep   time.Duration
}

func newExecutor(w *world, id, zone, rack, kind string, capacity amount) *executor {
	return &executor{
		w:        w,
		id:       id,
		machine:  "m-" + id,
		zone:     zone,
		rack:     rack,
		kind:     kind,
		capacity: capacity,
		born:     time.Now().UnixMilli(),
		started:  time.Now(),
		running:  map[string]*taskRun{},
		highest:  map[string]int{},
		changed:  make(chan struct{}),
	}
}

// now returns the time on the executor's steady clock; the caller holds the lock.
func (e *executor) now() time.Time {
	if !e.asleepAt.IsZero() {
		return e.asleepAt.Add(-e.asleep)
	}
	return time.Now().Add(-e.asleep)
}

// ticks returns the executor's clock in milliseconds; the caller holds the lock.
func (e *executor) ticks() int64 {
	return e.now().Sub(e.started).Milliseconds() + 1
}

// clock returns what ticks does.
func (e *executor) clock() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ticks()
}

// suspend suspends the executor's machine, or wakes it.
func (e *executor) suspend(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if on {
		e.asleepAt = time.Now()
	} else {
		e.asleep += time.Since(e.asleepAt)
		e.asleepAt = time.Time{}
	}
	e.w.record("the machine of executor %s is suspended: %v", e.id, on)
}

// awaitAwake waits while the executor's machine is suspended.
func (e *executor) awaitAwake() {
	for {
		e.mu.Lock()
		awake := e.asleepAt.IsZero()
		e.mu.Unlock()
		if awake {
			return
		}
		time.Sleep(executorTick)
	}
}

// call is the body of any call to an executor.
type call struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline-ms"`
	Fence         int64  `json:"fencing-token"`
	Checkpoint    string `json:"checkpoint"`
	AckCursor     int64  `json:"ack-cursor"`
	Wait          int64  `json:"wait-ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if named := r.Header.Get("X-Expected-Instance"); named != "" && named != e.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clock-ms": e.clock(), "born": e.born})
		return
	}
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		reply(w, http.StatusBadRequest, map[string]any{"clock-ms": e.clock(), "born": e.born})
		return
	}
	e.awaitAwake()
	e.mu.Lock()
	if c.Fence < e.fence {
		e.mu.Unlock()
		e.refuse(w, "fence")
		return
	}
	e.fence = c.Fence
	switch r.URL.Path {
	case "/run-start":
		status, reason := e.start(c)
		e.mu.Unlock()
		if status == http.StatusOK {
			reply(w, status, map[string]any{"clock-ms": e.clock(), "born": e.born})
			return
		}
		if status == http.StatusServiceUnavailable {
			reply(w, status, map[string]any{"clock-ms": e.clock(), "born": e.born})
			return
		}
		e.refuse(w, reason)
	case "/run-stop":
		e.stop(c)
		e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"clock-ms": e.clock(), "born": e.born})
	case "/hold":
		e.extend(c.Deadline)
		for len(e.ended) > 0 && e.ended[0].number <= c.AckCursor {
			e.ended = e.ended[1:]
		}
		e.awaitEnd(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
		body := e.listing()
		e.mu.Unlock()
		reply(w, http.StatusOK, body)
	default:
		e.mu.Unlock()
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock-ms": e.clock(), "born": e.born, "reason": reason})
}

// extend extends the lease; the caller holds the lock.
func (e *executor) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	end := e.started.Add(time.Duration(deadline) * time.Millisecond)
	if most := e.now().Add(holdMax); end.After(most) {
		end = most
	}
	if end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

// start starts a run; the caller holds the lock.
func (e *executor) start(c call) (int, string) {
	if e.rejects {
		e.w.record("executor %s answers 503 to the start of %s run %d", e.id, c.Task, c.Run)
		return http.StatusServiceUnavailable, ""
	}
	e.extend(c.Deadline)
	if c.Run <= e.highest[c.Task] {
		return http.StatusConflict, "old"
	}
	if r, ok := e.running[c.Task]; ok && r.run == c.Run {
		return http.StatusOK, ""
	}
	if c.Deadline <= e.ticks() {
		return http.StatusConflict, "late"
	}
	now := e.now()
	r := &taskRun{task: c.Task, run: c.Run, started: now, does: e.w.behaviourOf(c.Task)}
	if r.does.gang == 0 {
		r.working = now
	}
	e.running[c.Task] = r
	e.w.started(e, r)
	return http.StatusOK, ""
}

// stop ends a run after stopTime; the caller holds the lock.
func (e *executor) stop(c call) {
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	if r, ok := e.running[c.Task]; ok && r.run <= c.Run && r.stopAt.IsZero() {
		r.stopAt = e.now().Add(stopTime)
		e.w.record("executor %s is told to stop %s run %d", e.id, c.Task, c.Run)
	}
}

// awaitEnd waits for an end; the caller holds the lock, which is released
// meanwhile.
func (e *executor) awaitEnd(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(e.ended) == 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
			e.mu.Lock()
		case <-timer.C:
			e.mu.Lock()
			return
		}
	}
}

// listing returns the lists of runs; the caller holds the lock.
func (e *executor) listing() map[string]any {
	running := [][]any{}
	for _, r := range e.running {
		running = append(running, []any{r.task, r.run, "", r.percent(e.now()), 0})
	}
	ended := [][]any{}
	for _, end := range e.ended[:min(len(e.ended), maxListedEnds)] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, ""})
	}
	return map[string]any{"clock-ms": e.ticks(), "born": e.born, "running": running, "ended": ended}
}

// percent returns how much of the work is done.
func (r *taskRun) percent(now time.Time) int {
	if r.working.IsZero() {
		return 0
	}
	if r.does.lasts {
		return 100
	}
	return int(min(99, 100*now.Sub(r.working)/max(1, r.does.works)))
}

// advance ends the runs that are due.
func (e *executor) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.asleepAt.IsZero() {
		return
	}
	now := e.now()
	for _, r := range e.running {
		switch {
		case now.After(e.leaseEnd):
			e.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.end(r, "stopped")
		case r.working.IsZero():
			if now.Sub(r.started) > gangTimeout {
				e.end(r, "alone")
			}
		default:
			if r.does.fails != nil {
				if after, fails := r.does.fails(r.task, r.run); fails && now.Sub(r.working) >= after {
					e.end(r, "failed")
					continue
				}
			}
			if !r.does.lasts && now.Sub(r.working) >= r.does.works {
				e.end(r, "done")
			}
		}
	}
}

// end ends a run; the caller holds the lock.
func (e *executor) end(r *taskRun, how string) {
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.number++
	e.ended = append(e.ended, taskEnd{number: e.number, task: r.task, run: r.run, how: how})
	close(e.changed)
	e.changed = make(chan struct{})
	e.w.ended(e, r, how)
}

// used returns what the running tasks take; the caller holds the lock.
func (e *executor) used() amount {
	var sum amount
	for _, r := range e.running {
		sum.CPU += r.does.needs.CPU
		sum.Mem += r.does.needs.Mem
		sum.GPU += r.does.needs.GPU
	}
	return sum
}

// run advances the executor and sends heartbeats until the world ends.
func (e *executor) run() {
	ticks := time.NewTicker(executorTick)
	defer ticks.Stop()
	var beat time.Time
	for sequence := 1; ; {
		select {
		case <-ticks.C:
			e.advance()
		case <-e.w.over:
			return
		}
		e.mu.Lock()
		awake := e.asleepAt.IsZero()
		e.mu.Unlock()
		if awake && time.Since(beat) >= beatInterval {
			beat = time.Now()
			go e.beat(sequence)
			sequence++
		}
	}
}

// beat sends one heartbeat.
func (e *executor) beat(sequence int) {
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": e.capacity, "labels": []string{e.kind, e.rack}, "clock-ms": e.clock(),
		"sequence": sequence, "born": e.born,
	})
	if err != nil {
		panic(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// jobOf returns the job's ID from a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// stepOf returns the number of the step in a task's name.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	var n int
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &n)
	}
	return n
}
