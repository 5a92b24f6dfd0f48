package sesamekeeper

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
	"github.com/sesamestack/sesamestack/sesamewire"
)

const (
	// flushInterval is how often pending changes are written to the cells' rows.
	// Targets that announce themselves within one interval share one write.
	flushInterval = 100 * time.Millisecond
	// maxParallelAdopts bounds the parallel Adopt calls to the agents of a cell
	// after a take-over.
	maxParallelAdopts = 16
	// adoptTimeout bounds all those calls together, since the rows of other cells
	// are written only afterwards.
	adoptTimeout = 500 * time.Millisecond
)

// Cells reads and writes the rows of cells, with optimistic concurrency.
type Cells interface {
	// Cell returns the row as last known, which may be out of date, or a
	// *sesametable.NotFoundError.
	Cell(ctx context.Context, id sesamemodel.CellID) (sesamestore.Versioned[sesamemodel.Cell], error)
	// CommitCell writes the row if its version has not changed. After a failed
	// write, Cell reads the row afresh.
	CommitCell(ctx context.Context, cell sesamestore.Versioned[sesamemodel.Cell]) error
}

// Roster is the list of live entries, in an order of preference for each cell.
type Roster interface {
	// First returns the live entry that is preferred as the keeper of the cell,
	// given by its ID.
	First(cell string) sesamemodel.Member
}

// Dialer returns clients for calls to agents.
type Dialer interface {
	// Agent returns a client for the agent at an address, as host:port.
	Agent(address string) sesamewire.DRPCAgentClient
}

// Options are the settings and dependencies of a Service.
type Options struct {
	// Self is the entry that the service runs in.
	Self sesamemodel.Member
	// Lease is the length of the leases that are granted to targets.
	Lease time.Duration
	// Margin is how much longer than a lease a target may be silent before it is
	// marked lost.
	Margin time.Duration
	Cells  Cells
	Roster Roster
	Dialer Dialer
	Clock  clockwork.Clock
	Log    *sesamelog.Logger
	// Contracts returns the number of the newest contracts that the entry knows.
	Contracts func() uint64
}

// Service answers the heartbeats of agents, and writes registrations and lost
// targets to the rows of the cells that its entry keeps.
type Service struct {
	options Options
	// mu guards the registry. It is not held during I/O.
	mu       sync.Mutex
	registry *Registry
}

// NewService returns a service that keeps no cell yet.
func NewService(o Options) *Service {
	return &Service{
		options:  o,
		registry: NewRegistry(o.Self.ID, o.Lease, o.Margin),
	}
}

// Heartbeat answers the heartbeat of one agent: with the lease, or with the
// address of the cell's preferred keeper when that is another entry. It does no
// I/O.
func (s *Service) Heartbeat(req *sesamewire.HeartbeatRequest) *sesamewire.HeartbeatReply {
	reply := &sesamewire.HeartbeatReply{
		Contracts: s.options.Contracts(),
	}
	if keeper := s.options.Roster.First(req.GetCell()); keeper.ID != s.options.Self.ID {
		reply.Keeper = keeper.Address
		return reply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := s.registry.Heartbeat(s.options.Clock.Now(), heartbeatOf(req))
	reply.LeaseMs = grant.Lease.Milliseconds()
	reply.Epoch = grant.Epoch
	reply.Known = grant.Known
	return reply
}

// heartbeatOf converts the request of an agent. Announce stays empty if the
// request announces no target.
func heartbeatOf(req *sesamewire.HeartbeatRequest) Heartbeat {
	beat := Heartbeat{
		Cell:        sesamemodel.CellID(req.GetCell()),
		Target:      sesamemodel.TargetID(req.GetTarget()),
		Incarnation: req.GetIncarnation(),
		Leaving:     req.GetLeaving(),
		Epoch:       req.GetEpoch(),
	}
	a := req.GetAnnounce()
	if a == nil {
		return beat
	}
	beat.Announce = sesamemodel.Target{
		ID:          sesamemodel.TargetID(a.GetId()),
		Kind:        sesamemodel.Kind(a.GetKind()),
		Zone:        a.GetZone(),
		Rack:        a.GetRack(),
		Address:     a.GetAddress(),
		Incarnation: a.GetIncarnation(),
		Capacity: sesamemodel.Resources{
			Cores:        int(a.GetCapacity().GetCores()),
			Memory:       int(a.GetCapacity().GetMemory()),
			Accelerators: int(a.GetCapacity().GetAccelerators()),
			Slots:        int(a.GetCapacity().GetSlots()),
		},
		Adopted: keptAttempts(req.GetAttempts()),
	}
	return beat
}

// keptAttempts returns, of the attempts that an agent reports, those that run
// or have ended by themselves, done or failed.
func keptAttempts(statuses []*sesamewire.AttemptStatus) []sesamemodel.AttemptRef {
	var kept []sesamemodel.AttemptRef
	for _, s := range statuses {
		switch s.GetProgress() {
		case sesamewire.Progress_PROGRESS_RUNNING, sesamewire.Progress_PROGRESS_DONE, sesamewire.Progress_PROGRESS_FAILED:
			kept = append(kept, sesamemodel.AttemptRef{
				Job:     sesamemodel.JobID(s.GetId().GetJob()),
				Attempt: s.GetId().GetAttempt(),
			})
		}
	}
	return kept
}

// ObserveRow updates the registry from a row that was just read. While the row
// confirms this entry as the cell's keeper, the registry copies its targets.
// Otherwise the next flush takes the cell over if this entry is the preferred
// keeper, and the registry drops the cell if another entry keeps it.
func (s *Service) ObserveRow(cell sesamemodel.Cell) {
	preferred := s.isPreferred(cell.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.registry.isKeeper(cell):
		s.registry.Committed(s.options.Clock.Now(), cell)
	case preferred:
		s.registry.TakeOver(cell)
	case cell.Keeper != s.options.Self.ID:
		s.registry.Drop(cell.ID)
	}
}

// Run calls Flush every flushInterval until ctx ends, and then returns nil.
func (s *Service) Run(ctx context.Context) error {
	ticker := s.options.Clock.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			s.Flush(ctx)
		}
	}
}

