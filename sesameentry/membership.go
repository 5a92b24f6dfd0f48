package sesameentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

const (
	// renewInterval is how often an entry renews its row and reads the others.
	renewInterval = 2 * time.Second
	// maxMissedRenewals is how many renewals a live entry may miss.
	maxMissedRenewals = 3
)

// memberStore is what membership needs of the store.
type memberStore interface {
	Members(ctx context.Context) ([]sesamestore.Versioned[sesamemodel.Member], error)
	PutMember(ctx context.Context, m sesamestore.Versioned[sesamemodel.Member]) error
}

// membership renews this entry's row and follows those of the others.
type membership struct {
	store  memberStore
	roster *roster
	clock  clockwork.Clock
	log    *sesamelog.Logger
	scope  tally.Scope
	// onPlannerChange is called when another entry than before is preferred for the
	// region, so that jobs are handed over before newer ones reach that entry.
	onPlannerChange func()
	row             sesamestore.Versioned[sesamemodel.Member]
}

// run renews until ctx ends.
func (m *membership) run(ctx context.Context) error {
	ticker := m.clock.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		if err := m.renew(ctx); err != nil && ctx.Err() == nil {
			m.log.Emit(eventRenewalFailed, sesamelog.Fields{
				"error": err,
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// renew reads all members and writes this entry's row with the next beat.
func (m *membership) renew(ctx context.Context) error {
	rows, err := m.store.Members(ctx)
	if err != nil {
		return err
	}
	members := make([]sesamemodel.Member, 0, len(rows))
	for _, row := range rows {
		members = append(members, row.Value)
		if row.Value.ID == m.roster.self.ID {
			m.row = row
		}
	}
	m.observe(members)
	return m.write(ctx, m.roster.self)
}

// observe takes in the members and tells when the region's planner changes.
func (m *membership) observe(members []sesamemodel.Member) {
	region := m.roster.self.Region
	before := m.roster.First(region).ID
	m.roster.observe(members)
	m.scope.Gauge("entries_live").Update(float64(len(m.roster.liveMembers())))
	if m.roster.First(region).ID != before {
		m.onPlannerChange()
	}
}

// leave tells the other entries of a graceful stop.
func (m *membership) leave(ctx context.Context) {
	left := m.roster.self
	left.Left = true
	if err := m.write(ctx, left); err != nil {
		m.log.Emit(eventRenewalFailed, sesamelog.Fields{
			"error": err,
		})
	}
}

func (m *membership) write(ctx context.Context, next sesamemodel.Member) error {
	next.Heartbeat = m.row.Value.Heartbeat + 1
	row := m.row.With(next)
	err := m.store.PutMember(ctx, row)
	var conflict *sesametable.ConflictError
	if errors.As(err, &conflict) {
		return nil // the next renewal reads the row again
	}
	if err == nil {
		row.Version++
		m.row = row
	}
	return err
}
