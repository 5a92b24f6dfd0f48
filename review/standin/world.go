package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// step and job are what a client submits.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	Memory       int64  `json:"mem-request-mb,omitempty"`
	GPU          int64  `json:"gpu,omitempty"`
	Estimate     int64  `json:"estimated-ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Label        string `json:"node-selector,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
	Checkpoints  bool   `json:"checkpointing,omitempty"`
	LongRunning  bool   `json:"long-running,omitempty"`
}

type job struct {
	Specification string `json:"specification"`
	Steps         []step `json:"steps"`
}

// event is a start or an end of a run on an executor.
type event struct {
	at       time.Time
	kind     string
	executor string
	labels   []string
	task     string
	run      int
}

// world is the stand-in platform with the processes of the system.
type world struct {
	log     *record
	folder  string
	service string
	store   *store
	cloud   string

	executors []*executor
	entries   []*process
	agents    []*process

	mu   sync.Mutex
	jobs map[string]job
	// actual holds how long tasks really take, by job; others take what they declare.
	actual map[string]time.Duration
	// fails holds the number of the run that fails, by task.
	fails  map[string]int
	events []event
	// working counts the members of a gang's run that have begun, by unit and run.
	present map[string]int
	began   map[string]time.Time
}

// process is one process of the system.
type process struct {
	name     string
	role     string
	settings string
	callers  string
	control  string
	command  *exec.Cmd
	done     chan struct{}
}

const (
	couldNotRun = 2
	broken      = 1
	held        = 0
)

var current *world

// exit ends all processes that were started and then this one.
func exit(code int) {
	if current != nil {
		for _, p := range append(append([]*process{}, current.entries...), current.agents...) {
			p.kill()
		}
		_ = os.RemoveAll(current.folder)
	}
	os.Exit(code)
}

func newWorld(log *record) *world {
	folder, err := os.MkdirTemp("", "review")
	check(err)
	w := &world{
		log: log, folder: folder, service: "cosecha", store: newStore(log),
		jobs: map[string]job{}, actual: map[string]time.Duration{}, fails: map[string]int{}, present: map[string]int{}, began: map[string]time.Time{},
	}
	current = w
	w.store.started = time.Now()
	w.cloud = w.serveCloud()
	return w
}

// serveCloud serves the platform's list of machines.
func (w *world) serveCloud() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(rw http.ResponseWriter, _ *http.Request) {
		machines := []map[string]any{}
		for _, e := range w.executors {
			e.mu.Lock()
			state := "up"
			if !e.up {
				state = "down"
			}
			machines = append(machines, map[string]any{
				"machine": "m-" + e.id, "pool": w.service, "state": state, "zone": e.zone,
				"labels": e.labels, "capacity": e.capacity, "id": e.id,
			})
			e.mu.Unlock()
		}
		answer(rw, http.StatusOK, map[string]any{"machines": machines, "next-token": ""})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String()
}

// nextPort is the port that freeAddress tries next. The ports are below those that
// the system gives to outgoing connections.
var nextPort = 20000 + os.Getpid()*397%10000

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	for range 1000 {
		nextPort = 20000 + (nextPort-20000+1)%10000
		address := "127.0.0.1:" + strconv.Itoa(nextPort)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			check(listener.Close())
			return address
		}
	}
	check(fmt.Errorf("no free port was found"))
	return ""
}

var zones = []string{"magdalena-a", "magdalena-b", "magdalena-c"}

// begin starts the entries, the agents and their executors.
func (w *world) begin(entries, agents int, capacity resources) {
	address := w.store.serve()
	for i := range entries {
		p := &process{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), role: "entry", callers: freeAddress()}
		p.settings = w.writeSettings(p.name, fmt.Sprintf(`id: %q
place:
  region: "magdalena"
  zone: %q
callers: %q
ready: %q
metrics: %q
relay: %q
inventory: %q
store: %q
memory: 284
drain: 6s
`, p.name, zones[i%3], p.callers, freeAddress(), freeAddress(), freeAddress(), w.cloud, address))
		w.entries = append(w.entries, p)
		w.spawn(p)
	}
	for i := range agents {
		p := &process{name: fmt.Sprintf("side-%s-%d", zones[i%3], i/3+1), role: "agent", control: freeAddress()}
		p.settings = w.writeSettings(p.name, fmt.Sprintf(`id: %q
place:
  region: "magdalena"
  zone: %q
reports: %q
service: %q
metrics: %q
store: %q
memory: 152
lease: 6000ms
interval: 1500ms
`, p.name, zones[i%3], p.control, w.service, freeAddress(), address))
		w.agents = append(w.agents, p)
		w.spawn(p)
	}
	time.Sleep(300 * time.Millisecond)
	for i, p := range w.agents {
		e := newExecutor(w, fmt.Sprintf("i-%08x", i+1), zones[i%3], p.control, "r"+strconv.Itoa(i/3), capacity)
		w.executors = append(w.executors, e)
	}
}