// Flush marks silent targets as lost and writes the pending changes of each cell
// once. A write that fails is logged and repeated by the next Flush.
func (s *Service) Flush(ctx context.Context) {
	s.mu.Lock()
	s.registry.Sweep(s.options.Clock.Now())
	pending := s.registry.PendingCells()
	s.mu.Unlock()
	for _, id := range pending {
		if err := s.flushCell(ctx, id); err != nil {
			s.options.Log.Emit(eventFlushFailed, sesamelog.Fields{
				"cell":  id,
				"error": err,
			})
		}
	}
}

// flushCell writes the pending changes of one cell by a conditional write of
// its row. After a take-over it notifies the cell's agents. Errors are those of
// Cells.
func (s *Service) flushCell(ctx context.Context, id sesamemodel.CellID) error {
	row, err := s.options.Cells.Cell(ctx, id)
	var missing *sesametable.NotFoundError
	if errors.As(err, &missing) {
		row, err = s.newCell(id), nil
	}
	if err != nil {
		return err
	}
	if s.dropIfMoved(row.Value) {
		return nil
	}
	s.mu.Lock()
	next, changed := s.registry.NextRow(row.Value)
	s.mu.Unlock()
	if changed {
		if err := s.options.Cells.CommitCell(ctx, row.With(next)); err != nil {
			return err
		}
		s.logChanges(row.Value, next)
	}
	s.mu.Lock()
	s.registry.Committed(s.options.Clock.Now(), next)
	s.mu.Unlock()
	if next.Epoch != row.Value.Epoch {
		s.notifyAgents(ctx, next)
	}
	return nil
}

// dropIfMoved drops a cell from the registry and returns true if, by its row,
// another entry keeps it and this entry is not its preferred keeper.
func (s *Service) dropIfMoved(row sesamemodel.Cell) bool {
	if row.Keeper == s.options.Self.ID || s.isPreferred(row.ID) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Drop(row.ID)
	return true
}

// isPreferred reports whether this entry is the preferred keeper of the cell.
func (s *Service) isPreferred(cell sesamemodel.CellID) bool {
	return s.options.Roster.First(string(cell)).ID == s.options.Self.ID
}

// newCell returns the row for a cell in which no target has registered before,
// with version 0. The region is the part of the ID before the first slash.
func (s *Service) newCell(id sesamemodel.CellID) sesamestore.Versioned[sesamemodel.Cell] {
	region, _, _ := strings.Cut(string(id), "/")
	cell := sesamemodel.Cell{
		ID:     id,
		Region: region,
	}
	return sesamestore.Versioned[sesamemodel.Cell]{
		Value: cell,
	}
}

// notifyAgents sends this entry's address to the agents of a cell that it has
// taken over. Otherwise agents that still reach the former keeper would go on
// sending their heartbeats to it, and be marked lost. Lost targets are skipped.
// A call that fails is logged and not repeated.
func (s *Service) notifyAgents(ctx context.Context, cell sesamemodel.Cell) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelAdopts)
	for _, target := range cell.Targets {
		if target.Health == sesamemodel.Lost {
			continue
		}
		group.Go(func() error {
			_, err := s.options.Dialer.Agent(target.Address).Adopt(ctx, &sesamewire.AdoptRequest{
				Cell:    string(cell.ID),
				Entry:   s.options.Self.ID,
				Address: s.options.Self.Address,
				Epoch:   cell.Epoch,
			})
			if err != nil {
				s.options.Log.Emit(eventAdoptFailed, sesamelog.Fields{
					"target": target.ID,
					"error":  err,
				})
			}
			return nil
		})
	}
	_ = group.Wait() // each call logs its own failure
}

// logChanges logs a take-over of the cell, and each target that was registered,
// is leaving or was lost.
func (s *Service) logChanges(before, after sesamemodel.Cell) {
	if before.Epoch != after.Epoch {
		s.options.Log.Emit(eventTakeOver, sesamelog.Fields{
			"cell":  after.ID,
			"epoch": after.Epoch,
			"from":  before.Keeper,
		})
	}
	for _, target := range after.Targets {
		present, ok := before.Target(target.ID)
		if ok && present.Health == target.Health && present.Incarnation == target.Incarnation {
			continue
		}
		event := eventRegistered
		switch target.Health {
		case sesamemodel.Lost:
			event = eventLost
		case sesamemodel.Leaving:
			event = eventLeaving
		}
		s.options.Log.Emit(event, sesamelog.Fields{
			"cell":   after.ID,
			"target": target.ID,
		})
	}
}
