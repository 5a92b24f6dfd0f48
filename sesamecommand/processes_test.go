package sesamecommand_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

const (
	// conditionTimeout is how long a test waits for a condition before it fails.
	conditionTimeout = 20 * time.Second
	// pollInterval is how often a condition is checked.
	pollInterval = 20 * time.Millisecond

	// operatorToken is the access token of the operator ana, and examples the
	// folder of the example contracts.
	operatorToken = "example-ana"
	examples      = "../examples/corchera"
)

// binary is the path of the program that TestMain built.
var binary string

// TestMain builds the program once for all tests that run it as processes.
func TestMain(m *testing.M) {
	os.Exit(buildAndRunTests(m))
}

// buildAndRunTests builds the program in a temporary directory, runs the tests
// and returns their exit code.
func buildAndRunTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "sesamestack")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "sesamestack")
	build := exec.Command("go", "build", "-o", binary, "..")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		return 1
	}
	return m.Run()
}

// lockedBuffer is a buffer that may be read while a process writes to it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends output of the process.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns the output so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// process is one process of the cluster; exited is closed when it has exited.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    *lockedBuffer
	exited chan struct{}
}

// stop sends SIGTERM, waits for the process to exit and returns its exit code.
func (p *process) stop(t *testing.T) int {
	t.Helper()
	is.New(t).NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
	case <-time.After(conditionTimeout):
		t.Fatalf("%s did not stop:\n%s", p.name, p.log)
	}
	return p.cmd.ProcessState.ExitCode()
}

// isRunning reports whether the process has not exited yet.
func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// cluster is a deployment of processes on loopback: a stand-in for the platform,
// entries, and targets with an agent each. Processes are found by name; the
// target beside agent worker-1 is worker-1-target.
type cluster struct {
	t         *testing.T
	directory string
	platform  string
	processes map[string]*process
	// entries are the entries' base URLs for callers, wires their addresses for
	// agents, both in the order in which the entries were started.
	entries []string
	wires   []string
	// targets are the base URLs of the stand-ins beside the agents, by the
	// agent's name.
	targets map[string]string
}

// newCluster returns a cluster without processes. Those that the test starts
// are killed when it ends.
func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t:         t,
		directory: t.TempDir(),
		processes: map[string]*process{},
		targets:   map[string]string{},
	}
	t.Cleanup(c.killAll)
	return c
}

// killAll kills the processes that still run and, if the test failed, prints
// the end of each log.
func (c *cluster) killAll() {
	for name, p := range c.processes {
		select {
		case <-p.exited:
		default:
			p.cmd.Process.Kill()
			<-p.exited
		}
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", name, lastLines(p.log.String()))
		}
	}
}

