package sesamecommand_test

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strconv"
	"strings"
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
	// crowdBody is the most bytes that the configuration allows for a body, and
	// smallCrowdBody the length of those that take many more bytes to send.
	crowdBody      = 262_144
	smallCrowdBody = 65_536
	// crowdFields is the length of many short fields, which stay below the
	// configured limit of a head.
	crowdFields = 16_000
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

// shortFields returns that many bytes of fields of a head, each with a name of
// its own and no value.
func shortFields(size int) string {
	var out strings.Builder
	for i := 0; out.Len() < size; i++ {
		fmt.Fprintf(&out, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return out.String()
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

// crowdEntry is a hosted entry that crowds call.
type crowdEntry struct {
	*crowdServer
	*cluster
	// ready, relay and metrics are its addresses beside the one for callers.
	ready, relay, metrics string
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
	e := &crowdEntry{
		cluster: c,
		ready:   c.freeAddress(),
		relay:   c.freeAddress(),
		metrics: c.freeAddress(),
	}
	p := c.startLimited("entry", fmt.Sprintf(`id: entry
place: {region: r, zone: a}
callers: %q
ready: %q
relay: %q
metrics: %q
store: %q
memory: %d
drain: 1s
`, address, e.ready, e.relay, e.metrics, strings.TrimPrefix(store.URL, "http://"), crowdMemoryMiB), crowdDescriptors, "hosted", "entry")
	e.crowdServer = newCrowdServer(t, p, address, crowdDescriptors-crowdFiles, func(id int) (int, error) {
		return submitSmall(t, address, id)
	})
	return e
}

// submitSmall submits a small job on a connection of its own, as an ordinary
// client does, and returns the status of the answer.
func submitSmall(t *testing.T, address string, id int) (int, error) {
	caller := emulator.Caller{
		Host: "crowd",
		Key:  "key",
		Wait: callTimeout,
	}
	request, err := caller.Submit(t.Context(), fmt.Sprintf("http://%s/batch/%016x", address, id), "s", sesamework.Step{
		Count:    1,
		Need:     sesamework.Resources{Accelerators: 1},
		Estimate: 1000,
	})
	if err != nil {
		return 0, err
	}
	return callAlone(request)
}

// TestCrowdsOfBodies guards against an entry that exceeds its memory because
// many callers send long bodies at once and stop just short of their end.
func TestCrowdsOfBodies(t *testing.T) {
	requireCrowds(t)
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
			startCrowdEntry(t).assertSurvives(c)
		})
	}
}

// TestCrowdsOfHeads guards against an entry that exceeds its memory or its
// descriptors, or stops answering, because many callers send heads that exceed
// the limit or never end, nothing at all, or requests without end whose answers
// they do not read.
func TestCrowdsOfHeads(t *testing.T) {
	requireCrowds(t)
	none := func(int) string { return "" }
	field := "X-Field: " + strings.Repeat("x", 1000) + "\r\n"
	for name, c := range map[string]crowd{
		"over the limit": {clients: crowdSize, head: crowdHead, body: []byte(strings.Repeat(field, 60))},
		"one long line":  {clients: crowdSize, head: crowdHead, body: []byte("X-Field: " + strings.Repeat("x", 60_000))},
		"without end":    {clients: crowdSize, head: crowdHead, body: []byte(field), endless: true},
		"many short fields": {
			clients: crowdSize,
			head: func(client int) string {
				return crowdHead(client) + shortFields(crowdFields) + "Content-Length: 9\r\n\r\n"
			},
		},
		"short fields without an end": {clients: crowdSize, head: crowdHead, body: []byte(shortFields(crowdFields))},
		"names of trailers": {
			clients: crowdSize,
			head: func(client int) string {
				names := strings.ReplaceAll(shortFields(crowdFields*3/2), ":\r\n", ",")
				return crowdHead(client) + "Transfer-Encoding: chunked\r\nTrailer: " + names + "z\r\n\r\n"
			},
		},
		"empty lines":  {clients: crowdSize, head: none, body: bytes.Repeat([]byte("\r\n"), 512), endless: true},
		"nothing sent": {clients: 2 * crowdSize, head: none},
		"answers not read": {
			clients: crowdSize,
			head:    none,
			body:    []byte("GET /batch/0000000000000001 HTTP/1.1\r\nHost: crowd\r\nAuthorization: Bearer key\r\n\r\n"),
			endless: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			startCrowdEntry(t).assertSurvives(c)
		})
	}
}
