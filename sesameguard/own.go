package sesameguard

import (
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamelog"
)

const (
	// The parts of a process's descriptors (1 divided by these) that callers and other
	// entries and agents may take. Its files and its own calls take the rest.
	callerDescriptors = 2
	wireDescriptors   = 4
	// wireShare is the part of the memory that connections of other processes may
	// take, and wireBytesShare that for their messages.
	wireShare      = 8
	wireBytesShare = 16
	// wireReceiveBuffer is the size of the kernel's buffer for what another process
	// has sent, in bytes. Most messages fit into it, so that they need no round trip
	// each.
	wireReceiveBuffer = 64 << 10
	// defaultOwnMiB and defaultOwnDescriptors are what a process is taken to have if
	// nothing says what it may take.
	defaultOwnMiB         = 1024
	defaultOwnDescriptors = 1024
)

// OwnShares says what each server of an entry or agent of an own deployment may
// take of the process.
type OwnShares struct {
	// Callers and Wire are the most connections of callers, and of other entries and
	// agents.
	Callers, Wire int
	// CallerBytes and WireBytes bound the heads, bodies and messages in flight.
	CallerBytes, WireBytes int64
}

// DeriveOwn divides the memory, in MiB, and the descriptors of a process among its
// servers.
func DeriveOwn(memoryMiB int64, descriptors int) OwnShares {
	connections := func(descriptorShare, memoryShare int) int {
		most := (memoryMiB << 20) / int64(memoryShare) / connectionBytes
		return max(minConnections, int(min(int64(descriptors/descriptorShare), most)))
	}
	return OwnShares{
		Callers:     connections(callerDescriptors, connectionShare),
		Wire:        connections(wireDescriptors, wireShare),
		CallerBytes: (memoryMiB << 20) / bytesShare,
		WireBytes:   (memoryMiB << 20) / wireBytesShare,
	}
}

// OrDefault returns the shares, or those of a process of defaultOwnMiB and
// defaultOwnDescriptors if they are zero.
func (s OwnShares) OrDefault() OwnShares {
	if s == (OwnShares{}) {
		return DeriveOwn(defaultOwnMiB, defaultOwnDescriptors)
	}
	return s
}

// NewWire returns a guard for the connections of other entries and agents, whose
// messages long-lived connections carry.
func (s OwnShares) NewWire(clock clockwork.Clock, log *sesamelog.Logger, scope tally.Scope) *Guard {
	return New(Options{
		Name:          "wire",
		Connections:   s.Wire,
		Bytes:         s.WireBytes,
		ReceiveBuffer: wireReceiveBuffer,
		Stream:        true,
		Clock:         clock,
		Log:           log,
		Scope:         scope,
	})
}
