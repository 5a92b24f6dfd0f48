package sesametable_test

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametable"
)

// noDeadlineTB hides the deadline of a test, which a synctest bubble has not.
type noDeadlineTB struct {
	rapid.TB
}

// maxWriteDelay is the latest that a late write takes effect.
const maxWriteDelay = 90 * time.Second

// newTable stacks a client on an in-memory store. In a synctest bubble the
// system's clock is a fake one.
func newTable(store *sesamestandin.Store, p sesamesettings.Platform) *sesametable.RetryingTable {
	clock := clockwork.NewRealClock()
	guard := sesametable.NewGuard(store, store, p, clock, tally.NoopScope, sesamelog.Discard())
	return sesametable.NewRetryingTable(guard, sesametable.RetryOptions{
		Clock: clock,
		Log:   sesamelog.Discard(),
	})
}

// writerGroup is one run of concurrent writers over a faulty store.
type writerGroup struct {
	store   *sesamestandin.Store
	writers []*sesametable.RetryingTable
	group   errgroup.Group

	mu       sync.Mutex
	effects  map[string]int
	outcomes map[string]error
	started  int
}

func newWriterGroup(writers int) *writerGroup {
	g := &writerGroup{
		store:    sesamestandin.NewStore(clockwork.NewRealClock()),
		effects:  map[string]int{},
		outcomes: map[string]error{},
	}
	g.store.Observe(g.countEffect)
	for range writers {
		g.writers = append(g.writers, newTable(g.store, sesamesettings.Platform{
			CallTimeout:     2 * time.Second,
			ReadsPerSecond:  400,
			WritesPerSecond: 60,
		}))
	}
	return g
}

var markerPattern = regexp.MustCompile(`op-\d+;`)

func (g *writerGroup) countEffect(t sesametable.Transaction) {
	g.effects[markerPattern.FindString(string(t.Puts[0].Value))]++
}

// plannedWrite is one transaction before the versions are read.
type plannedWrite struct {
	writer       int
	puts         []string
	checks       []string
	delete       string
	staleVersion bool
	timeout      time.Duration
}

// start commits in the background and records the outcome.
func (g *writerGroup) start(n plannedWrite) {
	name := fmt.Sprintf("op-%d;", g.started)
	g.started++
	g.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), n.timeout)
		defer cancel()
		t, err := n.readVersions(ctx, g.writers[n.writer], name)
		if err != nil {
			return nil
		}
		err = g.writers[n.writer].Commit(ctx, t)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.outcomes[name] = err
		return nil
	})
}

func (n plannedWrite) readVersions(ctx context.Context, table sesametable.Table, value string) (sesametable.Transaction, error) {
	var t sesametable.Transaction
	for _, key := range n.puts {
		version, err := versionOf(ctx, table, key)
		if err != nil {
			return t, err
		}
		if n.staleVersion && version > 0 {
			version--
		}
		t.Puts = append(t.Puts, sesametable.Put{
			Key:     key,
			Version: version,
			Value:   []byte(value),
		})
	}
	for _, key := range n.checks {
		version, err := versionOf(ctx, table, key)
		if err != nil {
			return t, err
		}
		t.Checks = append(t.Checks, sesametable.Check{
			Key:     key,
			Version: version,
		})
	}
	version, err := versionOf(ctx, table, n.delete)
	if err == nil && version > 0 {
		t.Deletes = append(t.Deletes, sesametable.Delete{
			Key:     n.delete,
			Version: version,
		})
	}
	return t, err
}

func versionOf(ctx context.Context, table sesametable.Table, key string) (uint64, error) {
	row, err := table.Get(ctx, key)
	var missing *sesametable.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return row.Version, err
}

// finish heals the store and lets all that is under way end.
func (g *writerGroup) finish() {
	g.store.SetFaults(sesamestandin.Faults{})
	_ = g.group.Wait()
	advance(2 * maxWriteDelay)
	_, _ = g.store.Get(context.Background(), "a")
}

// advance lets fake time advance.
func advance(d time.Duration) {
	<-time.After(d)
}

// assertOutcomes checks each reported outcome against what took effect, and
// counts them by kind.
func (g *writerGroup) assertOutcomes(t *rapid.T, seen map[string]int) {
	for name, err := range g.outcomes {
		kind := outcomeKind(err)
		seen[kind]++
		effects := g.effects[name]
		switch {
		case kind == "unknown and failed":
			t.Fatalf("%s is reported as both unknown and failed: %v", name, err)
		case effects > 1:
			t.Fatalf("%s took effect %d times", name, effects)
		case kind == "done" && effects != 1:
			t.Fatalf("%s is reported done and took no effect", name)
		case kind == "failed" && effects != 0:
			t.Fatalf("%s is reported failed (%v) and took effect", name, err)
		}
	}
}

