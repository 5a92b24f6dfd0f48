package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatTime = 1500 * time.Millisecond
	holdMax       = 6000 // milliseconds
	stopTime      = 300 * time.Millisecond
	maxListed     = 500
)

type resources struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem-request-mb"`
	GPU    int64 `json:"gpu"`
}

// executor is a place where one life of an executor after the other runs.
type executor struct {
	d        *deployment
	id       string
	machine  string
	zone     string
	capacity resources
	labels   []string
	// listen is where a life listens, and address where it says that it does;
	// between the two is the link app. reports is the link to the agent.
	listen  string
	address string
	app     *link
	reports *link

	mu   sync.Mutex
	life *life
}

// life is one run of the executor's program.
type life struct {
	e     *executor
	began time.Time
	born  int64
	// draining says that it has said that it leaves.
	draining bool
	leaves   time.Time
	sequence int64
	// acknowledged is when a heartbeat was last acknowledged.
	acknowledged time.Time
	server       *http.Server
	// done is closed when the life is over.
	done chan struct{}

	mu       sync.Mutex
	over     bool
	fence    int64
	leaseEnd int64
	running  map[string]*taskRun
	ended    [][]any
	last     int64
	highest  map[string]int
	changed  chan struct{}
}

// taskRun is one run of a task, as the executor saw it.
type taskRun struct {
	task     string
	run      int
	executor string
	born     int64
	spec     string
	began    time.Time
	length   time.Duration
	how      string
	// end is zero while it runs, and stopBy is when a stop ends it.
	end    time.Time
	endHow string
	stopBy time.Time
}

