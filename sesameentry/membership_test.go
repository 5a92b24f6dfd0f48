package sesameentry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// fakeMemberStore lists fixed rows, and accepts and ignores every write.
type fakeMemberStore struct {
	rows []sesamestore.Versioned[sesamemodel.Member]
}

func (f *fakeMemberStore) Members(context.Context) ([]sesamestore.Versioned[sesamemodel.Member], error) {
	return f.rows, nil
}

func (f *fakeMemberStore) PutMember(context.Context, sesamestore.Versioned[sesamemodel.Member]) error {
	return nil
}

// memberRow returns the row of an entry in region "r".
func memberRow(id string, heartbeat uint64) sesamestore.Versioned[sesamemodel.Member] {
	return sesamestore.Versioned[sesamemodel.Member]{
		Value: sesamemodel.Member{
			ID:        id,
			Region:    "r",
			Heartbeat: heartbeat,
		},
	}
}

// TestRenewalReportsPlannerChange checks that onPlannerChange is called once
// when another entry becomes leader. Without the call, a job that waits at the
// old leader is handed over late, and the new leader places newer jobs first.
func TestRenewalReportsPlannerChange(t *testing.T) {
	is := is.New(t)
	first, second := "entry-a", "entry-b"
	if score(first, "r") > score(second, "r") {
		first, second = second, first
	}
	store := &fakeMemberStore{}
	moved := 0
	self := memberRow(first, 0).Value
	m := &membership{
		store:     store,
		writeLock: make(chan struct{}, 1),
		roster:    newRoster(self, time.Minute, clockwork.NewFakeClock()),
		scope:     tally.NoopScope,
		onPlannerChange: func() {
			moved++
		},
	}
	is.NoErr(m.renew(context.Background()))
	is.Equal(moved, 0)
	store.rows = append(store.rows, memberRow(second, 1))
	is.NoErr(m.renew(context.Background()))
	is.Equal(moved, 1)
	is.NoErr(m.renew(context.Background()))
	is.Equal(moved, 1)
}

// slowMemberStore takes a second for each write and remembers the last row
// written. overlapped is set when a write began before the last one ended.
type slowMemberStore struct {
	writing    atomic.Bool
	overlapped atomic.Bool
	last       atomic.Pointer[sesamemodel.Member]
}

func (f *slowMemberStore) Members(context.Context) ([]sesamestore.Versioned[sesamemodel.Member], error) {
	return nil, nil
}

func (f *slowMemberStore) PutMember(_ context.Context, m sesamestore.Versioned[sesamemodel.Member]) error {
	if !f.writing.CompareAndSwap(false, true) {
		f.overlapped.Store(true)
	}
	time.Sleep(time.Second)
	f.last.Store(&m.Value)
	f.writing.Store(false)
	return nil
}

// TestLeaveDuringRenewal checks that an entry that leaves while it renews its
// row does not write the row twice at the same time, and that no renewal follows
// which would bring the entry back.
func TestLeaveDuringRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowMemberStore{}
		m := &membership{
			store:           store,
			writeLock:       make(chan struct{}, 1),
			roster:          newRoster(memberRow("entry-a", 0).Value, time.Minute, clockwork.NewRealClock()),
			scope:           tally.NoopScope,
			log:             sesamelog.Discard(),
			onPlannerChange: func() {},
		}
		var group errgroup.Group
		group.Go(func() error {
			return m.renew(t.Context())
		})
		group.Go(func() error {
			time.Sleep(100 * time.Millisecond)
			m.leave(t.Context())
			return nil
		})
		is.NoErr(group.Wait())
		is.NoErr(m.renew(t.Context()))
		is.True(!store.overlapped.Load())
		is.True(store.last.Load().Left)
		is.Equal(store.last.Load().Heartbeat, uint64(2))
	})
}
