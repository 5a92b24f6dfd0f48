package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the day's configuration.
const (
	serviceName = "cosecha"
	hostName    = "mill.example"
	apiKey      = "key-of-the-crews"
	tenantName  = "crews"
)

// world is a small deployment: the stand-ins of the platform and the project's own
// processes.
type world struct {
	root   string
	folder string
	out    *os.File
	began  time.Time
	over   chan struct{}
	ending sync.Once
	store  *store
	// network is the beginning of the loopback addresses of this world.
	network   string
	storeAt   string
	cloudAt   string
	ports     []int
	machines  int
	processes []*process
	executors []*executor

	mu         sync.Mutex
	behaviours map[string][]behaviour
	starts     map[string][]start
	lastEnds   map[string]time.Time
}

// start is a start that an executor has seen.
type start struct {
	task string
	run  int
	at   time.Time
	on   *executor
}

// process is one process of the project, which the platform starts again when it
// ends.
type process struct {
	w        *world
	name     string
	role     string
	settings string
	env      []string
	memoryMB int64
	front    string
	ready    string

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	starts  int
	// killed counts the ends by the platform because of memory, and exits the
	// other ends that the platform did not cause.
	killed int
	exits  int
	peakMB int64
}

func newWorld(folder string) (*world, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		root:       root,
		folder:     temporary,
		out:        out,
		began:      time.Now(),
		over:       make(chan struct{}),
		store:      newStore(),
		network:    fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250)),
		behaviours: map[string][]behaviour{},
		starts:     map[string][]start{},
		lastEnds:   map[string]time.Time{},
	}
	for range 4 {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		w.ports = append(w.ports, port)
	}
	if w.storeAt, err = w.serve(w.network+"250", w.store); err != nil {
		return nil, err
	}
	w.cloudAt, err = w.serve(w.network+"251", http.HandlerFunc(w.listMachines))
	return w, err
}

// freePort returns a port that nobody uses now.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// serve serves the handler at a free port of the address.
func (w *world) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() {
		server := http.Server{Handler: h}
		_ = server.Serve(l)
	}()
	return l.Addr().String(), nil
}

// record writes a line to record.txt, with the seconds since the start.
func (w *world) record(format string, values ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.out.WriteString(line)
}

// listMachines answers the call for the platform's list of machines.
func (w *world) listMachines(rw http.ResponseWriter, _ *http.Request) {
	time.Sleep(storeLatency)
	all := []map[string]any{}
	for _, e := range w.executors {
		all = append(all, map[string]any{
			"machine": e.machine, "pool": serviceName, "state": "up", "zone": e.zone,
			"labels": []string{e.kind, e.rack}, "capacity": e.capacity, "id": e.id,
		})
	}
	reply(rw, http.StatusOK, map[string]any{"machines": all, "next-token": nil})
}

