package sesameapi

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// contractWithLimits returns the contract of team cork with other limits: open
// jobs, burst, and rate in submissions a second.
func contractWithLimits(open, burst int, rate float64) sesamemodel.Contract {
	c := contract("cork", corkToken)
	c.Limits.OpenJobs = open
	c.Limits.Burst = burst
	c.Limits.Rate = rate
	return c
}

// TestRate checks that submissions above a team's rate are refused with the time
// until the next is allowed, and that other teams are not affected.
func TestRate(t *testing.T) {
	e := newTestEntry(t)
	e.acceptContracts(2, contractWithLimits(100, 2, 0.5))
	e.mustSubmit(corkToken, "k1", executorJob("pricing"))
	e.mustSubmit(corkToken, "k2", executorJob("pricing"))
	w := e.submit(corkToken, "k3", executorJob("pricing"))
	problem := e.requireProblem(w, RateLimited)
	e.is.Equal(problem.Outcome, Unchanged)
	e.is.Equal(w.Header().Get("Retry-After"), "2")
	e.is.Equal(e.submit(millToken, "k3", executorJob("pricing")).Code, http.StatusCreated) // another team
	e.clock.Advance(2 * time.Second)
	e.mustSubmit(corkToken, "k3", executorJob("pricing"))
}

// TestOpenJobs checks that the limit on a team's open jobs holds under concurrent
// submissions, that a repeated key is answered at the limit, and that an ended job
// makes room.
func TestOpenJobs(t *testing.T) {
	t.Run("are bounded on one entry, whatever comes at once", func(t *testing.T) {
		e := newTestEntry(t)
		e.acceptContracts(2, contractWithLimits(3, 100, 100))
		var group errgroup.Group
		codes := make([]int, 20)
		for i := range codes {
			group.Go(func() error {
				codes[i] = e.submit(corkToken, fmt.Sprint("k", i), executorJob("pricing")).Code
				return nil
			})
		}
		e.is.NoErr(group.Wait())
		created := 0
		for _, code := range codes {
			if code == http.StatusCreated {
				created++
			}
		}
		e.is.Equal(created, 3)
		e.requireProblem(e.submit(corkToken, "k99", executorJob("pricing")), TooManyOpen)
	})
	t.Run("a repeated key is answered at the limit", func(t *testing.T) {
		e := newTestEntry(t)
		e.acceptContracts(2, contractWithLimits(1, 100, 100))
		e.mustSubmit(corkToken, "k1", executorJob("pricing"))
		e.is.Equal(e.submit(corkToken, "k1", executorJob("pricing")).Code, http.StatusOK)
	})
	t.Run("an ended job makes room", func(t *testing.T) {
		e := newTestEntry(t)
		e.acceptContracts(2, contractWithLimits(1, 100, 100))
		e.cancel(e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID)
		e.clock.Advance(openCountMaxAge + time.Millisecond)
		e.mustSubmit(corkToken, "k2", executorJob("pricing"))
	})
}

// TestShedding checks which urgencies are accepted at which load: less urgent work
// is refused first, and urgent work that no guarantee covers before work that one
// may cover.
func TestShedding(t *testing.T) {
	admitted := func(load float64) []string {
		e := newTestEntry(t)
		e.backend.load = load
		var classes []string
		for _, class := range []string{"pricing", "reconcile", "train"} {
			w := e.submit(corkToken, class, executorJob(class))
			if w.Code == http.StatusCreated {
				classes = append(classes, class)
				continue
			}
			e.requireProblem(w, Overloaded)
		}
		return classes
	}
	e := newTestEntry(t)
	e.is.Equal(admitted(0.5), []string{"pricing", "reconcile", "train"})
	e.is.Equal(admitted(0.75), []string{"pricing", "reconcile"})
	e.is.Equal(admitted(0.85), []string{"pricing"})
	e.is.Equal(admitted(0.99), []string{"pricing"})
	e.is.Equal(len(admitted(1)), 0)
	t.Run("urgent work outside guarantees is refused before urgent work within them", func(t *testing.T) {
		e := newTestEntry(t)
		e.backend.load = 0.95
		q := executorJob("pricing")
		q.Kind = sesamemodel.Worker
		q.Task = sesamemodel.Resources{
			Accelerators: 1,
		}
		e.requireProblem(e.submit(corkToken, "k1", q), Overloaded)
		c := contract("cork", corkToken)
		c.Guarantees = []sesamemodel.Shape{
			{
				Workers:      1,
				Accelerators: 8,
				Span:         sesamemodel.SpanWorker,
			},
		}
		e.acceptContracts(2, c)
		e.clock.Advance(maxContractDelay)
		e.mustSubmit(corkToken, "k2", q)
	})
}
