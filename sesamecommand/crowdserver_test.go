package sesamecommand_test

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crowds says that the tests of crowds run. They measure processes, so they need the
// machine for themselves, and run one at a time.
var crowds = flag.Bool("crowds", false, "run the tests of crowds of clients, which need the machine for themselves")

// requireCrowds skips a test of a crowd that would run beside other tests.
func requireCrowds(t *testing.T) {
	t.Helper()
	if !*crowds {
		t.Skip("runs apart from other tests, with -crowds")
	}
}

const (
	// crowdMemoryMiB is the memory setting of the process that a crowd calls. A
	// platform kills a process that exceeds it.
	crowdMemoryMiB = 64
	// crowdDescriptors is the process's limit of descriptors, of which a platform
	// keeps crowdFiles for files.
	crowdDescriptors = 512
	crowdFiles       = 200

	// crowdSize is the number of clients of most crowds. Their connections fit
	// into the process's limit of descriptors, but not beside its files.
	crowdSize = 400
	// sendTimeout is when a client gives up sending to a process that does not
	// read any more. The client then stays connected.
	sendTimeout = 5 * time.Second
	// crowdSettle is how long the process is watched once all clients have sent.
	crowdSettle = 300 * time.Millisecond
	// crowdRetries is how often an ordinary client repeats a request that found
	// no connection or no room, with crowdPause in between.
	crowdRetries = 10
	crowdPause   = 200 * time.Millisecond
	// callTimeout is how long an ordinary client waits for an answer.
	callTimeout = 3 * time.Second
)

// crowdServer is a process that crowds call at one of its addresses.
type crowdServer struct {
	*process
	t *testing.T
	// address is the one that the crowd calls.
	address string
	// memoryMiB and maxDescriptors are the most that the process may take.
	memoryMiB      int
	maxDescriptors int
	// request sends an ordinary request on a connection of its own and returns
	// the status of the answer.
	request func(id int) (int, error)
	// kilobytes and descriptors are the most that were seen.
	kilobytes   int
	descriptors int
}

// startLimited starts the program with the settings and a limit of descriptors,
// which applies to this process only.
func (c *cluster) startLimited(name, settings string, descriptors int, args ...string) *process {
	file := c.writeFile(name+".yaml", settings)
	limited := fmt.Sprintf("ulimit -n %d && exec %s %s --settings %s", descriptors, binary, strings.Join(args, " "), file)
	return c.startCommand(name, exec.Command("sh", "-c", limited))
}

// newCrowdServer returns the process as one that stays within crowdMemoryMiB, and
// waits until it answers an ordinary request.
func newCrowdServer(t *testing.T, p *process, address string, maxDescriptors int, request func(int) (int, error)) *crowdServer {
	s := &crowdServer{
		process:        p,
		t:              t,
		address:        address,
		memoryMiB:      crowdMemoryMiB,
		maxDescriptors: maxDescriptors,
		request:        request,
	}
	eventually(t, "an answer of the process", func() bool {
		status, err := request(1 << 20)
		return err == nil && status == http.StatusOK
	})
	return s
}

// callAlone sends a request on a connection of its own and returns the status of
// the answer.
func callAlone(request *http.Request) (int, error) {
	client := http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// unreadKilobytes returns what the process's callers have sent and the process
// has not read yet. A platform counts it towards the memory of the process.
func (s *crowdServer) unreadKilobytes() int {
	const stateListen = "0A"
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	_, text, err := net.SplitHostPort(s.address)
	is.New(s.t).NoErr(err)
	port, err := strconv.Atoi(text)
	is.New(s.t).NoErr(err)
	suffix := fmt.Sprintf(":%04X", port)
	var unread int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == stateListen {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		is.New(s.t).NoErr(err)
		unread += n
	}
	return int(unread >> 10)
}

// sample measures the process once. It returns false if it has exited.
func (s *crowdServer) sample() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil || !s.isRunning() {
		return false
	}
	used := map[string]int{}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if fields := strings.Fields(value); strings.HasPrefix(name, "Vm") && len(fields) > 0 {
			used[name], _ = strconv.Atoi(fields[0])
		}
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		return false
	}
	s.kilobytes = max(s.kilobytes, used["VmHWM"], used["VmRSS"]+s.unreadKilobytes())
	s.descriptors = max(s.descriptors, len(files))
	return true
}

// crowd is a number of clients that each send the same kind of bytes and then
// stay connected without reading an answer.
type crowd struct {
	clients int
	// head returns what a client sends first, and body what it sends then. All
	// clients send the same body.
	head func(client int) string
	body []byte
	// piece is the number of bytes that a client sends at once, 0 for all.
	piece int
	// endless clients repeat the body until it is not taken any more.
	endless bool
}

// send is one client. It returns the connection, or nil if there was none.
func (c crowd) send(address string, client int) net.Conn {
	dialer := net.Dialer{
		Timeout: sendTimeout,
	}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil
	}
	// Write fails when the process has closed the connection, or has not read for
	// the whole time.
	if connection.SetWriteDeadline(time.Now().Add(sendTimeout)) != nil {
		return connection
	}
	if _, err := io.WriteString(connection, c.head(client)); err != nil {
		return connection
	}
	piece := c.piece
	if piece == 0 {
		piece = len(c.body)
	}
	for again := true; again; again = c.endless {
		for rest := c.body; len(rest) > 0; {
			n := min(piece, len(rest))
			if _, err := connection.Write(rest[:n]); err != nil {
				return connection
			}
			rest = rest[n:]
		}
	}
	return connection
}

// run sends all clients to the process and samples it until all have sent and
// crowdSettle has passed. It returns the clients' connections.
func (c crowd) run(s *crowdServer) []net.Conn {
	connections := make([]net.Conn, c.clients)
	var clients sync.WaitGroup
	for i := range c.clients {
		clients.Go(func() {
			connections[i] = c.send(s.address, i)
		})
	}
	sent := make(chan struct{})
	var waiting sync.WaitGroup
	waiting.Go(func() {
		clients.Wait()
		close(sent)
	})
	settled := (<-chan time.Time)(nil)
	for s.sample() {
		select {
		case <-sent:
			sent = nil
			settled = time.After(crowdSettle)
		case <-settled:
			return connections
		case <-time.After(pollInterval):
		}
	}
	clients.Wait()
	return connections
}

// assertSurvives sends a crowd to the process. The process must live, stay under
// its limits of memory and descriptors, and answer an ordinary request while the
// crowd is still connected.
func (s *crowdServer) assertSurvives(c crowd) {
	t := s.t
	t.Helper()
	s.sample()
	t.Logf("before: %d KiB, %d descriptors", s.kilobytes, s.descriptors)
	connections := c.run(s)
	status, err := 0, error(nil)
	for try := range crowdRetries {
		status, err = s.request(2<<20 + try)
		if err == nil && status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(crowdPause)
	}
	alive := s.sample()
	for _, connection := range connections {
		if connection != nil {
			connection.Close()
		}
	}
	t.Logf("most: %d KiB, %d descriptors; an ordinary request: %d %v", s.kilobytes, s.descriptors, status, err)
	if !alive {
		t.Error("the process has exited")
	}
	if s.kilobytes > s.memoryMiB<<10 {
		t.Errorf("the process took %d KiB, its limit is %d", s.kilobytes, s.memoryMiB<<10)
	}
	if s.descriptors > s.maxDescriptors {
		t.Errorf("the process had %d descriptors, its limit is %d", s.descriptors, s.maxDescriptors)
	}
	if status != http.StatusOK {
		t.Errorf("an ordinary request was answered %d, %v", status, err)
	}
}
