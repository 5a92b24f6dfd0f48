package sesamesoak_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/platform/emulator"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// Extent and fixed inputs of one seed's run.
const (
	// Number of processes, the time that each task takes, and the
	// specification of the jobs.
	soakEntries  = 2
	soakAgents   = 4
	soakZones    = 2
	taskDuration = 700 * time.Millisecond
	specText     = "soak"
)

// soakPolicy returns the policy in force: a queue for urgent jobs, one for batch
// jobs, and one team that both are open to.
func soakPolicy() *sesamework.Policy {
	p := &sesamework.Policy{
		Number: 1,
		Teams: []sesamework.Team{{
			Name:       "team",
			Keys:       []string{"key"},
			Guaranteed: 8,
		}},
	}
	for priority, name := range map[int]string{0: "urgent", 2: "batch"} {
		p.Queues = append(p.Queues, sesamework.Queue{
			Name:   name,
			Host:   "soak",
			Prefix: "/" + name + "/",
			Terms: sesamework.Terms{
				Service:  "soak",
				Priority: priority,
				Attempts: 3,
				Stretch:  3,
				Latency:  500,
			},
		})
	}
	return p
}

// caller makes the requests of the soak's client.
var caller = emulator.Caller{
	Host: "soak",
	Key:  "key",
	Wait: 3 * time.Second,
}

// soak is the emulated platform with the processes that use it.
type soak struct {
	t         *testing.T
	folder    string
	fleet     *sesamestandin.Fleet
	processes []*program
	rows      *sesamerows.Memory

	mu sync.Mutex
	// zones are those of the targets, and evacuatedAt is when the evacuations that
	// are in force were acknowledged, by zone.
	zones       map[string]int
	evacuatedAt map[int]time.Time
	// jobs are all submitted jobs by their IDs.
	jobs map[string]*submission
}

// submission is a submitted job and what the entries answered: accepted means
// that one took it, rejected that all refused it, so that it must not run.
type submission struct {
	path     string
	step     sesamework.Step
	schedule emulator.Schedule
	// duration is how long each task takes.
	duration time.Duration
	rejected bool
	accepted bool
}

// program is a process under test that is restarted whenever it ends.
type program struct {
	s             *soak
	kind          string
	file          string
	callerAddress string
	proxy         *proxy

	mu      sync.Mutex
	command *exec.Cmd
	// terminated says that the command was sent SIGTERM. It then fails if it has to cut
	// off clients.
	terminated bool
	output     bytes.Buffer
}

// freeAddress returns an address for a process to listen on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := sesamestandin.FreeAddress()
	is.New(t).NoErr(err)
	return address
}

// newSoak starts the emulated store, its policy, and the entries and agents,
// each behind a proxy of its own to the store.
func newSoak(t *testing.T, binary string) *soak {
	clock := clockwork.NewRealClock()
	s := &soak{
		t:      t,
		folder: t.TempDir(),
		jobs:   map[string]*submission{},
		zones:  map[string]int{},

		evacuatedAt: map[int]time.Time{},
	}
	rows := sesamerows.NewMemory(sesameclock.Wrap(clock))
	s.rows = rows
	is.New(t).NoErr(emulator.PutPolicy(t.Context(), rows, soakPolicy()))
	store := httptest.NewServer(emulator.NewStoreHandler(rows))
	t.Cleanup(store.Close)
	s.fleet = sesamestandin.NewFleet(sesamestandin.FleetOptions{
		Clock:       clock,
		Lookup:      s.lookup,
		StopTime:    200 * time.Millisecond,
		GangTimeout: 3 * time.Second,
		MaxLease:    6 * time.Second,
		MayStart:    s.mayStart,
	})
	address := strings.TrimPrefix(store.URL, "http://")
	for i := range soakEntries {
		s.addEntry(binary, i, newProxy(t, address))
	}
	for i := range soakAgents {
		s.addAgent(binary, i, newProxy(t, address))
	}
	return s
}

// addEntry starts an entry.
func (s *soak) addEntry(binary string, i int, p *proxy) {
	callers := freeAddress(s.t)
	s.start(binary, "entry", callers, p, fmt.Sprintf(`id: entry-%d
place: {region: r, zone: zone-0}
callers: %q
ready: %q
relay: %q
store: %q
memory: 256
drain: 2s
evacuation: %v
`, i, callers, freeAddress(s.t), freeAddress(s.t), p.address(), evacuationBound))
}

