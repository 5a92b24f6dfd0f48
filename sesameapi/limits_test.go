package sesameapi

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

func limited(open, burst int, rate float64) sesamemodel.Contract {
	c := contract("cork", cork)
	c.Limits.OpenJobs = open
	c.Limits.Burst = burst
	c.Limits.Rate = rate
	return c
}

func TestRate(t *testing.T) {
	e := newEntry(t)
	e.accept(2, limited(100, 2, 0.5))
	e.submitted(cork, "k1", executorJob("pricing"))
	e.submitted(cork, "k2", executorJob("pricing"))
	w := e.submit(cork, "k3", executorJob("pricing"))
	problem := e.refused(w, RateLimited)
	e.is.Equal(problem.Outcome, Unchanged)
	e.is.Equal(w.Header().Get("Retry-After"), "2")
	e.is.Equal(e.submit(mill, "k3", executorJob("pricing")).Code, http.StatusCreated) // another team
	e.clock.Advance(2 * time.Second)
	e.submitted(cork, "k3", executorJob("pricing"))
}

func TestOpenJobs(t *testing.T) {
	t.Run("are bounded on one entry, whatever comes at once", func(t *testing.T) {
		e := newEntry(t)
		e.accept(2, limited(3, 100, 100))
		var group errgroup.Group
		codes := make([]int, 20)
		for i := range codes {
			group.Go(func() error {
				codes[i] = e.submit(cork, fmt.Sprint("k", i), executorJob("pricing")).Code
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
		e.refused(e.submit(cork, "k99", executorJob("pricing")), TooManyOpen)
	})
	t.Run("a repeated key is answered at the limit", func(t *testing.T) {
		e := newEntry(t)
		e.accept(2, limited(1, 100, 100))
		e.submitted(cork, "k1", executorJob("pricing"))
		e.is.Equal(e.submit(cork, "k1", executorJob("pricing")).Code, http.StatusOK)
	})
	t.Run("an ended job makes room", func(t *testing.T) {
		e := newEntry(t)
		e.accept(2, limited(1, 100, 100))
		e.cancel(e.submitted(cork, "k1", executorJob("pricing")).ID)
		e.clock.Advance(openCountAge + time.Millisecond)
		e.submitted(cork, "k2", executorJob("pricing"))
	})
}

// TestShedding raises the load: the less urgent work is turned away first.
func TestShedding(t *testing.T) {
	admitted := func(load float64) []string {
		e := newEntry(t)
		e.backend.load = load
		var classes []string
		for _, class := range []string{"pricing", "reconcile", "train"} {
			w := e.submit(cork, class, executorJob(class))
			if w.Code == http.StatusCreated {
				classes = append(classes, class)
				continue
			}
			e.refused(w, Overloaded)
		}
		return classes
	}
	e := newEntry(t)
	e.is.Equal(admitted(0.5), []string{"pricing", "reconcile", "train"})
	e.is.Equal(admitted(0.75), []string{"pricing", "reconcile"})
	e.is.Equal(admitted(0.85), []string{"pricing"})
	e.is.Equal(admitted(0.99), []string{"pricing"})
	e.is.Equal(len(admitted(1)), 0)
	t.Run("urgent work that no contract owes goes before the owed", func(t *testing.T) {
		e := newEntry(t)
		e.backend.load = 0.95
		q := executorJob("pricing")
		q.Kind = sesamemodel.Worker
		q.Task = sesamemodel.Resources{
			Accelerators: 1,
		}
		e.refused(e.submit(cork, "k1", q), Overloaded)
		c := contract("cork", cork)
		c.Guarantees = []sesamemodel.Shape{
			{
				Workers:      1,
				Accelerators: 8,
				Span:         sesamemodel.SpanWorker,
			},
		}
		e.accept(2, c)
		e.clock.Advance(inForceWithin)
		e.submitted(cork, "k2", q)
	})
}
