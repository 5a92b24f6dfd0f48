package sesameguard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
)

const (
	// bodyLimit is the most bytes of a body, and readTime how long it may take.
	bodyLimit = 256 << 10
	readTime  = 2 * time.Second
	// answerTime bounds the wait for an answer.
	answerTime = 5 * time.Second
)

// readHandler reads bodies and answers with their length, or with the status of
// the error. It waits for release where a path asks for it.
func readHandler(release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		within := readTime
		if r.URL.Path == "/short" {
			within = 100 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(r.Context(), within)
		defer cancel()
		body, err := sesameguard.ReadBody(ctx, w, r, bodyLimit)
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(sesameguard.Status(err))
			return
		}
		if r.URL.Path == "/wait" {
			<-release
		}
		var text string
		if err := body.Decode(ctx, &text); err != nil && r.Method == http.MethodPost {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, len(text))
	}
}

// serve runs a guarded server with that number of connections and bytes, and
// returns its address.
func serve(t *testing.T, connections int, bytes int64, limits func() sesameguard.Limits, h http.Handler) string {
	is := is.New(t)
	guard := sesameguard.New(sesameguard.Options{
		Name:        "test",
		Connections: connections,
		Bytes:       bytes,
		Limits:      limits,
		Clock:       clockwork.NewRealClock(),
		Log:         sesamelog.Discard(),
		Scope:       tally.NoopScope,
	})
	listener, err := guard.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	server := guard.NewServer(h)
	var group errgroup.Group
	group.Go(func() error {
		return server.Serve(listener)
	})
	t.Cleanup(func() {
		is.NoErr(server.Close())
		is.Equal(group.Wait(), http.ErrServerClosed)
	})
	return listener.Addr().String()
}

// caller is a connection to a server.
type caller struct {
	t *testing.T
	net.Conn
}

// dial connects to the server and sends the text.
func dial(t *testing.T, address, text string) caller {
	is := is.New(t)
	connection, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() {
		// A test may have closed it.
		_ = connection.Close()
	})
	is.NoErr(connection.SetDeadline(time.Now().Add(answerTime)))
	c := caller{
		t:    t,
		Conn: connection,
	}
	c.send(text)
	return c
}

// send sends the text. A server that refuses the request may close the connection
// before all is sent.
func (c caller) send(text string) {
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Log(err)
	}
}

// answer returns the next answer, or nil if the connection is closed.
func (c caller) answer() *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(c.Conn), nil)
	if err != nil {
		return nil
	}
	c.t.Cleanup(func() {
		_ = response.Body.Close()
	})
	return response
}

// statuses returns the statuses of the next answers.
func (c caller) statuses(answers int) []int {
	reader := bufio.NewReader(c.Conn)
	var all []int
	for range answers {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.t.Error(err)
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		all = append(all, response.StatusCode)
	}
	return all
}

// assertStatus fails the test unless the next answer has the status; 0 stands for
// a connection that is closed without an answer.
func (c caller) assertStatus(status int) {
	c.t.Helper()
	found := 0
	response := c.answer()
	if response != nil {
		found = response.StatusCode
	}
	if found != status {
		c.t.Errorf("answered %d, expected %d", found, status)
	}
}

