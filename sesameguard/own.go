package sesameguard

// callerDescriptors is the part of the descriptors (1 divided by it) that callers
// may take of a process of an own deployment. Its files, its connections to other
// processes and its own calls take the rest.
const callerDescriptors = 2

// OwnShares says what each server of an entry or agent of an own deployment may
// take of the process.
type OwnShares struct {
	// Callers is the most connections of callers.
	Callers int
	// CallerBytes bounds the heads and bodies in flight.
	CallerBytes int64
}

// DeriveOwn divides the memory, in MiB, and the descriptors of a process among its
// servers.
func DeriveOwn(memoryMiB int64, descriptors int) OwnShares {
	callers := min(int64(descriptors/callerDescriptors), (memoryMiB<<20)/connectionShare/connectionBytes)
	return OwnShares{
		Callers:     max(minConnections, int(callers)),
		CallerBytes: (memoryMiB << 20) / bytesShare,
	}
}
