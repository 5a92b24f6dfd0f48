package sesameapi

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/sesamestack/sesamestack/sesamestandin"
)

// countStoreCalls returns how many calls f makes to the platform's store.
func (e *testEntry) countStoreCalls(f func()) sesamestandin.Counters {
	e.t.Helper()
	before := e.table.Counters()
	f()
	after := e.table.Counters()
	return sesamestandin.Counters{
		Reads:        after.Reads - before.Reads,
		Writes:       after.Writes - before.Writes,
		ObjectReads:  after.ObjectReads - before.ObjectReads,
		ObjectWrites: after.ObjectWrites - before.ObjectWrites,
	}
}

// TestSubmitCost checks and logs how many store calls a submission makes; the
// figures are in docs/CAPACITY.md.
func TestSubmitCost(t *testing.T) {
	e := newTestEntry(t)
	e.mustSubmit(millToken, "warm", executorJob("pricing")) // reads the contracts
	for _, n := range []int{1, 10, 50} {
		cost := e.countStoreCalls(func() {
			for i := range n {
				e.mustSubmit(corkToken, fmt.Sprint(n, "-", i), executorJob("pricing"))
			}
		})
		t.Logf("%d jobs within a second: %d reads, %d writes, %d objects", n, cost.Reads, cost.Writes, cost.ObjectWrites)
		e.is.Equal(cost.Writes, n)
		e.is.Equal(cost.ObjectWrites, n)
		e.is.True(cost.Reads <= 1) // the team's open jobs are read once a second
	}
	t.Run("a repeated key", func(t *testing.T) {
		cost := e.countStoreCalls(func() {
			e.submit(corkToken, "1-0", executorJob("pricing"))
		})
		t.Logf("%d reads, %d writes, %d objects", cost.Reads, cost.Writes, cost.ObjectWrites)
		e.is.Equal(cost.Reads, 1)
	})
	t.Run("a refusal", func(*testing.T) {
		e.backend.load = 1
		cost := e.countStoreCalls(func() {
			e.requireProblem(e.submit(corkToken, "shed", executorJob("pricing")), Overloaded)
		})
		e.is.Equal(cost, sesamestandin.Counters{})
	})
}

// BenchmarkSubmit measures the handler's processor time for one submission,
// without the HTTP server's reading and writing of the connection.
func BenchmarkSubmit(b *testing.B) {
	e := newTestEntry(b)
	c := contract("cork", corkToken)
	c.Limits.OpenJobs = 1 << 30
	c.Limits.Burst = 1 << 30
	e.acceptContracts(2, c)
	for i := 0; b.Loop(); i++ {
		w := e.submit(corkToken, fmt.Sprint("k", i), executorJob("pricing"))
		if w.Code != http.StatusCreated {
			b.Fatal(w.Body.String())
		}
	}
}
