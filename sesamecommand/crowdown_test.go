package sesamecommand_test

import (
	"context"
	varint "encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// maxCrowdDescriptors is the most of crowdDescriptors that an own process may
	// open: the rest is for its files and its own calls.
	maxCrowdDescriptors = crowdDescriptors * 7 / 8
	// shortBody is the length of a body that needs no room beside its connection.
	shortBody = 4000
	// wireFrame is the length of a message that callers of a wire address send
	// almost to its end, and wireFrames how many of them do.
	wireFrame  = 3_600_000
	wireFrames = 100
	// legalFrame is the length of one that a server takes.
	legalFrame = 1_000_000
)

// wireCrowds are those that call an address that serves the wire protocol.
func wireCrowds() map[string]crowd {
	return map[string]crowd{
		"nothing sent": {clients: 2 * crowdSize, head: func(int) string { return "" }},
		"messages without an end": {
			clients: wireFrames,
			head:    frameHead(wireFrame),
			body:    []byte(strings.Repeat("x", wireFrame-1)),
		},
		"messages of legal size without an end": {
			clients: wireFrames,
			head:    frameHead(legalFrame),
			body:    []byte(strings.Repeat("x", legalFrame-1)),
		},
		"small frames of a message without an end": {
			clients: wireFrames,
			head:    func(int) string { return "" },
			body:    []byte(strings.Repeat(smallFrame(), wireFrame/len(smallFrame()))),
		},
	}
}

// frameInvoke is the first byte of a frame that holds a part of the name of a
// call, and not its last one.
const frameInvoke = 1 << 1

// frameHead returns what precedes the data of a frame of that many bytes: what it
// holds, the numbers of the call and of the message, and its length.
func frameHead(size uint64) func(int) string {
	return func(int) string {
		return string(varint.AppendUvarint([]byte{frameInvoke, 1, 1}, size))
	}
}

// smallFrame is a frame of 100 bytes of the same message.
func smallFrame() string {
	const size = 100
	return string([]byte{frameInvoke, 1, 1, size}) + strings.Repeat("x", size)
}

// ownEntry is an entry of an own deployment that crowds call.
type ownEntry struct {
	*cluster
	process    *process
	http, wire string
}

// startOwnEntry starts a platform and an entry with lowered limits.
func startOwnEntry(t *testing.T) *ownEntry {
	return startLimitedEntry(t, crowdMemoryMiB, crowdDescriptors)
}

// startLimitedEntry starts a platform and an entry with that memory and limit of
// descriptors.
func startLimitedEntry(t *testing.T, memoryMiB, descriptors int) *ownEntry {
	c := newCluster(t)
	c.startPlatform()
	e := &ownEntry{
		cluster: c,
		http:    c.freeAddress(),
		wire:    c.freeAddress(),
	}
	e.process = c.startLimited("entry", fmt.Sprintf(`id: entry
place: {region: magdalena, zone: a}
http: %s
wire: %s
operators:
  ana: %s
platform: {url: %q}
memory: %d
`, e.http, e.wire, digestOf(operatorToken), c.platform, memoryMiB), descriptors, "entry")
	c.entries = append(c.entries, "http://"+e.http)
	return e
}

// contracts reads the contracts in force on a connection of its own.
func (e *ownEntry) contracts(int) (int, error) {
	request, err := http.NewRequestWithContext(e.t.Context(), http.MethodGet, "http://"+e.http+"/v1/contracts", nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	return callAlone(request)
}

// why asks the entry on a connection of its own, as another entry does, and then
// reads the contracts.
func (e *ownEntry) why(id int) (int, error) {
	ctx, cancel := context.WithTimeout(e.t.Context(), callTimeout)
	defer cancel()
	dialer := sesamewire.NewDialer(sesamewire.DialOptions{})
	defer dialer.Close()
	if _, err := dialer.Peer(e.wire).Why(ctx, &sesamewire.WhyRequest{}); err != nil {
		return 0, err
	}
	return e.contracts(id)
}

// TestCrowdsAtEntry guards against an entry of an own deployment that ends, or
// exceeds its memory or its descriptors, because of its callers or of those that
// connect to its address for agents and other entries.
func TestCrowdsAtEntry(t *testing.T) {
	requireCrowds(t)
	t.Run("http", func(t *testing.T) {
		assertDoor(t, httpCrowds(), func(t *testing.T) *crowdServer {
			e := startOwnEntry(t)
			return newCrowdServer(t, e.process, e.http, maxCrowdDescriptors, e.contracts)
		})
	})
	t.Run("wire", func(t *testing.T) {
		assertDoor(t, wireCrowds(), func(t *testing.T) *crowdServer {
			e := startOwnEntry(t)
			return newCrowdServer(t, e.process, e.wire, maxCrowdDescriptors, e.why)
		})
	})
	t.Run("callers and wire", func(t *testing.T) {
		// Callers use up what there is, and then another entry connects.
		e := startOwnEntry(t)
		newCrowdServer(t, e.process, e.http, maxCrowdDescriptors, e.why).assertSurvives(httpCrowds()["nothing sent"])
	})
}

// TestCrowdsOfSubmissions guards against an entry of an own deployment that exceeds
// its memory, or refuses all others, because many callers send bodies that stop
// just short of their end.
func TestCrowdsOfSubmissions(t *testing.T) {
	requireCrowds(t)
	// The connections are more than the requests that it handles at a time.
	const memoryMiB, descriptors = 2 * crowdMemoryMiB, 2 * crowdDescriptors
	for name, size := range map[string]int{"long": smallCrowdBody, "short": shortBody} {
		t.Run(name, func(t *testing.T) {
			e := startLimitedEntry(t, memoryMiB, descriptors)
			s := newCrowdServer(t, e.process, e.http, descriptors*7/8, e.contracts)
			s.memoryMiB = memoryMiB
			e.assertRun(t, 0, 0, operatorToken, "apply", "-f", e.writeFile("contract.yaml", crowdContract()))
			s.assertSurvives(crowd{
				clients: crowdSize,
				head: func(client int) string {
					return fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: crowd\r\nAuthorization: Bearer %s\r\n"+
						"Idempotency-Key: %d\r\nContent-Length: %d\r\n\r\n", crews, client, size)
				},
				body: paddedJob(size - 1),
			})
		})
	}
}