// start begins a new life of the executor.
func (e *executor) start() error {
	l := &life{
		e:       e,
		began:   time.Now(),
		born:    time.Now().UnixMilli(),
		done:    make(chan struct{}),
		running: map[string]*taskRun{},
		highest: map[string]int{},
		changed: make(chan struct{}),
	}
	listener, err := listenSoon(e.listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", l.guarded(l.serveStart))
	mux.HandleFunc("POST /run-stop", l.guarded(l.serveStop))
	mux.HandleFunc("POST /hold", l.guarded(l.serveHold))
	l.server = &http.Server{Handler: mux}
	e.mu.Lock()
	e.life = l
	e.mu.Unlock()
	e.d.record("executor %s begins a life, born %d", e.id, l.born)
	go func() { _ = l.server.Serve(listener) }()
	go l.tick()
	go l.beat()
	return nil
}

// listenSoon listens at an address that an earlier life may just have left.
func listenSoon(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// end ends the present life: all that runs in it ends with it.
func (e *executor) end(why string) {
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	l.over = true
	for _, r := range l.running {
		l.finishLocked(r, "ended with its executor", time.Now())
	}
	l.mu.Unlock()
	close(l.done)
	_ = l.server.Close()
	e.d.record("executor %s ends (%s), born %d", e.id, why, l.born)
}

// current returns the present life, or nil.
func (e *executor) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

func (l *life) clock() int64 {
	return time.Since(l.began).Milliseconds()
}

type call struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline-ms"`
	Fence         int64  `json:"fencing-token"`
	Cursor        int64  `json:"ack-cursor"`
	Wait          int64  `json:"wait-ms"`
}

// guarded decodes a call, and refuses it if it is meant for another executor or
// comes from an earlier agent.
func (l *life) guarded(serve func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c call
		if named := r.Header.Get("X-Expected-Instance"); named != "" && named != l.e.id {
			answer(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		l.mu.Lock()
		if c.Fence < l.fence {
			l.mu.Unlock()
			l.refuse(w, "fence")
			return
		}
		l.fence = c.Fence
		if c.Deadline > 0 {
			l.leaseEnd = max(l.leaseEnd, min(c.Deadline, l.clock()+holdMax))
		}
		l.mu.Unlock()
		serve(w, r, c)
	}
}

func (l *life) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock-ms": l.clock(), "born": l.born, "reason": reason})
}

func (l *life) accept(w http.ResponseWriter) {
	answer(w, http.StatusOK, map[string]any{"clock-ms": l.clock(), "born": l.born})
}

func (l *life) serveStart(w http.ResponseWriter, _ *http.Request, c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.running[c.Task]; ok && r.run == c.Run {
		l.accept(w)
		return
	}
	if l.over || c.Run <= l.highest[c.Task] {
		l.refuse(w, "old")
		return
	}
	if c.Deadline <= l.clock() {
		l.refuse(w, "late")
		return
	}
	r := &taskRun{task: c.Task, run: c.Run, executor: l.e.id, born: l.born, spec: c.Specification, began: time.Now(), how: "done"}
	var ms int
	if _, err := fmt.Sscanf(c.Specification, "work %d ms, then %s", &ms, &r.how); err != nil {
		ms = 100
	}
	r.length = time.Duration(ms) * time.Millisecond
	l.running[c.Task] = r
	l.e.d.addRun(r)
	l.e.d.record("executor %s starts %s run %d (%s)", l.e.id, c.Task, c.Run, c.Specification)
	l.accept(w)
}

func (l *life) serveStop(w http.ResponseWriter, _ *http.Request, c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	if r, ok := l.running[c.Task]; ok && r.run <= c.Run && r.stopBy.IsZero() {
		r.stopBy = time.Now().Add(stopTime)
		l.e.d.record("executor %s is told to stop %s run %d", l.e.id, c.Task, r.run)
	}
	l.accept(w)
}

func (l *life) serveHold(w http.ResponseWriter, r *http.Request, c call) {
	timeout := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for {
		l.mu.Lock()
		kept := l.ended[:0:0]
		for _, e := range l.ended {
			if e[0].(int64) > c.Cursor {
				kept = append(kept, e)
			}
		}
		l.ended = kept
		changed := l.changed
		if len(l.ended) > 0 || c.Wait == 0 {
			l.listLocked(w)
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			c.Wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// listLocked answers with what runs and what has ended.
func (l *life) listLocked(w http.ResponseWriter) {
	running := [][]any{}
	for _, r := range l.running {
		percent := min(99, 100*time.Since(r.began)/max(r.length, 1))
		running = append(running, []any{r.task, r.run, "", int(percent), 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	ended := l.ended[:min(maxListed, len(l.ended))]
	if ended == nil {
		ended = [][]any{}
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": l.clock(), "born": l.born, "running": running, "ended": ended})
}

// finishLocked ends a run.
func (l *life) finishLocked(r *taskRun, how string, at time.Time) {
	delete(l.running, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.run)
	l.e.d.endRun(r, how, at)
	if !l.over {
		l.last++
		l.ended = append(l.ended, []any{l.last, r.task, r.run, how, ""})
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// tick ends what is done, stopped, or without a lease.
func (l *life) tick() {
	for {
		select {
		case <-l.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		l.mu.Lock()
		now := time.Now()
		for _, r := range l.running {
			switch {
			case l.clock() > l.leaseEnd:
				l.finishLocked(r, "lapsed", now)
			case !r.stopBy.IsZero() && now.After(r.stopBy):
				l.finishLocked(r, "stopped", now)
			case r.length > 0 && now.Sub(r.began) >= r.length:
				l.finishLocked(r, r.how, now)
			}
		}
		l.mu.Unlock()
	}
}

// beat reports the life to its agent until it is over.
func (l *life) beat() {
	for {
		l.report()
		select {
		case <-l.done:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// report sends one heartbeat, and returns whether it was acknowledged in time.
func (l *life) report() bool {
	l.mu.Lock()
	l.sequence++
	body := map[string]any{
		"service": serviceName, "address": l.e.address, "zone": l.e.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold-remaining-ms": 0, "capacity": l.e.capacity, "labels": l.e.labels,
		"clock-ms": l.clock(), "sequence": l.sequence, "born": l.born,
	}
	if l.draining {
		body["state"] = "draining"
		body["remaining-ms"] = max(0, time.Until(l.leaves).Milliseconds())
	}
	l.mu.Unlock()
	status, _ := sendBeat(http.MethodPut, "http://"+l.e.reports.listener.Addr().String()+"/instances/"+l.e.id, body)
	if status/100 != 2 {
		return false
	}
	l.mu.Lock()
	l.acknowledged = time.Now()
	l.mu.Unlock()
	return true
}

// awaitAcknowledged returns once a heartbeat of the life was acknowledged.
func (l *life) awaitAcknowledged(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		ok := !l.acknowledged.IsZero()
		l.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// sendBeat sends a heartbeat or a farewell to an agent, each on a connection of its
// own, and waits for a second.
func sendBeat(method, url string, body any) (int, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// drain says that the life leaves, until that is acknowledged.
func (l *life) drain(stays time.Duration) bool {
	l.mu.Lock()
	l.draining = true
	l.leaves = time.Now().Add(stays)
	l.mu.Unlock()
	for range 5 {
		if l.report() {
			l.e.d.record("executor %s says that it leaves, acknowledged", l.e.id)
			return true
		}
	}
	return false
}

// farewell sends DELETE over the link and closes the connection at once, as a
// program does that ends. The bytes are on their way then.
func (l *life) farewell() error {
	connection, err := net.Dial("tcp", l.e.reports.listener.Addr().String())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(connection, "DELETE /instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		l.e.id, strings.Split(l.e.reports.target, ":")[0])
	l.e.d.record("executor %s sends DELETE /instances/%s, born %d", l.e.id, l.e.id, l.born)
	time.AfterFunc(50*time.Millisecond, func() { connection.Close() })
	return err
}
