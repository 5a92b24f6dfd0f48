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
	// renewInterval is how often an entry writes its member row with a higher
	// heartbeat, and reads those of the other entries.
	renewInterval = 2 * time.Second
	// maxMissedRenewals is how many renewals an entry may miss and still count
	// as live.
	maxMissedRenewals = 3
)

// memberStore is the part of the store that membership uses.
type memberStore interface {
	Members(ctx context.Context) ([]sesamestore.Versioned[sesamemodel.Member], error)
	PutMember(ctx context.Context, m sesamestore.Versioned[sesamemodel.Member]) error
}

// membership renews this entry's member row, and gives the roster the rows
// of all members at each renewal.
type membership struct {
	store  memberStore
	roster *roster
	clock  clockwork.Clock
	log    *sesamelog.Logger
	scope  tally.Scope
	// onPlannerChange is called when another entry than before becomes leader
	// of the region, so that this entry hands the jobs that it knows over to the
	// new leader before the leader receives newer ones.
	onPlannerChange func()

	// writeLock is held while the row is read or written, so that leave and a
	// renewal don't overlap. It is a channel of capacity 1, since a waiting
	// caller has a deadline.
	writeLock chan struct{}
	// hasLeft is true once leave was called; then no renewal follows.
	hasLeft bool
	// row is this entry's own row as last read or written.
	row sesamestore.Versioned[sesamemodel.Member]
}

// run renews this entry's row at once and then every renewInterval, until ctx
// ends; then it returns nil. Failed renewals are logged.
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

// renew reads the rows of all members and writes this entry's row with the
// next heartbeat number. After leave it does nothing.
func (m *membership) renew(ctx context.Context) error {
	if err := m.lock(ctx); err != nil {
		return err
	}
	defer m.unlock()
	if m.hasLeft {
		return nil
	}
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

// observe gives the roster the member rows just read, and calls onPlannerChange
// when the region has another leader afterwards.
func (m *membership) observe(members []sesamemodel.Member) {
	region := m.roster.self.Region
	before := m.roster.First(region).ID
	m.roster.observe(members)
	m.scope.Gauge("entries_live").Update(float64(len(m.roster.liveMembers())))
	if m.roster.First(region).ID != before {
		m.onPlannerChange()
	}
}

// leave marks this entry's row as left, so that the other entries stop
// counting on it at their next renewal and not only after the roster's timeout.
func (m *membership) leave(ctx context.Context) {
	if err := m.writeLeft(ctx); err != nil {
		m.log.Emit(eventRenewalFailed, sesamelog.Fields{
			"error": err,
		})
	}
}

// writeLeft writes the row as that of an entry that has left, and lets no
// renewal follow.
func (m *membership) writeLeft(ctx context.Context) error {
	if err := m.lock(ctx); err != nil {
		return err
	}
	defer m.unlock()
	m.hasLeft = true
	left := m.roster.self
	left.Left = true
	return m.write(ctx, left)
}

// lock takes writeLock, or returns the error of ctx when that ends first.
func (m *membership) lock(ctx context.Context) error {
	select {
	case m.writeLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unlock releases writeLock.
func (m *membership) unlock() {
	<-m.writeLock
}

// write puts the member as this entry's row with the next heartbeat number. A
// conflict with another write of the row is no error. The caller holds the lock.
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
