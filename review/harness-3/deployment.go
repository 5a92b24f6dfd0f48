package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
	program     = "target/sesamestack"
)

// deployment is a small deployment of the system with what surrounds it.
type deployment struct {
	trouble bool
	began   time.Time
	temp    string
	network string
	store   *store
	servers []*http.Server

	fronts    []string
	executors []*executor
	processes []*process

	mu      sync.Mutex
	file    *os.File
	runs    []*taskRun
	closing bool
}

// process is a process of the system.
type process struct {
	name     string
	role     string
	settings string
	cmd      *exec.Cmd
	// ownEnds is how often it ended by itself, and exited is closed when it has ended.
	ownEnds int
	exited  chan struct{}
	// address is where its clients or executors call it.
	address string
}

func newDeployment(recordFile string, trouble bool) (*deployment, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{trouble: trouble, began: time.Now(), temp: temp, file: file, store: newStore()}
	if err := d.findNetwork(); err != nil {
		return nil, err
	}
	return d, nil
}

// findNetwork chooses loopback addresses of which no port is in use.
func (d *deployment) findNetwork() error {
	for n := range 200 {
		d.network = fmt.Sprintf("127.%d.%d", 40+(os.Getpid()+n)%150, n%250)
		free := true
		for _, port := range []int{9100, 8524, 8521, 8526, 8531} {
			for host := 1; host < 20 && free; host++ {
				l, err := net.Listen("tcp", d.at(host, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (d *deployment) at(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.network, host, port)
}

// record writes a line with the time since the beginning.
func (d *deployment) record(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, values...))
	_, _ = d.file.WriteString(line)
	fmt.Print(line)
}

func (d *deployment) addRun(r *taskRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, r)
}

func (d *deployment) endRun(r *taskRun, how string, at time.Time) {
	d.mu.Lock()
	r.end = at
	r.endHow = how
	d.mu.Unlock()
	d.record("executor %s ends %s run %d: %s", r.executor, r.task, r.run, how)
}

// runsOf returns copies of the runs of a job.
func (d *deployment) runsOf(job string) []taskRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []taskRun
	for _, r := range d.runs {
		if strings.HasPrefix(r.task, job+".") {
			all = append(all, *r)
		}
	}
	return all
}

func (d *deployment) serve(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// a side machine of the deployment.
type side struct {
	zone     string
	capacity resources
	labels   []string
	// direct says that there is no link between the agent and the executor.
	direct bool
}

// startAll starts the platform, so many front machines, and a side machine with an
// executor for each of sides. It returns when all of them can be used.
func (d *deployment) startAll(fronts int, sides []side, config string) error {
	if err := d.serve(d.at(1, 8524), d.store.handler()); err != nil {
		return err
	}
	if err := d.serve(d.at(1, 8525), http.HandlerFunc(d.serveMachines)); err != nil {
		return err
	}
	d.putConfig(config)
	zones := []string{"magdalena-a", "magdalena-b", "magdalena-c"}
	for i := range fronts {
		host := 2 + i
		p := &process{name: fmt.Sprintf("front-%s-1", zones[i%3]), role: "entry", address: d.at(host, 8521)}
		if err := d.render(p, host, zones[i%3]); err != nil {
			return err
		}
		d.fronts = append(d.fronts, p.address)
		d.processes = append(d.processes, p)
	}
	for i, s := range sides {
		host := 10 + i
		p := &process{name: fmt.Sprintf("side-%s-%d", s.zone, i+1), role: "agent", address: d.at(host, 8526)}
		if err := d.render(p, host, s.zone); err != nil {
			return err
		}
		d.processes = append(d.processes, p)
		e := &executor{
			d: d, id: fmt.Sprintf("i-%d", i+1), machine: fmt.Sprintf("m-%d", i+1), zone: s.zone, capacity: s.capacity, labels: s.labels,
			listen: d.at(host, 8531), address: d.at(host, 8529),
		}
		var err error
		if s.direct {
			e.address = e.listen
		} else if e.app, err = newLink(e.address, e.listen); err != nil {
			return err
		}
		if e.reports, err = newLink(d.at(host, 8530), p.address); err != nil {
			return err
		}
		d.executors = append(d.executors, e)
	}
	for _, p := range d.processes {
		if err := d.startProcess(p); err != nil {
			return err
		}
	}
	for _, e := range d.executors {
		if err := e.start(); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

var placeholder = regexp.MustCompile(`\{\{([a-z.0-9-]+)(\|json)?\}\}`)

// render fills in the template of the process's role, as the platform does.
func (d *deployment) render(p *process, host int, zone string) error {
	template, err := os.ReadFile(filepath.Join("deploy", p.role+".yaml"))
	if err != nil {
		return err
	}
	ip := fmt.Sprintf("%s.%d", d.network, host)
	memory, share, files := 284, 0.4, 4100
	if p.role == "agent" {
		memory, share, files = 152, 0.24, 4096
	}
	fields := map[string]any{
		"node-name": p.name, "region": "magdalena", "zone": zone, "ip-address": ip,
		"listen-addresses.front": ip + ":8521", "listen-addresses.ready": ip + ":8523", "listen-addresses.control": ip + ":8526",
		"internal-port-range.0": 7000, "cloud-api.address": d.at(1, 8525), "platform.address": d.at(1, 8524),
		"limits.memory-mb": memory, "limits.file-descriptors": files, "limits.cpu-share": share,
		"bounds.grace-s": 6, "bounds.hold-max-ms": holdMax, "heartbeat-ms": heartbeatTime.Milliseconds(), "service": serviceName,
	}
	filled := placeholder.ReplaceAllStringFunc(string(template), func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value, ok := fields[parts[1]]
		if !ok {
			return ""
		}
		if parts[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
	p.settings = filepath.Join(d.temp, p.name+".yaml")
	return os.WriteFile(p.settings, []byte(filled), 0o600)
}

func (d *deployment) startProcess(p *process) error {
	log, err := os.CreateTemp(d.temp, p.name+"-*.log")
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "hosted", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.temp, "LANG=C", "SESAMESTACK_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	p.cmd, p.exited = cmd, exited
	d.mu.Unlock()
	d.record("process %s starts", p.name)
	go func() {
		_ = cmd.Wait()
		close(exited)
		d.mu.Lock()
		closing := d.closing
		if !closing {
			p.ownEnds++
		}
		d.mu.Unlock()
		if closing {
			return
		}
		d.record("process %s ends by itself (%v): %s", p.name, cmd.ProcessState, panicOf(log.Name()))
		time.Sleep(restartTime)
		d.mu.Lock()
		closing = d.closing
		d.mu.Unlock()
		if closing {
			return
		}
		if err := d.startProcess(p); err != nil {
			d.record("process %s does not start: %v", p.name, err)
		}
	}()
	return nil
}

// restartTime is how long the platform takes to start a process again that has ended:
// as long as the site file's kills (after_ack_kill, for_s 3).
const restartTime = 3 * time.Second

// panicOf returns the lines of the log that tell why the process ended.
func panicOf(log string) string {
	content, err := os.ReadFile(log)
	if err != nil {
		return err.Error()
	}
	var found []string
	lines := strings.Split(string(content), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") {
			found = append(found, line)
			for _, at := range lines[i+1:] {
				if strings.Contains(at, ".go:") && len(found) < 4 {
					found = append(found, filepath.Base(strings.Fields(at)[0]))
				}
			}
			break
		}
	}
	return strings.Join(found, " | ")
}

// awaitReady returns when all entries are ready and all executors have been
// reported to the store.
func (d *deployment) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, front := range d.fronts {
			response, err := http.Get("http://" + strings.Replace(front, ":8521", ":8523", 1) + "/readiness")
			if err != nil {
				ready = false
				continue
			}
			response.Body.Close()
			ready = ready && response.StatusCode == http.StatusOK
		}
		if ready {
			// Another 3 s for the first planner and the reports of the agents.
			time.Sleep(3 * time.Second)
			d.record("the entries are ready")
			return nil
		}
	}
	return fmt.Errorf("the entries did not become ready")
}

// serveMachines answers the list of machines.
func (d *deployment) serveMachines(w http.ResponseWriter, _ *http.Request) {
	var machines []map[string]any
	for _, e := range d.executors {
		state, id := "down", ""
		if e.current() != nil {
			state, id = "up", e.id
		}
		machines = append(machines, map[string]any{
			"machine": e.machine, "pool": serviceName, "state": state, "zone": e.zone, "labels": e.labels, "capacity": e.capacity, "id": id,
		})
	}
	answer(w, http.StatusOK, map[string]any{"machines": machines, "next-token": nil})
}

func (d *deployment) putConfig(config string) {
	d.store.put("op", "config", []byte(config))
	d.record("the operator's configuration is acknowledged: %s", config)
}

// close ends all processes and removes the temporary files.
func (d *deployment) close() {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	for _, p := range d.processes {
		for {
			d.mu.Lock()
			cmd, exited := p.cmd, p.exited
			d.mu.Unlock()
			if cmd == nil {
				break
			}
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-exited
			d.mu.Lock()
			again := p.cmd != cmd
			d.mu.Unlock()
			if !again {
				break
			}
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(d.temp, keep)
	} else {
		_ = os.RemoveAll(d.temp)
	}
	_ = d.file.Close()
}