// post returns the head of a request with a body of that length.
func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// jsonText returns a JSON string of that many bytes.
func jsonText(size int) string {
	return `"` + strings.Repeat("x", size-2) + `"`
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestConnections guards against callers that keep others out by staying
// connected, and against a request that is cut off while it may take effect.
func TestConnections(t *testing.T) {
	t.Run("the one without progress for longest makes room", func(t *testing.T) {
		address := serve(t, 2, 1<<20, nil, readHandler(nil))
		idle := dial(t, address, "")
		time.Sleep(50 * time.Millisecond)
		half := dial(t, address, post("/", 100))
		time.Sleep(50 * time.Millisecond)
		dial(t, address, get).assertStatus(http.StatusOK)
		idle.assertStatus(0)
		half.send(jsonText(100))
		half.assertStatus(http.StatusOK)
	})
	t.Run("a request that is handled stays, and a new caller is told to retry", func(t *testing.T) {
		release := make(chan struct{})
		address := serve(t, 1, 1<<20, nil, readHandler(release))
		handled := dial(t, address, post("/wait", 100)+jsonText(100))
		time.Sleep(100 * time.Millisecond)
		refused := dial(t, address, "").answer()
		is.New(t).Equal(refused.StatusCode, http.StatusServiceUnavailable)
		is.New(t).Equal(refused.Header.Get("Retry-After"), "1")
		close(release)
		handled.assertStatus(http.StatusOK)
	})
}

// TestKeepAlive guards against callers that keep others out by sending one request
// after another on their connections.
func TestKeepAlive(t *testing.T) {
	for connections, closes := range map[int]bool{1: true, 2: false} {
		t.Run(fmt.Sprint(connections), func(t *testing.T) {
			answer := dial(t, serve(t, connections, 1<<20, nil, readHandler(nil)), get).answer()
			is.New(t).Equal(answer.Close, closes)
		})
	}
}

// TestBytes guards against bodies that together exceed the bound, and against
// ones that are within the limits and never get room.
func TestBytes(t *testing.T) {
	// A body of 100,000 bytes takes nearly all of it.
	const room = 259_000
	t.Run("a body that has stalled makes room", func(t *testing.T) {
		address := serve(t, 100, room, nil, readHandler(nil))
		stalled := dial(t, address, post("/", 100_000)+jsonText(100_000)[:99_999])
		time.Sleep(300 * time.Millisecond)
		dial(t, address, post("/", 100_000)+jsonText(100_000)).assertStatus(http.StatusOK)
		stalled.assertStatus(http.StatusServiceUnavailable)
	})
	t.Run("beside a request that is handled a long body is refused, a short one served", func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		address := serve(t, 100, room, nil, readHandler(release))
		dial(t, address, post("/wait", 100_000)+jsonText(100_000))
		time.Sleep(300 * time.Millisecond)
		dial(t, address, post("/", 100_000)+jsonText(100_000)).assertStatus(http.StatusServiceUnavailable)
		dial(t, address, post("/", 1000)+jsonText(1000)).assertStatus(http.StatusOK)
	})
	t.Run("a long body alone is served", func(t *testing.T) {
		address := serve(t, 100, room, nil, readHandler(nil))
		dial(t, address, post("/", bodyLimit)+jsonText(bodyLimit)).assertStatus(http.StatusOK)
	})
	t.Run("heads count", func(t *testing.T) {
		address := serve(t, 100, 32<<10, nil, readHandler(nil))
		head := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 15<<10)
		stalled := dial(t, address, head)
		time.Sleep(300 * time.Millisecond)
		dial(t, address, head+"\r\n\r\n").assertStatus(http.StatusOK)
		stalled.assertStatus(http.StatusServiceUnavailable)
	})
}

// TestBodies guards against a body that never ends, and against the refusal of
// one that arrives slowly or in very small chunks.
func TestBodies(t *testing.T) {
	address := serve(t, 100, 1<<20, nil, readHandler(nil))
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"stalled":              {post("/short", 100) + "x", http.StatusRequestTimeout},
		"declared too long":    {post("/", bodyLimit+1), http.StatusRequestEntityTooLarge},
		"too long in a chunk":  {chunkedPost(bodyLimit+1, 1<<20), http.StatusRequestEntityTooLarge},
		"chunks of one byte":   {chunkedPost(bodyLimit, 1), http.StatusOK},
		"chunk without length": {strings.Replace(chunkedPost(100, 100), "64\r\n", "xx\r\n", 1), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			dial(t, address, c.text).assertStatus(c.status)
		})
	}
	t.Run("piece by piece", func(t *testing.T) {
		text := jsonText(100)
		slow := dial(t, address, post("/", len(text)))
		for i := range text {
			slow.send(text[i : i+1])
			time.Sleep(5 * time.Millisecond)
		}
		slow.assertStatus(http.StatusOK)
	})
}

// slowValue counts how many values are decoded at once.
type slowValue struct {
	now, most *atomic.Int32
}

// UnmarshalJSON takes some time.
func (s slowValue) UnmarshalJSON([]byte) error {
	s.most.Store(max(s.most.Load(), s.now.Add(1)))
	time.Sleep(20 * time.Millisecond)
	s.now.Add(-1)
	return nil
}

