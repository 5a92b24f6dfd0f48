package sesamecommand_test

import (
	"fmt"
	"net/http"
	"testing"
)

// headFields is the length of short fields that stay below the usual limit of a
// head where the operators set none.
const headFields = 64_000

// httpCrowds are those that call an address that serves HTTP.
func httpCrowds() map[string]crowd {
	none := func(int) string { return "" }
	return map[string]crowd{
		"nothing sent":                {clients: 2 * crowdSize, head: none},
		"short fields without an end": {clients: crowdSize, head: getHead, body: []byte(shortFields(headFields))},
		"short fields and no body": {
			clients: crowdSize,
			head:    getHead,
			body:    []byte("Content-Length: 9\r\n" + shortFields(crowdFields) + "\r\n"),
		},
		"answers not read": {
			clients: crowdSize,
			head:    none,
			body:    []byte(getHead(0) + "\r\n"),
			endless: true,
		},
	}
}

// getHead is the head of a request for metrics, without its last line.
func getHead(int) string {
	return "GET /metrics HTTP/1.1\r\nHost: crowd\r\n"
}

// assertDoor runs each crowd against a process of its own.
func assertDoor(t *testing.T, crowds map[string]crowd, start func(*testing.T) *crowdServer) {
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			start(t).assertSurvives(c)
		})
	}
}

// get returns an ordinary request for the path at the address.
func get(t *testing.T, address, path string) func(int) (int, error) {
	return func(int) (int, error) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return 0, err
		}
		return callAlone(request)
	}
}

// withDoor returns the hosted entry as a server that crowds call at another
// address.
func (e *crowdEntry) withDoor(address, path string) *crowdServer {
	e.address = address
	e.request = get(e.crowdServer.t, address, path)
	return e.crowdServer
}

// TestCrowdsAtHostedEntry guards against a hosted entry that exceeds its memory
// or its descriptors because of callers of its other addresses.
func TestCrowdsAtHostedEntry(t *testing.T) {
	requireCrowds(t)
	t.Run("ready", func(t *testing.T) {
		assertDoor(t, httpCrowds(), func(t *testing.T) *crowdServer {
			e := startCrowdEntry(t)
			return e.withDoor(e.ready, "/readiness")
		})
	})
	t.Run("relay", func(t *testing.T) {
		assertDoor(t, httpCrowds(), func(t *testing.T) *crowdServer {
			e := startCrowdEntry(t)
			return e.withDoor(e.relay, "/rows-parts?table=none")
		})
	})
	t.Run("metrics", func(t *testing.T) {
		assertDoor(t, httpCrowds(), func(t *testing.T) *crowdServer {
			e := startCrowdEntry(t)
			return e.withDoor(e.metrics, "/metrics")
		})
	})
}

// startHostedCrowdAgent starts a hosted agent with lowered limits, without a
// store, and returns it with its addresses for reports and metrics.
func startHostedCrowdAgent(t *testing.T) (p *process, reports, metrics string) {
	c := newCluster(t)
	reports, metrics = c.freeAddress(), c.freeAddress()
	return c.startLimited("agent", fmt.Sprintf(`id: agent
place: {region: r, zone: a}
reports: %q
metrics: %q
service: svc
store: %q
memory: %d
`, reports, metrics, c.freeAddress(), crowdMemoryMiB), crowdDescriptors, "hosted", "agent"), reports, metrics
}

// TestCrowdsAtHostedAgent does the same for a hosted agent.
func TestCrowdsAtHostedAgent(t *testing.T) {
	requireCrowds(t)
	t.Run("reports", func(t *testing.T) {
		assertDoor(t, httpCrowds(), func(t *testing.T) *crowdServer {
			p, reports, _ := startHostedCrowdAgent(t)
			return newCrowdServer(t, p, reports, crowdDescriptors-crowdFiles, func(int) (int, error) {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://"+reports+"/instances/none", nil)
				if err != nil {
					return 0, err
				}
				return callAlone(request)
			})
		})
	})
	t.Run("metrics", func(t *testing.T) {
		assertDoor(t, httpCrowds(), func(t *testing.T) *crowdServer {
			p, _, metrics := startHostedCrowdAgent(t)
			return newCrowdServer(t, p, metrics, crowdDescriptors-crowdFiles, get(t, metrics, "/metrics"))
		})
	})
}
