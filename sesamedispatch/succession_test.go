package sesamedispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamework"
)

// leaderRow is what the tests read of the leader's row.
type leaderRow struct {
	Name     string           `json:"name"`
	Released bool             `json:"released"`
	Next     string           `json:"next"`
	Handed   int64            `json:"handed"`
	Avoid    map[string]int64 `json:"avoid"`
}

// leader reads the leader's row.
func (w *world) leader() leaderRow {
	w.t.Helper()
	row, _, err := sesamerows.ReadRow(w.ctx, w.store, sesamework.LeaderKey())
	is.New(w.t).NoErr(err)
	var found leaderRow
	is.New(w.t).NoErr(json.Unmarshal(sesamerows.DecodeFenceValue(row.Value), &found))
	return found
}

// handOvers reads the leader's row for that time. It returns the hand-overs in it.
func (w *world) handOvers(d time.Duration) []leaderRow {
	w.t.Helper()
	var all []leaderRow
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); w.sleep(10 * time.Millisecond) {
		found := w.leader()
		if found.Next != "" && (len(all) == 0 || all[len(all)-1].Handed != found.Handed) {
			all = append(all, found)
		}
	}
	return all
}

// unevenWorld is newWorld whose entries have those thousandths of a core. The first
// one plans.
func unevenWorld(t *testing.T, cores ...int64) *world {
	w := newWorld(t, len(cores), 4)
	for _, e := range w.entries {
		e.stop()
	}
	w.sleep(time.Second)
	w.mu.Lock()
	w.announced = map[string]sesamerows.Size{}
	w.mu.Unlock()
	for i, e := range w.entries {
		e.announce(cores[i])
		e.start()
		w.sleep(10 * time.Millisecond)
	}
	w.sleep(time.Second)
	return w
}

// announce changes the size that the others read of the entry, and that it has itself
// from its next start on.
func (e *entryProcess) announce(cores int64) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.size = sesamerows.Size{
		Cores:  cores,
		Memory: 184,
	}
	e.w.announced[e.name] = e.size
}

// TestHandOver guards against a small entry that plans beside larger ones: it hands
// over once, to the largest, and urgent work that comes meanwhile starts in time.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := unevenWorld(t, 200, 400, 800, 780)
		is.Equal(w.leader().Name, "entry-0")
		found := make(chan []leaderRow, 1)
		w.group.Go(func() error {
			found <- w.handOvers(time.Minute)
			return nil
		})
		w.assertUrgentStarts(30, 200*time.Millisecond)
		is.Equal(w.leader().Name, "entry-2")
		is.Equal(len(<-found), 1)
		is.Equal(w.leader().Name, "entry-2")
		assertPromisesKept(t, w, time.Minute)
	})
}

// TestSuccessorIsGone guards against an entry that is named again and again though its
// process has ended, and against a lead that stays vacant for it.
func TestSuccessorIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := unevenWorld(t, 400, 400)
		w.mu.Lock()
		w.announced["gone"] = sesamerows.Size{
			Cores: 800,
		}
		w.mu.Unlock()
		found := make(chan []leaderRow, 1)
		w.group.Go(func() error {
			found <- w.handOvers(4 * time.Minute)
			return nil
		})
		w.assertUrgentStarts(30, 200*time.Millisecond)
		is.Equal(len(<-found), 1)
		is.True(w.leader().Avoid["gone"] > 0)
		assertPromisesKept(t, w, time.Minute)
	})
}

// TestSuccessorRestarts restarts the named successor at once, and lets it take over
// all the same, or stops it, so that another entry takes over in its place.
func TestSuccessorRestarts(t *testing.T) {
	for name, away := range map[string]time.Duration{
		"at once":      0,
		"stays away":   time.Minute,
		"returns late": 1200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := unevenWorld(t, 200, 800, 200)
				for range 10000 {
					if w.leader().Next != "" {
						break
					}
					w.sleep(time.Millisecond)
				}
				is.Equal(w.leader().Next, "entry-1")
				w.entries[1].stop()
				w.group.Go(func() error {
					w.sleep(away)
					w.entries[1].start()
					return nil
				})
				const bound = 1700 * time.Millisecond // 1 s, a poll, and the reading
				w.sleep(bound)
				is.True(!w.leader().Released)
				if away == 0 {
					is.Equal(w.leader().Name, "entry-1")
				}
				is.True(len(w.handOvers(29*time.Second)) == 0)
				w.entries[1].stop()
				assertPromisesKept(t, w, time.Minute)
			})
		})
	}
}

