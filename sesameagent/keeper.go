package sesameagent

import (
	"slices"
	"sync"

	"github.com/sesamestack/sesamestack/sesamegang"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// keeper is what the agent knows of the entry that keeps its cell.
type keeper struct {
	entries []string
	// signal asks for a heartbeat at once.
	signal chan struct{}
	// told closes when a keeper has confirmed that the agent leaves.
	told chan struct{}

	mu       sync.Mutex
	address  string
	epoch    uint64
	known    bool
	target   *sesamewire.Target
	reported map[sesamegang.AttemptKey]sesamewire.Progress
}

func newKeeper(entries []string) *keeper {
	k := &keeper{
		entries:  entries,
		signal:   make(chan struct{}, 1),
		told:     make(chan struct{}),
		reported: map[sesamegang.AttemptKey]sesamewire.Progress{},
	}
	if len(entries) > 0 {
		k.address = entries[0]
	}
	return k
}

// describe fixes what is announced of the target.
func (k *keeper) describe(s sesamesettings.Agent, d sesametarget.Description) {
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

// wake asks for a heartbeat at once.
func (k *keeper) wake() {
	select {
	case k.signal <- struct{}{}:
	default:
	}
}

// current returns where heartbeats go and the epoch last heard of.
func (k *keeper) current() (string, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.address, k.epoch
}

// announced reports whether the keeper knows the target.
func (k *keeper) announced() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known
}

// move sends heartbeats elsewhere.
func (k *keeper) move(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.address = address
	k.known = false
}

// fail turns to the next entry after one that did not answer.
func (k *keeper) fail(address string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.address != address || len(k.entries) == 0 {
		return k.address
	}
	i := slices.Index(k.entries, address)
	k.address = k.entries[(i+1)%len(k.entries)]
	k.known = false
	return k.address
}

// adopt turns to the keeper of a newer epoch; false means that it is not newer.
func (k *keeper) adopt(address string, epoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch <= k.epoch {
		return false
	}
	k.epoch = epoch
	k.known = k.known && k.address == address
	k.address = address
	return true
}

// granted notes a reply that carries a lease; false means that the keeper's
// epoch is over.
func (k *keeper) granted(epoch uint64, known bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch < k.epoch {
		return false
	}
	k.epoch = epoch
	k.known = known
	return true
}