// placeholder is a value in a template of the deploy file.
var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// render fills in a template as the platform does.
func render(template string, values map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		m := placeholder.FindStringSubmatch(found)
		value, ok := values[m[1]]
		if !ok {
			return ""
		}
		if m[2] != "" {
			encoded, err := json.Marshal(value)
			if err != nil {
				panic(err)
			}
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

// add starts a process of the role on a machine of its own, whose calls to the store
// go to the address. service is empty for an entry.
func (w *world) add(role, zone, storeAt string, memoryMB int64) (*process, error) {
	return w.addWith(role, zone, storeAt, memoryMB, func(text string) string { return text })
}

// addWith is add with a change of the settings.
func (w *world) addWith(role, zone, storeAt string, memoryMB int64, change func(string) string) (*process, error) {
	w.machines++
	ip := w.network + strconv.Itoa(w.machines)
	at := func(i int) string { return ip + ":" + strconv.Itoa(w.ports[i]) }
	name := fmt.Sprintf("%s-%s-%d", role, zone, w.machines)
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", role+".yaml"))
	if err != nil {
		return nil, err
	}
	text := render(string(template), map[string]any{
		"node-name": name, "region": "magdalena", "zone": zone, "ip-address": ip, "service": serviceName,
		"listen-addresses.front": at(0), "listen-addresses.ready": at(1), "listen-addresses.control": at(2),
		"internal-port-range.0": w.ports[3], "cloud-api.address": w.cloudAt, "platform.address": storeAt,
		"limits.memory-mb": memoryMB, "bounds.grace-s": 6, "bounds.hold-max-ms": holdMax.Milliseconds(),
		"heartbeat-ms": beatInterval.Milliseconds(),
	})
	file := filepath.Join(w.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(change(text)), 0o600); err != nil {
		return nil, err
	}
	p := &process{
		w: w, name: name, role: role, settings: file, memoryMB: memoryMB, front: at(0), ready: at(1),
		env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SESAMESTACK_CONFIG=" + file},
	}
	w.processes = append(w.processes, p)
	go p.keepRunning()
	return p, nil
}

// addSide starts an agent with an executor on its machine.
func (w *world) addSide(zone, rack, kind, storeAt string, capacity amount) (*executor, *process, error) {
	p, err := w.add("agent", zone, storeAt, 152)
	if err != nil {
		return nil, nil, err
	}
	e := newExecutor(w, "i-"+strconv.Itoa(w.machines), zone, rack, kind, capacity)
	host, _, err := net.SplitHostPort(p.front)
	if err != nil {
		return nil, nil, err
	}
	e.control = host + ":" + strconv.Itoa(w.ports[2])
	if e.address, err = w.serve(host, e); err != nil {
		return nil, nil, err
	}
	w.executors = append(w.executors, e)
	go e.run()
	return e, p, nil
}

// keepRunning starts the process, and starts it again when it ends, as the platform
// does.
func (p *process) keepRunning() {
	for {
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		command := exec.Command(filepath.Join(p.w.root, "target", "sesamestack"), "hosted", p.role)
		command.Dir = p.w.root
		command.Env = p.env
		log, err := os.OpenFile(filepath.Join(p.w.folder, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err == nil {
			command.Stdout = log
			command.Stderr = log
			err = command.Start()
		}
		if err != nil {
			p.w.record("%s can't be started: %v", p.name, err)
			p.stopped = true
			p.mu.Unlock()
			return
		}
		p.command = command
		p.starts++
		p.mu.Unlock()
		p.w.record("%s is started (process %d of it)", p.name, p.starts)
		err = p.await(command)
		_ = log.Close()
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		p.w.record("%s has ended: %v", p.name, err)
		time.Sleep(500 * time.Millisecond)
	}
}

// await waits for the end of the process, and kills it when it takes more memory
// than its machine gives it.
func (p *process) await(command *exec.Cmd) error {
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	ticks := time.NewTicker(50 * time.Millisecond)
	defer ticks.Stop()
	killed := false
	for {
		select {
		case err := <-ended:
			p.mu.Lock()
			if killed {
				p.killed++
			} else if !p.stopped {
				p.exits++
			}
			p.mu.Unlock()
			return err
		case <-ticks.C:
			mb := residentMB(command.Process.Pid)
			p.mu.Lock()
			p.peakMB = max(p.peakMB, mb)
			p.mu.Unlock()
			if mb > p.memoryMB && !killed {
				killed = true
				p.w.record("%s takes %d MB of %d and is killed", p.name, mb, p.memoryMB)
				_ = command.Process.Kill()
			}
		}
	}
}

// residentMB returns the resident memory of a process, 0 if it can't be read.
func residentMB(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize()) >> 20
}

// signal sends a signal to the present process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	w.ending.Do(w.endOnce)
}

// endOnce does what end does, the first time.
func (w *world) endOnce() {
	close(w.over)
	for _, p := range w.processes {
		p.mu.Lock()
		p.stopped = true
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
		}
		p.mu.Unlock()
	}
	time.Sleep(300 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
	_ = w.out.Close()
}

// route is a queue of the configuration.
type route struct {
	name     string
	prefix   string
	priority int
	attempts int
}

// configure writes the operator's configuration.
func (w *world) configure(version int, guaranteed int64, routes ...route) {
	all := []map[string]any{}
	for _, r := range routes {
		all = append(all, map[string]any{
			"name": r.name, "host": hostName, "path-prefix": r.prefix, "kind": "unsafe", "timeout-ms": 3000,
			"target-latency-ms": 1000, "priority": r.priority, "service": serviceName, "max-attempts": r.attempts,
			"stretch": 3.0, "public": false,
		})
	}
	w.store.put("op", "config", map[string]any{
		"version": version,
		"routes":  all,
		"services": []map[string]any{{
			"name": serviceName, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false,
			"enforces-capacity": false, "spare": false,
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []map[string]any{{
			"name": tenantName, "api-keys": []string{apiKey}, "priority": 1,
			"guaranteed-gpus": map[string]any{"gpu": guaranteed},
		}},
	})
	w.record("the configuration has version %d", version)
}

// step is a step of a job in the client's JSON.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu,omitempty"`
	Mem      int64  `json:"mem-request-mb,omitempty"`
	GPU      int64  `json:"gpu,omitempty"`
	Estimate int64  `json:"estimated-ms,omitempty"`
	DataRack string `json:"data-rack,omitempty"`
	Selector string `json:"node-selector,omitempty"`
	Gang     bool   `json:"gang,omitempty"`
	Lasts    bool   `json:"long-running,omitempty"`
}

func (s step) needs() amount {
	return amount{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU}
}

// submit hands a job in and returns the status of the answer. The behaviours are
// those of its steps.
func (w *world) submit(p *process, prefix, id string, steps []step, does ...behaviour) int {
	w.mu.Lock()
	for i := range does {
		does[i].needs = steps[i].needs()
		does[i].lasts = steps[i].Lasts
		if steps[i].Gang {
			does[i].gang = steps[i].Count
		}
	}
	w.behaviours[id] = does
	w.mu.Unlock()
	status, body := w.request(p, http.MethodPost, prefix+id, map[string]any{"specification": "text of " + id, "steps": steps})
	w.record("POST %s%s at %s: %d %s", prefix, id, p.name, status, body)
	return status
}

// submitUntilAnswered repeats a submission that was refused for now or got no
// answer, as clients do.
func (w *world) submitUntilAnswered(p *process, prefix, id string, steps []step, does ...behaviour) int {
	for range 10 {
		status := w.submit(p, prefix, id, steps, does...)
		if status == http.StatusOK || status/100 == 4 && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0
}

// state asks for a job's state; it is empty without a readable answer.
func (w *world) state(p *process, prefix, id string) (int, string) {
	status, body := w.request(p, http.MethodGet, prefix+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &answer)
	w.record("GET %s%s at %s: %d %s", prefix, id, p.name, status, body)
	return status, answer.State
}

// pending asks for the number of a queue's jobs for which no task has started; -1
// without a readable answer.
func (w *world) pending(p *process, prefix string) int {
	status, body := w.request(p, http.MethodGet, prefix, nil)
	answer := struct {
		Pending *int `json:"pending"`
	}{}
	_ = json.Unmarshal([]byte(body), &answer)
	w.record("GET %s at %s: %d %s", prefix, p.name, status, body)
	if status != http.StatusOK || answer.Pending == nil {
		return -1
	}
	return *answer.Pending
}

// request makes a call of a client; the status is 0 without an answer.
func (w *world) request(p *process, method, path string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(encoded)
	}
	r, err := http.NewRequest(method, "http://"+p.front+path, content)
	if err != nil {
		panic(err)
	}
	r.Host = hostName
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Time-Remaining-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// awaitReady waits until the entry says that it is ready and all executors have
// sent heartbeats for a while.
func (w *world) awaitReady(entries ...*process) bool {
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range entries {
		for {
			client := http.Client{Timeout: time.Second}
			response, err := client.Get("http://" + p.ready + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				w.record("%s is not ready", p.name)
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	w.record("all are ready")
	return true
}

// behaviourOf returns what a task does.
func (w *world) behaviourOf(task string) behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.behaviours[jobOf(task)]
	if n := stepOf(task); n < len(all) {
		return all[n]
	}
	return behaviour{works: time.Second}
}

// started notes a start; the caller holds the executor's lock.
func (w *world) started(e *executor, r *taskRun) {
	w.record("executor %s starts %s run %d", e.id, r.task, r.run)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[jobOf(r.task)] = append(w.starts[jobOf(r.task)], start{task: r.task, run: r.run, at: time.Now(), on: e})
}

// ended notes an end; the caller holds the executor's lock.
func (w *world) ended(e *executor, r *taskRun, how string) {
	w.record("executor %s ends %s run %d: %s", e.id, r.task, r.run, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEnds[r.task] = time.Now()
}

// startsOf returns the starts of a job's tasks so far.
func (w *world) startsOf(id string) []start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]start(nil), w.starts[id]...)
}

// runs reports whether a task of the job is running on an executor now.
func (w *world) runs(id string) bool {
	for _, e := range w.executors {
		e.mu.Lock()
		for task := range e.running {
			if jobOf(task) == id {
				e.mu.Unlock()
				return true
			}
		}
		e.mu.Unlock()
	}
	return false
}

// roomFor returns for how many tasks with these needs the executors that pass the
// filter have room now, and the share of the service's accelerators in use.
func (w *world) roomFor(needs amount, filter func(*executor) bool) (int, float64) {
	room := 0
	var used, all int64
	for _, e := range w.executors {
		e.mu.Lock()
		u := e.used()
		e.mu.Unlock()
		used += u.GPU
		all += e.capacity.GPU
		if !filter(e) {
			continue
		}
		n := (e.capacity.GPU - u.GPU) / max(1, needs.GPU)
		n = min(n, (e.capacity.CPU-u.CPU)/max(1, needs.CPU))
		n = min(n, (e.capacity.Mem-u.Mem)/max(1, needs.Mem))
		room += int(n)
	}
	return room, float64(used) / float64(all)
}
