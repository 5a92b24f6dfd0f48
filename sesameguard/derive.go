package sesameguard

const (
	// fileDescriptors is how many descriptors a platform keeps for files.
	fileDescriptors = 200
	// connectionBytes is what a connection takes, for its goroutine and its
	// buffers here and in the kernel, and for what a small request is read into.
	connectionBytes = 64 << 10
	// The parts of the memory (1 divided by these) that callers' connections, their
	// heads and bodies, and relayed calls may take. The planner, the store's client
	// and the garbage that Go has not collected yet take the rest.
	connectionShare = 4
	bytesShare      = 8
	relayShare      = 16
	// minConnections lets each server work in a process with few descriptors.
	minConnections = 16
	// defaultDecoders is how many bodies are decoded at once. A process has one
	// core, so more of them at once take memory and no less time.
	defaultDecoders = 2
)

// Shares says what each server of an entry may take of the process.
type Shares struct {
	// Callers, Relay and Internal are the most connections of the server for
	// callers, of the one that relays store calls, and of each other one.
	Callers, Relay, Internal int
	// CallerBytes and RelayBytes bound the heads and bodies in flight.
	CallerBytes, RelayBytes int64
}

// Derive divides the memory, in MiB, and the descriptors of an entry among its
// servers. Callers get the descriptors that neither files nor other servers nor
// calls to the store need, so that they starve none of these, as far as the
// memory is enough for so many connections.
func Derive(memoryMiB int64, descriptors int) Shares {
	relay, internal, own := descriptors/8, descriptors/32, descriptors/16
	callers := descriptors - fileDescriptors - relay - 2*internal - own
	callers = min(callers, int((memoryMiB<<20)/connectionShare/connectionBytes))
	return Shares{
		Callers:     max(minConnections, callers),
		Relay:       max(minConnections, relay),
		Internal:    max(minConnections, internal),
		CallerBytes: (memoryMiB << 20) / bytesShare,
		RelayBytes:  (memoryMiB << 20) / relayShare,
	}
}
