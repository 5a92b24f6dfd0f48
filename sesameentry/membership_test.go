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

// fakeMemberStore lists members and takes every row.
type fakeMemberStore struct {
	rows []sesamestore.Versioned[sesamemodel.Member]
}

func (f *fakeMemberStore) Members(context.Context) ([]sesamestore.Versioned[sesamemodel.Member], error) {
	return f.rows, nil
}

func (f *fakeMemberStore) PutMember(context.Context, sesamestore.Versioned[sesamemodel.Member]) error {
	return nil
}

func memberRow(id string, beat uint64) sesamestore.Versioned[sesamemodel.Member] {
	return sesamestore.Versioned[sesamemodel.Member]{
		Value: sesamemodel.Member{
			ID:        id,
			Region:    "r",
			Heartbeat: beat,
		},
	}
}

// TestRenewalReportsPlannerChange covers a job that waited at its entry while
// a newer one was placed by the entry that had just begun to plan.
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
