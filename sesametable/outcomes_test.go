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

// noDeadlineTB hides the Deadline method of a test, because a test in a
// synctest bubble may not call it.
type noDeadlineTB struct {
	rapid.TB
}

// maxWriteDelay is the longest time after which a late write takes effect.
const maxWriteDelay = 90 * time.Second

// newTable wraps an in-memory store with a Guard and retries, as NewClient does
// for HTTP. In a synctest bubble the system's clock is a fake one.
func newTable(store *sesamestandin.Store, p sesamesettings.Platform) *sesametable.RetryingTable {
	clock := clockwork.NewRealClock()
	guard := sesametable.NewGuard(store, store, p, clock, tally.NoopScope, sesamelog.Discard())
	return sesametable.NewRetryingTable(guard, sesametable.RetryOptions{
		Clock: clock,
		Log:   sesamelog.Discard(),
	})
}

// writerGroup runs concurrent writers on one faulty store, and records what
// each write reported and how often it took effect.
type writerGroup struct {
	store   *sesamestandin.Store
	writers []*sesametable.RetryingTable
	group   errgroup.Group

	// mu guards outcomes. Effects are counted under the store's own lock.
	mu sync.Mutex
	// effects counts, by the write's name, how often it took effect.
	effects map[string]int
	// outcomes has what Commit returned, by the write's name.
	outcomes map[string]error
	// started is the number of writes started so far.
	started int
}

// newWriterGroup returns writers on a store without faults. Each has its own
// rate limits and its own cache of write histories.
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

// markerPattern matches the name of a write in a row's value.
var markerPattern = regexp.MustCompile(`op-\d+;`)

// countEffect is called by the store for each transaction that takes effect.
func (g *writerGroup) countEffect(t sesametable.Transaction) {
	g.effects[markerPattern.FindString(string(t.Puts[0].Value))]++
}

// plannedWrite describes a transaction before the versions of its rows are
// read.
type plannedWrite struct {
	// writer is the index of the writer that commits.
	writer int
	// puts, checks and delete are the keys that the transaction uses; delete may
	// be empty.
	puts   []string
	checks []string
	delete string
	// staleVersion makes the puts expect one version too old.
	staleVersion bool
	// timeout bounds reading the versions and committing together.
	timeout time.Duration
}

// start reads the versions and commits in the background, and records the
// outcome.
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

// readVersions reads the current versions and returns the transaction.
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

// versionOf returns the row's version, or 0 when it is absent.
func versionOf(ctx context.Context, table sesametable.Table, key string) (uint64, error) {
	row, err := table.Get(ctx, key)
	var missing *sesametable.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return row.Version, err
}

// finish removes all faults and waits until every writer has returned and every
// late write has taken effect or failed. The last read makes the store apply
// the writes that are due.
func (g *writerGroup) finish() {
	g.store.SetFaults(sesamestandin.Faults{})
	_ = g.group.Wait()
	advance(2 * maxWriteDelay)
	_, _ = g.store.Get(context.Background(), "a")
}

// advance lets the bubble's fake time pass.
func advance(d time.Duration) {
	<-time.After(d)
}

// assertOutcomes checks each reported outcome against what took effect, and
// counts the outcomes by kind in seen.
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

// outcomeKind classifies what Commit returned. An unknown outcome must not
// match a conflict or an unavailable platform too, since callers would take
// those to mean that the write had no effect.
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

// drawWriteFaults draws a sequence of faults for the writes, which repeats.
func drawWriteFaults(t *rapid.T, faults ...sesamestandin.WriteFault) func(int) sesamestandin.WriteFault {
	sequence := rapid.SliceOfN(rapid.SampledFrom(faults), 1, 12).Draw(t, "fates")
	return func(number int) sesamestandin.WriteFault {
		return sequence[number%len(sequence)]
	}
}

// drawFaults draws the store's faults, including lost, late and dropped writes.
func drawFaults(t *rapid.T) sesamestandin.Faults {
	return sesamestandin.Faults{
		Down:       rapid.IntRange(0, 3).Draw(t, "down") == 0,
		Latency:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "latency")) * time.Millisecond,
		ApplyDelay: time.Duration(rapid.IntRange(0, int(maxWriteDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond,
		OnWrite: drawWriteFaults(t, sesamestandin.NoFault, sesamestandin.AnswerLost,
			sesamestandin.AppliedLate, sesamestandin.WriteDropped),
	}
}

// drawPlannedWrite draws a transaction. Rows a to c are never deleted, and each
// transaction puts one of them, as the comment of sesametable.Transaction
// requires.
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

// TestOutcomes runs writers on a store that is down or slow, loses answers and
// applies writes late. A write reported done took effect once; a write reported
// failed never does.
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

// TestOutcomesDecidable runs no more writes than a row remembers tokens, on a
// store that answers every third attempt. Then every outcome can be found out,
// and none may be reported unknown.
func TestOutcomesDecidable(t *testing.T) {
	const commits = 7 // one row remembers 8 writes
	seen := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			g := newWriterGroup(commits)
			createRow(t, g)
			faults := drawWriteFaults(t, sesamestandin.AnswerLost, sesamestandin.AppliedLate, sesamestandin.WriteDropped)
			g.store.SetFaults(sesamestandin.Faults{
				ApplyDelay: time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * time.Millisecond,
				OnWrite: func(number int) sesamestandin.WriteFault {
					if number%3 == 0 {
						return sesamestandin.NoFault
					}
					return faults(number)
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
				t.Fatalf("an outcome is reported unknown although the row's history shows it")
			}
		})
	})
	t.Logf("outcomes %v", seen)
}

// createRow creates the row a, so that later writes expect a version of it
// instead of its absence.
func createRow(t *rapid.T, g *writerGroup) {
	g.start(plannedWrite{
		puts:    []string{"a"},
		timeout: time.Minute,
	})
	if err := g.group.Wait(); err != nil {
		t.Fatal(err)
	}
}
