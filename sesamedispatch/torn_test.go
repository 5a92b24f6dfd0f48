package sesamedispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// busyMemory is a store that others write to ahead of a planner's reads.
type busyMemory struct {
	*sesamerows.Memory
	// beforeRead is called ahead of each read, by one reader at a time; it may be
	// nil.
	beforeRead func(r sesamerows.Range)

	mu sync.Mutex
}

// Read calls beforeRead and then reads.
func (m *busyMemory) Read(ctx context.Context, r sesamerows.Range) (sesamerows.Page, error) {
	m.mu.Lock()
	if m.beforeRead != nil {
		m.beforeRead(r)
	}
	m.mu.Unlock()
	return m.Memory.Read(ctx, r)
}

// unit returns the unit of a job with one task, as the planner knows it.
func (f *termFixture) unit(job string) *unit {
	f.t.Helper()
	u, ok := f.term.view.createByID(sesamework.UnitID{Job: job})
	f.is.True(ok)
	return u
}

// commit writes the rows in one transaction.
func (f *termFixture) commit(rows ...sesamerows.Row) {
	f.t.Helper()
	var t sesamerows.Transaction
	for _, row := range rows {
		t.Writes = append(t.Writes, sesamerows.Write{
			Key:   row.Key,
			Value: row.Value,
		})
	}
	_, err := f.memory.Commit(f.t.Context(), t)
	f.is.NoErr(err)
}

// replacePlanner lets another planner take over that reads from the store.
func (f *termFixture) replacePlanner(store sesamerows.Store) {
	f.t.Helper()
	f.term.stepDown()
	options := f.term.o
	options.Name = "other"
	options.Store = store
	planner := NewPlanner(options)
	absent, err := planner.isLeaderAbsent(f.t.Context())
	f.is.NoErr(err)
	f.is.True(absent)
	f.term, err = planner.takeOver(f.t.Context())
	f.is.NoErr(err)
}

// followOnce applies the next changes of the feed.
func (f *termFixture) followOnce() {
	f.t.Helper()
	batch, err := f.term.follower.Next(f.t.Context())
	f.is.NoErr(err)
	_, err = f.term.apply(f.t.Context(), batch)
	f.is.NoErr(err)
}

// TestDoneRunStartsAgain records a run as done and its target as gone while a new
// planner reads the pages between the two rows, and checks that the run does not
// start again.
func TestDoneRunStartsAgain(t *testing.T) {
	first, second := newTarget("a"), newTarget("b")
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(first, 0))
	f.decide(1)
	f.is.True(f.unit("job").isActive())
	f.write(targetRow(second, 0))
	var fillers []sesamerows.Row
	for i := range sesamerows.MaxPageRows {
		fillers = append(fillers, endRow(fmt.Sprintf("other%03d", i), 1, first, sesamework.EndDone))
	}
	for some := range slices.Chunk(fillers, sesamerows.MaxEntries) {
		f.commit(some...)
	}
	gone := first
	gone.State = sesamework.TargetGone
	store := &busyMemory{
		Memory: f.memory,
	}
	ended := false
	store.beforeRead = func(r sesamerows.Range) {
		if !ended && r.Part == fillers[0].Key.Part && r.From != "" {
			ended = true
			f.commit(endRow("job", 1, first, sesamework.EndDone), targetRow(gone, 0))
		}
	}
	f.replacePlanner(store)
	f.is.True(ended)
	f.decide(1)
	f.commit(targetRow(second, 0))
	f.followOnce()
	f.is.True(f.unit("job").done)
	f.is.Equal(f.unit("job").run.Number, 1)
}

// TestRebuildGivesUpNewTarget starts a run on a new life of a target, which the
// planner knows from a conflict, while a snapshot from before that life waits to
// be applied. The view that is read anew must not take the run for lost.
func TestRebuildGivesUpNewTarget(t *testing.T) {
	target := newTarget("a")
	target.SilentFor = 2000
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(target, 0))
	snapshot, err := newWorkFollower(f.memory).Next(t.Context())
	f.is.NoErr(err)
	target.SilentFor = 0
	target.Life++
	f.commit(targetRow(target, 0))
	f.applyInventory()
	f.decide(2)
	f.is.True(f.unit("job").isActive())
	_, err = f.term.apply(t.Context(), snapshot)
	f.is.NoErr(err)
	f.is.True(f.unit("job").isActive())
	f.commit(endRow("job", 1, target, sesamework.EndDone))
	f.decide(1)
	f.followOnce()
	f.is.True(f.unit("job").done)
	f.is.Equal(f.unit("job").run.Number, 1)
}

// TestRebuildForgetsNewTarget starts a run on a target whose row was removed and
// written again before the view was read anew. The feed then brings the removal,
// which must not end the run.
func TestRebuildForgetsNewTarget(t *testing.T) {
	target := newTarget("a")
	row := targetRow(target, 0)
	f := newTermFixture(t, row)
	snapshot, err := newWorkFollower(f.memory).Next(t.Context())
	f.is.NoErr(err)
	removed, err := f.memory.Commit(t.Context(), sesamerows.Transaction{
		Removes: []sesamerows.Key{row.Key},
	})
	f.is.NoErr(err)
	f.write(row, jobFillingTarget("job", 1))
	_, err = f.term.apply(t.Context(), snapshot)
	f.is.NoErr(err)
	f.decide(1)
	f.is.True(f.unit("job").isActive())
	_, err = f.term.apply(t.Context(), sesamerows.Batch{
		Rows: []sesamerows.Row{{
			Key:     row.Key,
			Version: removed,
			Removed: true,
		}},
		Version: removed,
	})
	f.is.NoErr(err)
	f.is.True(f.unit("job").isActive())
}

// TestViewLog checks that the log tells from which rows a new planner filled its
// view.
func TestViewLog(t *testing.T) {
	f := newTermFixture(t, jobFillingTarget("job", 1), targetRow(newTarget("a"), 0))
	f.decide(1)
	store := &busyMemory{
		Memory: f.memory,
	}
	written := false
	store.beforeRead = func(r sesamerows.Range) {
		if !written && r.Part == sesamework.JobKey("job").Part && r.Table == sesamework.WorkTable {
			written = true
			f.write(targetRow(newTarget("b"), 0))
		}
	}
	var log bytes.Buffer
	f.term.o.Log = sesamelog.New(&log, sesamelog.Info, sesamelog.JSON)
	f.replacePlanner(store)
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	var fields map[string]any
	f.is.NoErr(json.Unmarshal([]byte(lines[len(lines)-1]), &fields))
	parts, err := f.memory.Parts(t.Context(), sesamework.WorkTable)
	f.is.NoErr(err)
	for name, value := range map[string]int{
		"event":    eventPlanningBegins.Number,
		"jobs":     1,
		"targets":  2,
		"units":    2, // the unit, and its job with the step
		"ends":     0,
		"runs":     1,
		"states":   2,              // of the entry and of the first planner
		"parts":    len(parts) - 1, // the part of target b came later
		"replayed": 1,
	} {
		f.is.Equal(fields[name], float64(value)) // the field's value
	}
	f.is.True(fields["version"].(float64) > 0)
}