// addAgent starts an agent with a simulated target, whose state is reported to
// the agent every 500 ms as the platform does.
func (s *soak) addAgent(binary string, i int, p *proxy) {
	reports := freeAddress(s.t)
	s.start(binary, "agent", "", p, fmt.Sprintf(`id: side-%d
place: {region: r, zone: zone-%d}
reports: %q
service: soak
store: %q
memory: 256
lease: 6s
`, i, i%soakZones, reports, p.address()))
	id := fmt.Sprintf("i-%d", i)
	s.mu.Lock()
	s.zones[id] = i % soakZones
	s.mu.Unlock()
	life := int64(1700000000000 + i)
	capacity := sesamework.Resources{
		Cores:        64000,
		Memory:       1 << 18,
		Accelerators: 8,
	}
	server := httptest.NewServer(emulator.NewExecutorHandler(id, s.fleet.Add(id, life, capacity)))
	s.t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for sequence := int64(1); ctx.Err() == nil; sequence++ {
			s.call(emulator.NewReport(ctx, reports, sesamerunner.Report{
				ID:       id,
				Service:  "soak",
				Address:  strings.TrimPrefix(server.URL, "http://"),
				Rack:     fmt.Sprintf("rack-%d", i/2),
				Labels:   []string{"a"},
				Capacity: capacity,
				Life:     life,
				Sequence: sequence,
			}))
			time.Sleep(500 * time.Millisecond)
		}
		return nil
	})
	s.t.Cleanup(func() {
		cancel()
		is.New(s.t).NoErr(group.Wait())
	})
}

// start runs a process and restarts it whenever it ends, until the test ends.
func (s *soak) start(binary, kind, callers string, p *proxy, settings string) {
	file := filepath.Join(s.folder, fmt.Sprintf("%s-%d.yaml", kind, len(s.processes)))
	is.New(s.t).NoErr(os.WriteFile(file, []byte(settings), 0o600))
	process := &program{
		s:             s,
		kind:          kind,
		file:          file,
		callerAddress: callers,
		proxy:         p,
	}
	s.processes = append(s.processes, process)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			process.runOnce(ctx, binary)
		}
		return nil
	})
	s.t.Cleanup(func() {
		cancel()
		process.signal(syscall.SIGCONT)
		process.signal(syscall.SIGKILL)
		is.New(s.t).NoErr(group.Wait())
	})
}

// runOnce starts the process and waits for its end.
func (p *program) runOnce(ctx context.Context, binary string) {
	command := exec.CommandContext(ctx, binary, "hosted", p.kind, "--settings", p.file)
	command.Stdout = p
	command.Stderr = p
	p.mu.Lock()
	if err := command.Start(); err != nil {
		p.mu.Unlock()
		p.s.t.Error(err)
		return
	}
	p.command = command
	p.terminated = false
	p.mu.Unlock()
	err := command.Wait()
	if err == nil || ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	if command.ProcessState.Exited() && !p.terminated {
		p.s.t.Errorf("%s has ended without a signal: %v", p.file, err)
	}
	p.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
}

// Write appends to the process's log.
func (p *program) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(line)
}

// signal sends a signal to the current process, which this test started.
func (p *program) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		p.terminated = p.terminated || sig == syscall.SIGTERM
		if err := p.command.Process.Signal(sig); err != nil && !strings.Contains(err.Error(), "finished") {
			p.s.t.Log(err)
		}
	}
}

// call makes an HTTP request, as built by the emulator, and returns status and
// body. Without an answer the status is 0 and the body the error.
func (s *soak) call(request *http.Request, err error) (int, []byte) {
	if err != nil {
		return 0, []byte(err.Error())
	}
	ctx, cancel := context.WithTimeout(request.Context(), caller.Wait)
	defer cancel()
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, content
}

// lookup returns the definition of a task, or false when no job that may run
// has it.
func (s *soak) lookup(task sesamework.TaskID) (sesamestandin.FleetTask, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.jobs[task.Job]
	if !ok || h.rejected {
		return sesamestandin.FleetTask{}, false
	}
	return sesamestandin.FleetTask{
		Step:          h.step,
		Duration:      h.duration,
		Specification: specText,
	}, true
}