// TestDecoders guards against many bodies that are decoded at once, each of which
// takes a multiple of its length.
func TestDecoders(t *testing.T) {
	is := is.New(t)
	var now, most atomic.Int32
	address := serve(t, 100, 1<<20, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := sesameguard.ReadBody(r.Context(), w, r, bodyLimit)
		if err == nil {
			err = body.Decode(r.Context(), &slowValue{
				now:  &now,
				most: &most,
			})
		}
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	var callers []caller
	for range 10 {
		callers = append(callers, dial(t, address, post("/", 100)+jsonText(100)))
	}
	for _, c := range callers {
		c.assertStatus(http.StatusOK)
	}
	is.Equal(most.Load(), int32(2))
}

// chunkedPost returns a request whose body has that many bytes in chunks of the
// given size.
func chunkedPost(size, chunk int) string {
	var text strings.Builder
	text.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for body := jsonText(size); body != ""; {
		n := min(chunk, len(body))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}

// TestHeads guards against heads that never end, and against limits that are not
// those of the newest configuration.
func TestHeads(t *testing.T) {
	limits := sesameguard.Limits{
		HeadBytes:   16 << 10,
		HeadTimeout: 200 * time.Millisecond,
		IdleTimeout: 400 * time.Millisecond,
	}
	current := func() sesameguard.Limits { return limits }
	head := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", size)
	}
	address := serve(t, 100, 1<<20, current, readHandler(nil))
	dial(t, address, head(16000)+"\r\n\r\n").assertStatus(http.StatusOK)
	dial(t, address, head(30000)).assertStatus(http.StatusRequestHeaderFieldsTooLarge)
	t.Run("an unfinished head times out", func(t *testing.T) {
		unfinished := dial(t, address, head(10))
		time.Sleep(300 * time.Millisecond)
		unfinished.send("\r\n\r\n")
		unfinished.assertStatus(0)
	})
	t.Run("a connection is kept idle for its own time", func(t *testing.T) {
		kept := dial(t, address, get)
		kept.assertStatus(http.StatusOK)
		time.Sleep(300 * time.Millisecond)
		kept.send(get)
		kept.assertStatus(http.StatusOK)
		time.Sleep(500 * time.Millisecond)
		kept.send(get)
		kept.assertStatus(0)
	})
	t.Run("a raised limit holds for connections that are open", func(t *testing.T) {
		// One server for itself, so that nothing else reads the limits.
		changing := make(chan sesameguard.Limits, 1)
		changing <- limits
		address := serve(t, 100, 1<<20, func() sesameguard.Limits {
			l := <-changing
			changing <- l
			return l
		}, readHandler(nil))
		kept := dial(t, address, get)
		kept.assertStatus(http.StatusOK)
		raised := <-changing
		raised.HeadBytes = 48 << 10
		changing <- raised
		kept.send(head(40000) + "\r\n\r\n")
		kept.assertStatus(http.StatusOK)
	})
}

// TestDerive guards against servers that together exceed the descriptors of the
// process, and against defaults that leave callers almost nothing.
func TestDerive(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
	}{{64, 512}, {184, 4100}, {284, 4100}, {536, 8192}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			s := sesameguard.Derive(c.memory, c.descriptors)
			const files, toStore = 200, 20
			is.True(s.Callers+s.Relay+2*s.Internal+files+toStore <= c.descriptors)
			is.True(s.Callers >= 2*int(c.memory))
			is.True(s.CallerBytes >= 8*bodyLimit*3)
			is.True(int64(s.Callers)<<16+s.CallerBytes+s.RelayBytes <= c.memory<<19)
		})
	}
}

// TestDeriveOwn guards against shares of an own process that exceed its memory or
// its descriptors, and against ones that the limits of docs/API.md do not fit into.
func TestDeriveOwn(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
	}{{64, 512}, {128, 1024}, {284, 4100}, {2200, 20_000}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			s := sesameguard.DeriveOwn(c.memory, c.descriptors)
			is.True(s.Callers+s.Wire <= c.descriptors*3/4)
			is.True(int64(s.Callers+s.Wire)<<16+s.CallerBytes+s.WireBytes <= c.memory<<20*9/16)
		})
	}
	t.Run("4,096 long polls beside as many other connections", func(t *testing.T) {
		is.New(t).True(sesameguard.DeriveOwn(2200, 20_000).Callers/2 >= 4096)
	})
}
