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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameapi"
)

const (
	// conditionTimeout bounds the wait for any condition.
	conditionTimeout = 20 * time.Second
	// pollInterval is how often a condition is looked at.
	pollInterval = 20 * time.Millisecond

	operatorToken = "example-ana"
	examples      = "../examples/corchera"
)

var binary string

// TestMain builds the binary once for all tests of separate processes.
func TestMain(m *testing.M) {
	os.Exit(buildAndRunTests(m))
}

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

// lockedBuffer is a buffer that a process writes and a test reads.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// process is one running process of the cluster.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    *lockedBuffer
	exited chan struct{}
}

// stop asks for a graceful stop and returns the exit code.
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

// isRunning reports whether the process has not exited.
func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// cluster is a set of processes on loopback.
type cluster struct {
	t         *testing.T
	directory string
	platform  string
	processes map[string]*process
	// entries are the base URLs for callers, wires the addresses for agents.
	entries []string
	wires   []string
	// targets are the base URLs of the stand-ins beside the agents.
	targets map[string]string
}

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

// lastLines returns the last lines of a log.
func lastLines(log string) string {
	const lines = 15
	all := strings.Split(log, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// nextPort hands out ports below those that the system gives to outgoing
// connections, which could take a port between the choice and its use.
var nextPort atomic.Int32

const (
	firstPort = 10000
	lastPort  = 30000
)

// freeAddress returns a free freeAddress on loopback.
func (c *cluster) freeAddress() string {
	for {
		port := firstPort + (os.Getpid()*97+int(nextPort.Add(1)))%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address
	}
}

func (c *cluster) writeFile(name, content string) string {
	file := filepath.Join(c.directory, name)
	is.New(c.t).NoErr(os.WriteFile(file, []byte(content), 0o600))
	return file
}

// start runs the binary with a settings file.
func (c *cluster) start(name, settings string, args ...string) *process {
	file := c.writeFile(name+".yaml", settings)
	p := &process{
		name:   name,
		cmd:    exec.Command(binary, append(args, "--settings", file)...),
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

func (c *cluster) startPlatform() {
	address := c.freeAddress()
	c.platform = "http://" + address
	c.start("platform", "http: "+address+"\n", "standin", "platform")
	c.waitForListener(address)
}

// waitForListener waits until somebody listens at the address.
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

func (c *cluster) startEntry(name, zone string) {
	http, wire := c.freeAddress(), c.freeAddress()
	c.entries = append(c.entries, "http://"+http)
	c.wires = append(c.wires, wire)
	c.startEntryAt(name, zone, http, wire)
}

// startEntryAt runs an entry at known addresses, as its replacement does.
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

// startTarget runs a stand-in of that size with its agent.
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

func (c *cluster) startWorker(name, zone, rack string) {
	c.startTarget(name, "worker", zone, ", rack: "+rack, "cores: 130\nmemory: 512000\naccelerators: 8\n")
}

func (c *cluster) startExecutor(name, zone string) {
	c.startTarget(name, "executor", zone, "", "slots: 8\n")
}

// client returns a client of one entry.
func (c *cluster) client(entry int, token string) *sesameapi.Client {
	return sesameapi.NewClient(sesameapi.ClientOptions{
		Addresses: []string{c.entries[entry]},
		Token:     token,
	})
}

// commandResult is what a command line came to.
type commandResult struct {
	code   int
	out    string
	errors string
}

// run executes one command line of the binary against an entry.
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

// assertRun fails the test unless the command line ends with the code, and
// returns what it printed.
func (c *cluster) assertRun(t *testing.T, code, entry int, token string, args ...string) commandResult {
	t.Helper()
	o := c.run(entry, token, args...)
	if o.code != code {
		t.Fatalf("%s ended with %d, expected %d:\n%s%s", strings.Join(args, " "), o.code, code, o.out, o.errors)
	}
	return o
}

// assertContains fails the test unless the text holds all parts.
func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%.2000s", part, text)
		}
	}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.NewTimer(conditionTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for !holds() {
		select {
		case <-deadline.C:
			t.Fatalf("%s did not come about within %s", what, conditionTimeout)
		case <-poll.C:
		}
	}
}
