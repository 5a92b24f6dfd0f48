package sesameagent

import (
	"slices"
	"sync"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// keeperState is what the agent knows about its keeper, the entry that manages
// the target's cell and grants the agent's lease.
type keeperState struct {
	// entries are the configured addresses, tried in turn when the keeper does
	// not answer.
	entries []string
	// heartbeatRequested holds a value while the next heartbeat is to be sent at
	// once.
	heartbeatRequested chan struct{}
	// leaveConfirmed closes when a keeper has confirmed that the agent drains.
	leaveConfirmed chan struct{}

	mu sync.Mutex
	// address is the entry that heartbeats go to.
	address string
	// epoch is the highest epoch of a keeper seen so far. Each new keeper of a
	// cell has a higher epoch, which fences off its predecessors.
	epoch uint64
	// targetKnown is true when the keeper has the target's description, so that
	// heartbeats can leave it out.
	targetKnown bool
	// target is the target's description, without an incarnation.
	target *sesamewire.Target
	// confirmedProgress has the progress of each attempt that the keeper has
	// confirmed.
	confirmedProgress map[sesamegang.AttemptKey]sesamewire.Progress
}

// newKeeperState returns the state before any heartbeat. The first heartbeat
// goes to the first of the entries, which are addresses.
func newKeeperState(entries []string) *keeperState {
	k := &keeperState{
		entries:            entries,
		heartbeatRequested: make(chan struct{}, 1),
		leaveConfirmed:     make(chan struct{}),
		confirmedProgress:  map[sesamegang.AttemptKey]sesamewire.Progress{},
	}
	if len(entries) > 0 {
		k.address = entries[0]
	}
	return k
}

// setTarget sets the description that is announced to keepers. It must be
// called before the first heartbeat.
func (k *keeperState) setTarget(s sesamesettings.Agent, d sesametarget.Description) {
	k.target = &sesamewire.Target{
		Id:      s.ID,
		Kind:    s.Kind,
		Region:  s.Place.Region,
		Zone:    s.Place.Zone,
		Rack:    s.Place.Rack,
		Cell:    s.Place.CellID(),
		Address: s.Wire,
		Capacity: &sesamewire.Resources{
			Cores:        int32(d.Capacity.Cores),
			Memory:       int32(d.Capacity.Memory),
			Accelerators: int32(d.Capacity.Accelerators),
			Slots:        int32(d.Capacity.Slots),
		},
	}
}

// requestHeartbeat lets the next heartbeat go out at once. It never blocks;
// requests that are still pending are merged.
func (k *keeperState) requestHeartbeat() {
	select {
	case k.heartbeatRequested <- struct{}{}:
	default:
	}
}

// current returns the address that heartbeats go to and the highest epoch seen.
func (k *keeperState) current() (string, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.address, k.epoch
}

// knowsTarget reports whether the keeper has the target's description.
func (k *keeperState) knowsTarget() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targetKnown
}

// redirect sends further heartbeats to the address, where the target is
// announced again.
func (k *keeperState) redirect(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.address = address
	k.targetKnown = false
}

// advance sends further heartbeats to the configured entry that follows address,
// an entry that failed, or to the first one if address is not configured. It
// returns the address that heartbeats now go to, and changes nothing when they
// already go to another address.
func (k *keeperState) advance(address string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.address != address || len(k.entries) == 0 {
		return k.address
	}
	i := slices.Index(k.entries, address)
	k.address = k.entries[(i+1)%len(k.entries)]
	k.targetKnown = false
	return k.address
}

// acceptKeeper sends further heartbeats to a new keeper. It returns false, and
// changes nothing, when the epoch is not higher than the highest one seen.
func (k *keeperState) acceptKeeper(address string, epoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch <= k.epoch {
		return false
	}
	k.epoch = epoch
	k.targetKnown = k.targetKnown && k.address == address
	k.address = address
	return true
}

// acceptGrant records the epoch of a reply that grants a lease, and whether the
// keeper knows the target. It returns false, and records nothing, when the
// epoch is lower than the highest one seen, which means that another entry has
// replaced that keeper.
func (k *keeperState) acceptGrant(epoch uint64, known bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch < k.epoch {
		return false
	}
	k.epoch = epoch
	k.targetKnown = known
	return true
}
