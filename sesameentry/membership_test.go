package sesameentry

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

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
		store:  store,
		roster: newRoster(self, time.Minute, clockwork.NewFakeClock()),
		scope:  tally.NoopScope,
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