// crowdContract is a contract of the callers that needs no target.
func crowdContract() string {
	return fmt.Sprintf(`team: crews
weight: 1
classes:
  - name: estimate
    urgency: normal
limits:
  open: 1000
  rate: 1000
  burst: 1000
tokens: [%s]
`, digestOf(crews))
}

// ownAgent is an agent of an own deployment that crowds call.
type ownAgent struct {
	*cluster
	process    *process
	http, wire string
}

// startOwnAgent starts an executor and the agent beside it, with lowered limits
// and without an entry.
func startOwnAgent(t *testing.T) *ownAgent {
	c := newCluster(t)
	target := c.freeAddress()
	c.start("target", fmt.Sprintf("http: %s\nkind: executor\nslots: 8\n", target), "standin", "executor")
	a := &ownAgent{
		cluster: c,
		http:    c.freeAddress(),
		wire:    c.freeAddress(),
	}
	a.process = c.startLimited("agent", fmt.Sprintf(`id: agent
kind: executor
place: {region: magdalena, zone: a}
wire: %s
http: %s
entries: [%q]
target: http://%s
platform: {url: "http://%s"}
memory: %d
`, a.wire, a.http, c.freeAddress(), target, c.freeAddress(), crowdMemoryMiB), crowdDescriptors, "agent")
	return a
}

// stopUnknown asks the agent on a connection of its own, as an entry does, to
// stop an attempt that it has not prepared, and then whether it lives.
func (a *ownAgent) stopUnknown(id int) (int, error) {
	ctx, cancel := context.WithTimeout(a.t.Context(), callTimeout)
	defer cancel()
	dialer := sesamewire.NewDialer(sesamewire.DialOptions{})
	defer dialer.Close()
	attempt := &sesamewire.AttemptID{
		Job: fmt.Sprintf("job-%d", id),
	}
	if _, err := dialer.Agent(a.wire).Stop(ctx, &sesamewire.StopRequest{Id: attempt}); err != nil {
		return 0, err
	}
	return get(a.t, a.http, "/healthz")(id)
}

// TestCrowdsAtAgent does the same for an agent of an own deployment.
func TestCrowdsAtAgent(t *testing.T) {
	requireCrowds(t)
	t.Run("http", func(t *testing.T) {
		assertDoor(t, httpCrowds(), func(t *testing.T) *crowdServer {
			a := startOwnAgent(t)
			return newCrowdServer(t, a.process, a.http, maxCrowdDescriptors, get(t, a.http, "/healthz"))
		})
	})
	t.Run("wire", func(t *testing.T) {
		assertDoor(t, wireCrowds(), func(t *testing.T) *crowdServer {
			a := startOwnAgent(t)
			return newCrowdServer(t, a.process, a.wire, maxCrowdDescriptors, a.stopUnknown)
		})
	})
}

// TestCrowdsAtStandins does the same for the stand-ins of the platform and of a
// target.
func TestCrowdsAtStandins(t *testing.T) {
	requireCrowds(t)
	// A stand-in has no setting for its memory.
	const memoryMiB = 2 * crowdMemoryMiB
	for kind, capacity := range map[string]string{"platform": "", "worker": "kind: worker\ncores: 8\nmemory: 1000\n"} {
		t.Run(kind, func(t *testing.T) {
			crowds := httpCrowds()
			delete(crowds, "answers not read") // They serve no metrics.
			assertDoor(t, crowds, func(t *testing.T) *crowdServer {
				c := newCluster(t)
				address := c.freeAddress()
				p := c.startLimited("standin", "http: "+address+"\n"+capacity, crowdDescriptors, "standin", kind)
				s := newCrowdServer(t, p, address, maxCrowdDescriptors, get(t, address, "/healthz"))
				s.memoryMiB = memoryMiB
				return s
			})
		})
	}
}
