package sesameagent

import (
	"slices"
	"sync"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// keeperState is what the agent knows of the entry that keeps its cell.
type keeperState struct {
	entries []string
	// heartbeatRequested asks for a heartbeat at once.
	heartbeatRequested chan struct{}
	// leaveConfirmed closes when a keeper has confirmed that the agent leaves.
	leaveConfirmed chan struct{}

	mu                sync.Mutex
	address           string
	epoch             uint64
	targetKnown       bool
	target            *sesamewire.Target
	confirmedProgress map[sesamegang.AttemptKey]sesamewire.Progress
}

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

// setTarget fixes what is announced of the target.
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

// requestHeartbeat asks for a heartbeat at once.
func (k *keeperState) requestHeartbeat() {
	select {
	case k.heartbeatRequested <- struct{}{}:
	default:
	}
}

// current returns where heartbeats go and the epoch last heard of.
func (k *keeperState) current() (string, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.address, k.epoch
}

// knowsTarget reports whether the keeper knows the target.
func (k *keeperState) knowsTarget() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targetKnown
}

// redirect sends heartbeats elsewhere.
func (k *keeperState) redirect(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.address = address
	k.targetKnown = false
}

// advance turns to the next entry after one that did not answer.
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

// acceptKeeper turns to the keeper of a newer epoch; false means that it is not newer.
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

// acceptGrant notes a reply that carries a lease; false means that the keeper's
// epoch is over.
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
