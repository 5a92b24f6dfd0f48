package sesamecommand

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/sesamestack/sesamestack/sesameguard"
)

const (
	// heapLimitShare is the share of a process's memory that is set as Go's soft
	// memory limit, near which it collects garbage more often; the rest is for
	// stacks and sockets.
	heapLimitShare = 0.7
	// defaultDescriptors is how many descriptors a process is taken to have whose
	// limit is not known, and maxDescriptors the most that it is taken to have.
	defaultDescriptors = 1024
	maxDescriptors     = 1 << 20
	// defaultMachineMiB is the memory that a VM is taken to have if it does not tell.
	defaultMachineMiB = 1024
)

// limitProcess limits a process of an own deployment to memory MiB, and returns what
// its servers may take of these and of the descriptors; nil means its limit of open
// files.
func limitProcess(memory int64, descriptors *int) sesameguard.OwnShares {
	limitMemory(memory)
	if descriptors == nil {
		limit := openFiles()
		descriptors = &limit
	}
	return sesameguard.DeriveOwn(memory, *descriptors)
}

// limitMemory sets Go's soft memory limit for a process that may use memory MiB.
func limitMemory(memory int64) {
	debug.SetMemoryLimit(int64(float64(memory<<20) * heapLimitShare))
}

// machineMemoryMiB returns the memory of the VM.
func machineMemoryMiB() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return defaultMachineMiB
	}
	return int64(info.Totalram) * int64(info.Unit) >> 20
}

// openFiles returns the process's limit of descriptors (RLIMIT_NOFILE), or
// defaultDescriptors if it has none that is known.
func openFiles() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
