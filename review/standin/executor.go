package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the users' settings.
const (
	holdMax     = 6 * time.Second
	stopTimeout = 900 * time.Millisecond
	gangTimeout = 3 * time.Second
	heartbeat   = 1500 * time.Millisecond
)

type resources struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem-request-mb"`
	GPU    int64 `json:"gpu"`
}

// run is a task that an executor has started.
type run struct {
	task       string
	number     int
	checkpoint string
	started    time.Time
	// working is when it began to work; a member of a gang waits for the others.
	working time.Time
	// stopAt is when a stop takes effect; zero without one.
	stopAt time.Time
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

// executor is a stand-in of one executor. It keeps its address over its lives.
type executor struct {
	world *world
	id    string
	zone  string
	// control is the address of the agent on its machine.
	control string

	mu       sync.Mutex
	address  string
	labels   []string
	capacity resources
	server   *http.Server
	up       bool
	draining bool
	born     time.Time
	sequence int64
	fence    int64
	lease    time.Time
	running  map[string]*run
	ended    []endedRun
	ends     int64
	highest  map[string]int
	life     chan struct{}
	// connections are those that agents have open to this life.
	connections *connections
}

// silence makes the open connections to the executor silent for good.
func (e *executor) silence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connections.silence()
}

func newExecutor(w *world, id, zone, control, rack string, capacity resources) *executor {
	listener, err := net.Listen("tcp", freeAddress())
	check(err)
	e := &executor{
		world:    w,
		id:       id,
		zone:     zone,
		control:  control,
		address:  listener.Addr().String(),
		labels:   []string{"a", rack},
		capacity: capacity,
	}
	e.begin(listener)
	return e
}

// begin starts a life, which holds and knows nothing of the one before.
func (e *executor) begin(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = true
	e.draining = false
	e.born = time.Now()
	e.sequence = 0
	e.fence = 0
	e.lease = time.Time{}
	e.running = map[string]*run{}
	e.ended = nil
	e.ends = 0
	e.highest = map[string]int{}
	e.life = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.handle(e.start))
	mux.HandleFunc("POST /run-stop", e.handle(e.stop))
	mux.HandleFunc("POST /hold", e.handle(e.hold))
	e.server = &http.Server{Handler: mux}
	server, life := e.server, e.life
	e.connections = newConnections()
	wrapped := &silentListener{Listener: listener, connections: e.connections}
	go func() { _ = server.Serve(wrapped) }()
	go e.beat(life)
	go e.tick(life)
	e.world.log.add(e.id, "begins a life at %d with labels %s", e.born.UnixMilli(), strings.Join(e.labels, ","))
}

// crash ends the life at once; everything that runs ends with it.
func (e *executor) crash() {
	e.mu.Lock()
	e.up = false
	for _, r := range e.running {
		e.world.noteEnd(e, r, "crashed")
	}
	e.running = map[string]*run{}
	close(e.life)
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.world.log.add(e.id, "crashes")
}

// restart begins another life at the same address, under the same ID, as an
// executor of the given kind.
func (e *executor) restart(kind string) {
	listener, err := net.Listen("tcp", e.address)
	check(err)
	e.mu.Lock()
	e.labels = []string{kind, e.labels[1]}
	e.mu.Unlock()
	e.begin(listener)
}

// beat sends heartbeats to the agent until the life ends.
func (e *executor) beat(life chan struct{}) {
	for {
		e.sendBeat()
		select {
		case <-life:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *executor) sendBeat() {
	e.mu.Lock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": e.world.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8,
		"state": state, "cold-remaining-ms": 0, "capacity": e.capacity, "labels": e.labels,
		"clock-ms": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	e.mu.Unlock()
	check(err)
	request, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/instances/"+e.id, bytes.NewReader(body))
	check(err)
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// clock returns the executor's own steady clock in milliseconds.
func (e *executor) clock() int64 {
	return time.Since(e.born).Milliseconds()
}

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

func (e *executor) handle(serve func(call) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
			answer(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		var c call
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		status, body := serve(c)
		e.mu.Lock()
		body["clock-ms"] = e.clock()
		body["born"] = e.born.UnixMilli()
		e.mu.Unlock()
		answer(w, status, body)
	}
}

// admit checks the fencing token and takes over the deadline of a call. The caller
// holds the lock.
func (e *executor) admit(c call) bool {
	if c.Fence < e.fence {
		return false
	}
	e.fence = c.Fence
	if c.Deadline > 0 {
		until := e.born.Add(time.Duration(c.Deadline) * time.Millisecond)
		if limit := time.Now().Add(holdMax); until.After(limit) {
			until = limit
		}
		if until.After(e.lease) {
			e.lease = until
		}
	}
	return true
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (e *executor) start(c call) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(c) {
		return refuse("fence")
	}
	if c.Run <= e.highest[c.Task] {
		return refuse("old")
	}
	if r, ok := e.running[c.Task]; ok {
		if r.number == c.Run {
			return http.StatusOK, map[string]any{}
		}
		return refuse("old")
	}
	if time.Now().After(e.born.Add(time.Duration(c.Deadline) * time.Millisecond)) {
		return refuse("late")
	}
	r := &run{task: c.Task, number: c.Run, checkpoint: c.Checkpoint, started: time.Now()}
	e.running[c.Task] = r
	e.world.noteStart(e, r, c.Specification)
	return http.StatusOK, map[string]any{}
}

func (e *executor) stop(c call) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(c) {
		return refuse("fence")
	}
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	if r, ok := e.running[c.Task]; ok && r.number <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTimeout * 8 / 10)
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) hold(c call) (int, map[string]any) {
	until := time.Now().Add(time.Duration(c.Wait) * time.Millisecond)
	for {
		e.mu.Lock()
		if !e.admit(c) {
			e.mu.Unlock()
			return refuse("fence")
		}
		for len(e.ended) > 0 && e.ended[0].number <= c.AckCursor {
			e.world.noteAck(e, e.ended[0])
			e.ended = e.ended[1:]
		}
		if len(e.ended) > 0 || !time.Now().Before(until) || !e.up {
			break
		}
		c.Deadline = 0
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	defer e.mu.Unlock()
	running := [][]any{}
	for _, r := range e.running {
		running = append(running, []any{r.task, r.number, r.checkpoint, e.world.percent(r)})
	}
	ended := [][]any{}
	for _, x := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// tick ends what has worked for its time, was stopped, or has lost its lease.
func (e *executor) tick(life chan struct{}) {
	for {
		select {
		case <-life:
			return
		case <-time.After(5 * time.Millisecond):
		}
		e.mu.Lock()
		now := time.Now()
		for _, r := range e.runsInOrder() {
			switch {
			case now.After(e.lease):
				e.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				e.end(r, "stopped")
			case e.world.hasFailed(r, now):
				e.end(r, "failed")
			case e.world.isDone(r, now):
				e.end(r, "done")
			case r.working.IsZero() && now.Sub(r.started) > gangTimeout:
				e.end(r, "alone")
			}
		}
		e.mu.Unlock()
	}
}

func (e *executor) runsInOrder() []*run {
	all := make([]*run, 0, len(e.running))
	for _, r := range e.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return all
}

// end ends a run and lists its end. The caller holds the lock.
func (e *executor) end(r *run, how string) {
	delete(e.running, r.task)
	e.ends++
	e.ended = append(e.ended, endedRun{number: e.ends, task: r.task, run: r.number, how: how})
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.world.noteEnd(e, r, how)
}

func (e *executor) String() string {
	return e.id + " born " + strconv.FormatInt(e.born.UnixMilli(), 10)
}
