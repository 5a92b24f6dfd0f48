package sesamecommand_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/platform/emulator"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// crowdMemoryMiB is the memory setting of the entry that a crowd calls. A
	// platform kills a process that exceeds it.
	crowdMemoryMiB = 64
	// crowdDescriptors is the entry's limit of descriptors, of which a platform
	// keeps crowdFiles for files.
	crowdDescriptors = 512
	crowdFiles       = 200

	// crowdSize is the number of clients of most crowds. Their connections fit
	// into the entry's limit of descriptors, but not beside its files.
	crowdSize = 400
	// crowdBody is the most bytes that the configuration allows for a body, and
	// smallCrowdBody the length of those that take many more bytes to send.
	crowdBody      = 262_144
	smallCrowdBody = 65_536
	// sendTimeout is when a client gives up sending to an entry that does not
	// read any more. The client then stays connected.
	sendTimeout = 5 * time.Second
	// crowdSettle is how long the entry is watched once all clients have sent.
	crowdSettle = 300 * time.Millisecond
	// crowdRetries is how often an ordinary client repeats a request that found
	// no connection or no room, with crowdPause in between.
	crowdRetries = 10
	crowdPause   = 200 * time.Millisecond
)

// crowdPolicy is the operators' policy, with the usual limits. A request may take
// longer than the test, so that no time limit ends it.
func crowdPolicy() *sesamework.Policy {
	return &sesamework.Policy{
		Number: 1,
		Bounds: sesamework.Bounds{
			HeaderBytes:   16_384,
			BodyBytes:     crowdBody,
			HeaderTimeout: 3 * time.Second,
			IdleTimeout:   15 * time.Second,
		},
		Queues: []sesamework.Queue{{
			Name:    "batch",
			Host:    "crowd",
			Prefix:  "/batch/",
			Timeout: time.Minute,
			Terms: sesamework.Terms{
				Service:  "svc",
				Priority: 2,
				Attempts: 3,
				Stretch:  3,
				Latency:  3000,
			},
		}},
		Teams: []sesamework.Team{{
			Name:       "team",
			Keys:       []string{"key"},
			Guaranteed: 8,
		}},
	}
}

// crowdHead is the head of a client's submission, without the fields that say
// how long its body is.
func crowdHead(client int) string {
	return fmt.Sprintf("POST /batch/%016x HTTP/1.1\r\nHost: crowd\r\nAuthorization: Bearer key\r\n"+
		"X-Time-Remaining-Ms: 60000\r\nContent-Type: application/json\r\n", client+1)
}

// chunked returns a body in chunks of the given size, without its last chunk.
func chunked(body []byte, size int) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.Bytes()
}

// paddedJob returns the beginning of a job's JSON, with that number of bytes, of
// which the last ones are a part of the specification.
func paddedJob(size int) []byte {
	return append([]byte(`{"specification":"`), bytes.Repeat([]byte("x"), size-len(`{"specification":"`))...)
}

// manySteps returns a job of as many empty steps as fit into that many bytes.
func manySteps(size int) []byte {
	const begin, end = `{"steps":[{}`, `]}`
	return []byte(begin + strings.Repeat(",{}", (size-len(begin)-len(end))/len(",{}")) + end)
}

// crowdEntry is an entry that crowds call.
type crowdEntry struct {
	*process
	t       *testing.T
	address string
	port    string
	// kilobytes and descriptors are the most that were seen.
	kilobytes   int
	descriptors int
}

// startCrowdEntry starts the store and an entry with lowered limits, and waits
// until the entry answers.
func startCrowdEntry(t *testing.T) *crowdEntry {
	is := is.New(t)
	rows := sesamerows.NewMemory(sesameclock.Wrap(clockwork.NewRealClock()))
	is.NoErr(emulator.PutPolicy(t.Context(), rows, crowdPolicy()))
	store := httptest.NewServer(emulator.NewStoreHandler(rows))
	t.Cleanup(store.Close)
	c := newCluster(t)
	address := c.freeAddress()
	_, port, err := net.SplitHostPort(address)
	is.NoErr(err)
	file := c.writeFile("entry.yaml", fmt.Sprintf(`id: entry
place: {region: r, zone: a}
callers: %q
ready: %q
store: %q
memory: %d
drain: 1s
`, address, c.freeAddress(), strings.TrimPrefix(store.URL, "http://"), crowdMemoryMiB))
	// The limit applies to this process only.
	limited := fmt.Sprintf("ulimit -n %d && exec %s hosted entry --settings %s", crowdDescriptors, binary, file)
	e := &crowdEntry{
		process: c.startCommand("entry", exec.Command("sh", "-c", limited)),
		t:       t,
		address: address,
		port:    port,
	}
	eventually(t, "an answer of the entry", func() bool {
		status, err := e.submit(1 << 20)
		return err == nil && status == http.StatusOK
	})
	return e
}