func (w *world) writeSettings(name, content string) string {
	path := filepath.Join(w.folder, name+".yaml")
	check(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// spawn starts a process with the command of the deploy file.
func (w *world) spawn(p *process) {
	p.command = exec.Command("target/sesamestack", "hosted", p.role)
	p.command.Env = append(os.Environ(), "SESAMESTACK_CONFIG="+p.settings)
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	logs, err := os.OpenFile(filepath.Join(logFolder(), p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	p.command.Stdout = logs
	p.command.Stderr = logs
	check(p.command.Start())
	p.done = make(chan struct{})
	command, done := p.command, p.done
	go func() {
		_ = command.Wait()
		_ = logs.Close()
		close(done)
	}()
	w.log.add(p.name, "is started (%s)", p.role)
}

// logFolder is where the processes' own logs go: the folder in REVIEW_LOGS, or the
// temporary folder.
func logFolder() string {
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		return folder
	}
	return current.folder
}

func (p *process) kill() {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Kill()
		<-p.done
	}
}

// configure is the operator's write of a configuration.
func (w *world) configure(version int, keys map[string][]string, guaranteed map[string]int) {
	tenants := []map[string]any{}
	for name, list := range keys {
		tenants = append(tenants, map[string]any{
			"name": name, "api-keys": list, "guaranteed-gpus": map[string]any{"gpu": guaranteed[name]},
		})
	}
	routes := []map[string]any{}
	for i, name := range []string{"urgent", "normal", "late"} {
		routes = append(routes, map[string]any{
			"name": name, "host": "host.example", "path-prefix": "/" + name + "/", "timeout-ms": 3000,
			"target-latency-ms": 250, "priority": i, "service": w.service, "max-attempts": 3, "stretch": 3.0,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": w.service, "enforces-capacity": false}},
		"limits":  map[string]any{"max-body-bytes": 262144, "max-header-bytes": 16384, "header-timeout-ms": 3000, "idle-timeout-ms": 30000},
		"tenants": tenants,
	})
	check(err)
	w.store.write("op", "config", value)
	w.log.add("operator", "configuration %d is acknowledged: keys %v, guaranteed GPUs %v", version, keys, guaranteed)
}

// client is one client with connections of its own to one entry.
type client struct {
	world *world
	entry *process
	key   string
	http  http.Client
}

func (w *world) client(entry *process, key string) *client {
	return &client{world: w, entry: entry, key: key, http: http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}}
}

// send makes a request and returns the status, 0 without an answer, and the body.
func (c *client) send(method, path string, body any) (int, string) {
	var reader io.Reader = http.NoBody
	if body != nil {
		encoded, err := json.Marshal(body)
		check(err)
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+c.entry.callers+path, reader)
	check(err)
	request.Host = "host.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("X-Time-Remaining-Ms", "3000")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(content))
}

// submit hands a job in, up to five times, until it is accepted, and returns when
// that was.
func (c *client) submit(queue, id string, j job) (time.Time, bool) {
	c.world.mu.Lock()
	c.world.jobs[id] = j
	c.world.mu.Unlock()
	for range 5 {
		status, body := c.send(http.MethodPost, "/"+queue+"/"+id, j)
		c.world.log.add("client", "POST /%s/%s to %s: %d %s", queue, id, c.entry.name, status, body)
		if status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, false
}

// state asks for the state of a job.
func (c *client) state(queue, id string) string {
	status, body := c.send(http.MethodGet, "/"+queue+"/"+id, nil)
	return strconv.Itoa(status) + " " + body
}

func taskParts(task string) (string, int, int) {
	parts := strings.Split(task, ".")
	number, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	return parts[0], number, index
}

func (w *world) stepOf(task string) step {
	id, number, _ := taskParts(task)
	return w.jobs[id].Steps[number]
}

// duration returns how long the task really takes. The caller holds the lock.
func (w *world) duration(task string) time.Duration {
	id, _, _ := taskParts(task)
	if actual, ok := w.actual[id]; ok {
		return actual
	}
	return time.Duration(w.stepOf(task).Estimate) * time.Millisecond
}

func gangKey(r *run) string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + "/" + strconv.Itoa(r.number)
}

func (w *world) noteStart(e *executor, r *run, specification string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{at: time.Now(), kind: "start", executor: e.id, labels: e.labels, task: r.task, run: r.number})
	id, _, index := taskParts(r.task)
	s := w.stepOf(r.task)
	if !s.Gang || index == 0 {
		w.log.add(e.id, "starts %s run %d (%d bytes of specification)", r.task, r.number, len(specification))
	}
	if specification != w.jobs[id].Specification {
		w.log.add(e.id, "was given another specification for %s", r.task)
	}
	if !s.Gang {
		r.working = time.Now()
		return
	}
	w.present[gangKey(r)]++
	if w.present[gangKey(r)] == s.Count {
		w.began[gangKey(r)] = time.Now()
	}
}

func (w *world) noteEnd(e *executor, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{at: time.Now(), kind: how, executor: e.id, task: r.task, run: r.number})
	_, _, index := taskParts(r.task)
	if !w.stepOf(r.task).Gang || index == 0 {
		w.log.add(e.id, "%s run %d ends: %s", r.task, r.number, how)
	}
}

func (w *world) noteAck(e *executor, x endedRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{at: time.Now(), kind: "ack " + x.how, executor: e.id, task: x.task, run: x.run})
}

// isDone reports whether the run has worked for the time of its task.
func (w *world) isDone(r *run, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stepOf(r.task)
	if s.Gang && r.working.IsZero() {
		r.working = w.began[gangKey(r)]
	}
	return !s.LongRunning && !r.working.IsZero() && now.Sub(r.working) > w.duration(r.task)
}

func (w *world) percent(r *run) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.working.IsZero() {
		return 0
	}
	if w.stepOf(r.task).LongRunning {
		return 100
	}
	return int(min(99, 100*time.Since(r.working)/max(1, w.duration(r.task))))
}

// starts returns the starts of a job's tasks so far.
func (w *world) starts(id string) []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []event
	for _, e := range w.events {
		if e.kind == "start" && strings.HasPrefix(e.task, id+".") {
			all = append(all, e)
		}
	}
	return all
}

// await waits until the condition holds, and reports whether it did in time.
func await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