// TestFlappingSizes guards against planning that changes hands again and again: two
// entries exchange their sizes each 5 s.
func TestFlappingSizes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := unevenWorld(t, 200, 800)
		w.group.Go(func() error {
			for i := range 30 {
				w.entries[i%2].announce(800)
				w.entries[1-i%2].announce(200)
				w.entries[i%2].start()
				w.entries[1-i%2].start()
				w.sleep(5 * time.Second)
			}
			return nil
		})
		all := w.handOvers(150 * time.Second)
		is.True(len(all) > 0)
		for i := 1; i < len(all); i++ {
			is.True(all[i].Handed-all[i-1].Handed >= (30 * time.Second).Milliseconds())
		}
	})
}

// TestNoHandOverWhileStoreIsSlow guards against a lead that stays vacant because the
// successor can't read the store.
func TestNoHandOverWhileStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := unevenWorld(t, 200, 800)
		w.slowStore(slowTransaction, slowAnswer)
		is.Equal(len(w.handOvers(30*time.Second)), 0)
		w.setFaults(func(bool) sesamestandin.RowFault {
			return sesamestandin.RowFault{
				Refused: true,
			}
		})
		is.Equal(len(w.handOvers(10*time.Second)), 0)
		w.serialStore.SetCommitTime(0)
		w.setFaults(nil)
		is.Equal(len(w.handOvers(10*time.Second)), 1)
		is.Equal(w.leader().Name, "entry-1")
	})
}

// TestLargerEntryTakesOver kills the planner without a word. A larger one of the
// others must take over, so that no hand-over follows.
func TestLargerEntryTakesOver(t *testing.T) {
	for _, offset := range []int{0, 100, 200, 300, 400} {
		t.Run(fmt.Sprint(offset, " ms"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := unevenWorld(t, 800, 200, 210, 790)
				w.sleep(time.Duration(offset) * time.Millisecond)
				is.Equal(w.leader().Name, "entry-0")
				w.entries[0].rows.SetFault(func(bool) sesamestandin.RowFault {
					return sesamestandin.RowFault{
						Refused: true,
					}
				})
				w.entries[0].stop()
				w.sleep(3 * time.Second)
				is.Equal(w.leader().Name, "entry-3")
				is.Equal(len(w.handOvers(20*time.Second)), 0)
			})
		})
	}
}

// countedStore counts the calls that don't wait for changes.
type countedStore struct {
	sesamerows.Store
	reads, writes *atomic.Int64
}

func (c *countedStore) Read(ctx context.Context, r sesamerows.Range) (sesamerows.Page, error) {
	c.reads.Add(1)
	return c.Store.Read(ctx, r)
}

func (c *countedStore) Parts(ctx context.Context, table string) ([]string, error) {
	c.reads.Add(1)
	return c.Store.Parts(ctx, table)
}

func (c *countedStore) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	c.writes.Add(1)
	return c.Store.Commit(ctx, t)
}

// TestAlikeEntries checks that entries of the same size call the store as often as
// those that announce none, and write the leader's row as before sizes were announced.
func TestAlikeEntries(t *testing.T) {
	play := func(cores int64) (reads, writes int64, row string) {
		synctest.Test(t, func(t *testing.T) {
			w := unevenWorld(t, cores, cores, cores)
			var allReads, allWrites atomic.Int64
			for _, e := range w.entries {
				e.stop()
				e.store = &countedStore{
					Store:  e.rows,
					reads:  &allReads,
					writes: &allWrites,
				}
			}
			w.sleep(time.Second)
			for _, e := range w.entries {
				e.start()
				w.sleep(10 * time.Millisecond)
			}
			w.sleep(time.Minute)
			w.entries[0].rows.SetFault(func(bool) sesamestandin.RowFault {
				return sesamestandin.RowFault{
					Refused: true,
				}
			})
			w.entries[0].stop() // without a word
			w.sleep(10 * time.Second)
			found, _, err := sesamerows.ReadRow(w.ctx, w.store, sesamework.LeaderKey())
			is.New(t).NoErr(err)
			reads, writes = allReads.Load(), allWrites.Load()
			row = string(sesamerows.DecodeFenceValue(found.Value))
		})
		return reads, writes, row
	}
	is := is.New(t)
	reads, writes, row := play(400)
	readsWithout, writesWithout, rowWithout := play(0)
	is.Equal(reads, readsWithout)
	is.Equal(writes, writesWithout)
	is.Equal(row, rowWithout)
	var fields map[string]any
	is.NoErr(json.Unmarshal([]byte(row), &fields))
	is.Equal(len(fields), 2) // name and epoch
}