// submit submits a small job on a connection of its own, as an ordinary client
// does, and returns the status of the answer.
func (e *crowdEntry) submit(id int) (int, error) {
	caller := emulator.Caller{
		Host: "crowd",
		Key:  "key",
		Wait: 3 * time.Second,
	}
	request, err := caller.Submit(e.t.Context(), fmt.Sprintf("http://%s/batch/%016x", e.address, id), "s", sesamework.Step{
		Count:    1,
		Need:     sesamework.Resources{Accelerators: 1},
		Estimate: 1000,
	})
	if err != nil {
		return 0, err
	}
	client := http.Client{
		Timeout: caller.Wait,
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

// unreadKilobytes returns what the entry's callers have sent and the entry has
// not read yet. A platform counts it towards the memory of the process.
func (e *crowdEntry) unreadKilobytes() int {
	const stateListen = "0A"
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	port, err := strconv.Atoi(e.port)
	is.New(e.t).NoErr(err)
	suffix := fmt.Sprintf(":%04X", port)
	var unread int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == stateListen {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		is.New(e.t).NoErr(err)
		unread += n
	}
	return int(unread >> 10)
}

// sample measures the entry once. It returns false if the entry has exited.
func (e *crowdEntry) sample() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil || !e.isRunning() {
		return false
	}
	used := map[string]int{}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if fields := strings.Fields(value); strings.HasPrefix(name, "Vm") && len(fields) > 0 {
			used[name], _ = strconv.Atoi(fields[0])
		}
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	if err != nil {
		return false
	}
	e.kilobytes = max(e.kilobytes, used["VmHWM"], used["VmRSS"]+e.unreadKilobytes())
	e.descriptors = max(e.descriptors, len(files))
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
	// Write fails when the entry has closed the connection, or has not read for
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

// run sends all clients to the entry and samples the entry until all have sent
// and crowdSettle has passed. It returns the clients' connections.
func (c crowd) run(e *crowdEntry) []net.Conn {
	connections := make([]net.Conn, c.clients)
	var clients sync.WaitGroup
	for i := range c.clients {
		clients.Go(func() {
			connections[i] = c.send(e.address, i)
		})
	}
	sent := make(chan struct{})
	var waiting sync.WaitGroup
	waiting.Go(func() {
		clients.Wait()
		close(sent)
	})
	settled := (<-chan time.Time)(nil)
	for e.sample() {
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

// assertSurvives sends a crowd to a new entry. The entry must live, stay under
// its limits of memory and descriptors, and answer an ordinary request while the
// crowd is still connected.
func assertSurvives(t *testing.T, c crowd) {
	t.Helper()
	e := startCrowdEntry(t)
	e.sample()
	t.Logf("before: %d KiB, %d descriptors", e.kilobytes, e.descriptors)
	connections := c.run(e)
	status, err := 0, error(nil)
	for try := range crowdRetries {
		status, err = e.submit(2<<20 + try)
		if err == nil && status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(crowdPause)
	}
	alive := e.sample()
	for _, connection := range connections {
		if connection != nil {
			connection.Close()
		}
	}
	t.Logf("most: %d KiB, %d descriptors; an ordinary request: %d %v", e.kilobytes, e.descriptors, status, err)
	if !alive {
		t.Error("the entry has exited")
	}
	if e.kilobytes > crowdMemoryMiB<<10 {
		t.Errorf("the entry took %d KiB, its limit is %d", e.kilobytes, crowdMemoryMiB<<10)
	}
	if e.descriptors > crowdDescriptors-crowdFiles {
		t.Errorf("the entry had %d descriptors, its limit is %d", e.descriptors, crowdDescriptors-crowdFiles)
	}
	if status != http.StatusOK {
		t.Errorf("an ordinary request was answered %d, %v", status, err)
	}
}

// TestCrowdsOfBodies guards against an entry that exceeds its memory because
// many callers send long bodies at once and stop just short of their end.
func TestCrowdsOfBodies(t *testing.T) {
	declared := func(size int) func(int) string {
		return func(client int) string {
			return crowdHead(client) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
		}
	}
	inChunks := func(client int) string {
		return crowdHead(client) + "Transfer-Encoding: chunked\r\n\r\n"
	}
	unfinished := paddedJob(crowdBody - 1)
	for name, c := range map[string]crowd{
		"whole":                   {clients: crowdSize, head: declared(crowdBody), body: unfinished},
		"piece by piece":          {clients: crowdSize, head: declared(crowdBody), body: unfinished, piece: 4096},
		"large chunks":            {clients: crowdSize, head: inChunks, body: chunked(unfinished, 32<<10)},
		"chunks of one byte":      {clients: crowdSize, head: inChunks, body: chunked(paddedJob(smallCrowdBody-1), 1)},
		"complete, of many steps": {clients: crowdSize / 10, head: declared(len(manySteps(crowdBody))), body: manySteps(crowdBody)},
	} {
		t.Run(name, func(t *testing.T) {
			assertSurvives(t, c)
		})
	}
}

// TestCrowdsOfHeads guards against an entry that exceeds its memory or its
// descriptors, or stops answering, because many callers send heads that exceed
// the limit or never end, nothing at
// all, or requests without end whose answers they do not read.
func TestCrowdsOfHeads(t *testing.T) {
	none := func(int) string { return "" }
	field := "X-Field: " + strings.Repeat("x", 1000) + "\r\n"
	for name, c := range map[string]crowd{
		"over the limit": {clients: crowdSize, head: crowdHead, body: []byte(strings.Repeat(field, 60))},
		"one long line":  {clients: crowdSize, head: crowdHead, body: []byte("X-Field: " + strings.Repeat("x", 60_000))},
		"without end":    {clients: crowdSize, head: crowdHead, body: []byte(field), endless: true},
		"empty lines":    {clients: crowdSize, head: none, body: bytes.Repeat([]byte("\r\n"), 512), endless: true},
		"nothing sent":   {clients: 2 * crowdSize, head: none},
		"answers not read": {
			clients: crowdSize,
			head:    none,
			body:    []byte("GET /batch/0000000000000001 HTTP/1.1\r\nHost: crowd\r\nAuthorization: Bearer key\r\n\r\n"),
			endless: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			assertSurvives(t, c)
		})
	}
}