// outcomeKind tells outcomes apart; one that is told as unknown must not pass for
// a conflict or an unavailable store too.
func outcomeKind(err error) string {
	var unknown *sesametable.OutcomeUnknownError
	var conflict *sesametable.ConflictError
	var unavailable *sesametable.UnavailableError
	hasNoEffect := errors.As(err, &conflict) || errors.As(err, &unavailable)
	switch {
	case err == nil:
		return "done"
	case hasNoEffect && errors.As(err, &unknown):
		return "unknown and failed"
	case hasNoEffect:
		return "failed"
	default:
		return "unknown"
	}
}

func drawFates(t *rapid.T, fates ...sesamestandin.WriteFault) func(int) sesamestandin.WriteFault {
	plan := rapid.SliceOfN(rapid.SampledFrom(fates), 1, 12).Draw(t, "fates")
	return func(number int) sesamestandin.WriteFault {
		return plan[number%len(plan)]
	}
}

func drawFaults(t *rapid.T) sesamestandin.Faults {
	return sesamestandin.Faults{
		Down:       rapid.IntRange(0, 3).Draw(t, "down") == 0,
		Latency:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "latency")) * time.Millisecond,
		ApplyDelay: time.Duration(rapid.IntRange(0, int(maxWriteDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond,
		OnWrite: drawFates(t, sesamestandin.NoFault, sesamestandin.AnswerLost,
			sesamestandin.AppliedLate, sesamestandin.WriteDropped),
	}
}

// drawPlannedWrite draws a transaction. Rows a to c are never deleted, and each
// transaction puts one of them, as sesametable.Transaction asks.
func drawPlannedWrite(t *rapid.T, writers int) plannedWrite {
	n := plannedWrite{
		writer: rapid.IntRange(0, writers-1).Draw(t, "writer"),
		puts: rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2,
			rapid.ID[string]).Draw(t, "puts"),
		staleVersion: rapid.IntRange(0, 9).Draw(t, "stale") == 0,
		timeout:      time.Duration(rapid.IntRange(1, 60).Draw(t, "limit")) * time.Second,
	}
	switch rapid.IntRange(0, 3).Draw(t, "extra") {
	case 0:
		n.delete = "d"
	case 1:
		n.puts = append(n.puts, "d")
	case 2:
		n.checks = []string{"d", "e"}
	}
	return n
}

// TestOutcomes runs writers over a store that is down, slow, loses answers
// and applies writes late: what is reported done took effect once, what is
// reported failed never does.
func TestOutcomes(t *testing.T) {
	const writers = 3
	seen := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			g := newWriterGroup(writers)
			t.Repeat(map[string]func(*rapid.T){
				"commit": func(t *rapid.T) {
					g.start(drawPlannedWrite(t, writers))
				},
				"faults": func(t *rapid.T) {
					g.store.SetFaults(drawFaults(t))
				},
				"heal": func(*rapid.T) {
					g.store.SetFaults(sesamestandin.Faults{})
				},
				"pass": func(t *rapid.T) {
					advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				},
			})
			g.finish()
			g.assertOutcomes(t, seen)
		})
	})
	t.Logf("outcomes %v", seen)
}

// TestOutcomesDecidable runs so few writers that the rows still tell: a store
// that answers every third attempt leaves no outcome unknown.
func TestOutcomesDecidable(t *testing.T) {
	const commits = 7 // one row remembers 8 writes
	seen := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			g := newWriterGroup(commits)
			createRow(t, g)
			fates := drawFates(t, sesamestandin.AnswerLost, sesamestandin.AppliedLate, sesamestandin.WriteDropped)
			g.store.SetFaults(sesamestandin.Faults{
				ApplyDelay: time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * time.Millisecond,
				OnWrite: func(number int) sesamestandin.WriteFault {
					if number%3 == 0 {
						return sesamestandin.NoFault
					}
					return fates(number)
				},
			})
			for writer := range commits {
				g.start(plannedWrite{
					writer:  writer,
					puts:    []string{"a"},
					timeout: time.Minute,
				})
				advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			}
			g.finish()
			g.assertOutcomes(t, seen)
			if seen["unknown"] > 0 {
				t.Fatalf("an outcome stays unknown that the row tells")
			}
		})
	})
	t.Logf("outcomes %v", seen)
}

// createRow creates the row a, so that later writes expect a version.
func createRow(t *rapid.T, g *writerGroup) {
	g.start(plannedWrite{
		puts:    []string{"a"},
		timeout: time.Minute,
	})
	if err := g.group.Wait(); err != nil {
		t.Fatal(err)
	}
}