// lastLines returns the last 15 lines of a log.
func lastLines(log string) string {
	const lines = 15
	all := strings.Split(log, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// freeAddress returns an address for a process to listen on.
func (c *cluster) freeAddress() string {
	c.t.Helper()
	address, err := sesamestandin.FreeAddress()
	is.New(c.t).NoErr(err)
	return address
}

// writeFile writes a file in the cluster's directory and returns its path.
func (c *cluster) writeFile(name, content string) string {
	file := filepath.Join(c.directory, name)
	is.New(c.t).NoErr(os.WriteFile(file, []byte(content), 0o600))
	return file
}

// start writes the settings to a file and starts the program with it, as the
// process with that name.
func (c *cluster) start(name, settings string, args ...string) *process {
	file := c.writeFile(name+".yaml", settings)
	return c.startCommand(name, exec.Command(binary, append(args, "--settings", file)...))
}

// startCommand starts the command as the process with that name.
func (c *cluster) startCommand(name string, cmd *exec.Cmd) *process {
	p := &process{
		name:   name,
		cmd:    cmd,
		log:    &lockedBuffer{},
		exited: make(chan struct{}),
	}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	is.New(c.t).NoErr(p.cmd.Start())
	var waiting sync.WaitGroup
	waiting.Go(func() {
		p.cmd.Wait()
		close(p.exited)
	})
	c.processes[name] = p
	return p
}

// startPlatform starts the stand-in for the platform and waits until it
// listens.
func (c *cluster) startPlatform() {
	address := c.freeAddress()
	c.platform = "http://" + address
	c.start("platform", "http: "+address+"\n", "standin", "platform")
	c.waitForListener(address)
}

// waitForListener waits until the address accepts a TCP connection.
func (c *cluster) waitForListener(address string) {
	eventually(c.t, "a listener at "+address, func() bool {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

// startEntry starts an entry at new addresses.
func (c *cluster) startEntry(name, zone string) {
	http, wire := c.freeAddress(), c.freeAddress()
	c.entries = append(c.entries, "http://"+http)
	c.wires = append(c.wires, wire)
	c.startEntryAt(name, zone, http, wire)
}

// startEntryAt starts an entry at given addresses, such as the replacement of
// an entry at the addresses of the old one, and waits until it listens.
func (c *cluster) startEntryAt(name, zone, http, wire string) {
	c.start(name, fmt.Sprintf(`id: %s
place: {region: magdalena, zone: %s}
http: %s
wire: %s
operators:
  ana: %s
platform: {url: %q}
`, name, zone, http, wire, digestOf(operatorToken), c.platform), "entry")
	c.waitForListener(http)
}

// startTarget starts a stand-in for a target with that capacity (lines of its
// settings) and the agent beside it.
func (c *cluster) startTarget(name, kind, zone, rack, capacity string) {
	target := c.freeAddress()
	c.targets[name] = "http://" + target
	c.start(name+"-target", fmt.Sprintf("http: %s\nkind: %s\n%s", target, kind, capacity), "standin", kind)
	c.start(name, fmt.Sprintf(`id: %s
kind: %s
place: {region: magdalena, zone: %s%s}
wire: %s
http: %s
entries: ["%s"]
target: http://%s
platform: {url: %q}
`, name, kind, zone, rack, c.freeAddress(), c.freeAddress(), strings.Join(c.wires, `", "`), target, c.platform), "agent")
}

// startWorker starts a worker with 8 accelerators and its agent.
func (c *cluster) startWorker(name, zone, rack string) {
	c.startTarget(name, "worker", zone, ", rack: "+rack, "cores: 130\nmemory: 512000\naccelerators: 8\n")
}

// startExecutor starts an executor with 8 slots and its agent.
func (c *cluster) startExecutor(name, zone string) {
	c.startTarget(name, "executor", zone, "", "slots: 8\n")
}

// client returns an API client that calls only the entry with that index.
func (c *cluster) client(entry int, token string) *sesameapi.Client {
	return sesameapi.NewClient(sesameapi.ClientOptions{
		Addresses: []string{c.entries[entry]},
		Token:     token,
	})
}

// commandResult is the exit code of a command line and what it printed.
type commandResult struct {
	code   int
	out    string
	errors string
}

// run executes one command line of the program with the token, against the
// entry with that index.
func (c *cluster) run(entry int, token string, args ...string) commandResult {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Env = append(os.Environ(), "SESAMESTACK_TOKEN="+token, "SESAMESTACK_ENTRY="+c.entries[entry])
	var out, errors bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &errors
	cmd.Run()
	return commandResult{
		code:   cmd.ProcessState.ExitCode(),
		out:    out.String(),
		errors: errors.String(),
	}
}

// assertRun is run, except that the test fails unless the exit code is code.
func (c *cluster) assertRun(t *testing.T, code, entry int, token string, args ...string) commandResult {
	t.Helper()
	o := c.run(entry, token, args...)
	if o.code != code {
		t.Fatalf("%s ended with %d, expected %d:\n%s%s", strings.Join(args, " "), o.code, code, o.out, o.errors)
	}
	return o
}

// assertContains fails the test unless the text contains all parts.
func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%.2000s", part, text)
		}
	}
}

// eventually waits until the condition holds. The test fails after
// conditionTimeout; what names the condition in the message.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.NewTimer(conditionTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for !holds() {
		select {
		case <-deadline.C:
			t.Fatalf("%s did not happen within %s", what, conditionTimeout)
		case <-poll.C:
		}
	}
}
