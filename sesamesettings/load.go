package sesamesettings

import (
	"fmt"
	"sort"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// LoadEntry reads the settings file of an entry over the defaults and checks it.
// The error is a *ValidationError with all problems.
func LoadEntry(file string) (Entry, error) {
	return load(file, DefaultEntry(), checkEntry)
}

// LoadAgent reads the settings file of an agent over the defaults and checks it.
// The error is a *ValidationError with all problems.
func LoadAgent(file string) (Agent, error) {
	return load(file, DefaultAgent(), checkAgent)
}

// LoadStandin reads the settings file of a stand-in over the defaults and checks
// it. The error is a *ValidationError with all problems.
func LoadStandin(file string) (Standin, error) {
	return load(file, DefaultStandin(), checkStandin)
}

// load reads a settings file, which must hold one YAML document. The argument
// settings holds the defaults; keys that the file sets replace them. The error
// is a *ValidationError.
func load[T any](file string, settings T, check func(*document, T)) (T, error) {
	documents, err := readDocuments(file)
	if err != nil {
		return settings, err
	}
	if len(documents) != 1 {
		problem := fmt.Sprintf("contains %d YAML documents, expected 1", len(documents))
		return settings, fileProblem(file, 0, problem)
	}
	d := documents[0]
	d.decode(&settings)
	check(d, settings)
	return settings, validationErrorOrNil(d.problems)
}

// The allowed sizes of a request body, which only an entry limits.
const (
	minBodyBytes = 1 << 10
	maxBodyBytes = 16 << 20
)

// checkEntry adds a problem to d for each invalid value in e.
func checkEntry(d *document, e Entry) {
	d.checkRequiredName("id", e.ID)
	d.checkPlace(e.Place)
	d.checkListenAddress("http", e.HTTP)
	d.checkDialAddress("wire", e.Wire)
	d.checkOperators(e.Operators)
	d.checkPlatform(e.Platform)
	d.checkLeases(e.Leases)
	d.checkLog(e.Log)
	checkRange(d, "policy.packing", e.Policy.PackingWeight, 0, 1)
	checkRange(d, "maxbody", e.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	if e.MemoryMiB != 0 {
		checkRange(d, "memory", e.MemoryMiB, minProcessMemoryMiB, maxProcessMemoryMiB)
	}
	d.checkDescriptors(e.Descriptors)
	d.checkDrain(e.DrainTimeout, e.Leases.Grace)
}

// checkDescriptors checks the number of descriptors that a process may open, where
// it is set.
func (d *document) checkDescriptors(descriptors *int) {
	if descriptors != nil {
		checkRange(d, "descriptors", *descriptors, minDescriptors, maxDescriptors)
	}
}

// checkOperators checks that there is at least one operator and that each
// value is a token digest. It goes in the order of names, so that problems have
// a stable order.
func (d *document) checkOperators(operators map[string]string) {
	if !d.requireKey("operators") {
		return
	}
	if len(operators) == 0 {
		d.addProblem("operators", "is empty, expected at least one name with its token's digest")
	}
	names := make([]string, 0, len(operators))
	for name := range operators {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		d.checkDigest("operators."+name, operators[name])
	}
}

// checkDrain checks the longest time of a graceful stop, which must be no
// shorter than the grace of a stopped task.
func (d *document) checkDrain(drain, grace time.Duration) {
	checkRange(d, "drain", drain, grace, maxDrainTimeout)
}

// The allowed range of the number of connections from an agent to its target.
const (
	minConnections = 1
	maxConnections = 10_000
)

// checkAgent adds a problem to d for each invalid value in a. Only a worker
// must name its rack.
func checkAgent(d *document, a Agent) {
	d.checkRequiredName("id", a.ID)
	d.checkKind(a.Kind)
	d.checkPlace(a.Place)
	if a.Kind == string(sesamemodel.Worker) {
		d.checkRequiredName("place.rack", a.Place.Rack)
	}
	d.checkDialAddress("wire", a.Wire)
	d.checkListenAddress("http", a.HTTP)
	d.checkBaseURL("target", a.TargetURL)
	d.checkEntries(a.Entries)
	checkRange(d, "connections", a.MaxConnections, minConnections, maxConnections)
	d.checkPlatform(a.Platform)
	d.checkLeases(a.Leases)
	d.checkLog(a.Log)
	checkRange(d, "memory", a.MemoryMiB, minProcessMemoryMiB, maxProcessMemoryMiB)
	d.checkDescriptors(a.Descriptors)
	d.checkDrain(a.DrainTimeout, a.Leases.Grace)
}

// checkKind checks the kind of a target.
func (d *document) checkKind(kind string) {
	d.checkOneOf("kind", kind, string(sesamemodel.Worker), string(sesamemodel.Executor))
}

// checkEntries checks that there is at least one entry and that each is an
// IP:port.
func (d *document) checkEntries(entries []string) {
	if !d.requireKey("entries") {
		return
	}
	if len(entries) == 0 {
		d.addProblem("entries", "is empty, expected at least one IP:port")
	}
	for i, address := range entries {
		key := fmt.Sprintf("entries[%d]", i)
		if !d.hasProblem(key) {
			d.checkAddress(key, address)
		}
	}
}

// The largest capacity that a stand-in target may have.
const (
	maxCores     = 4096
	maxMemoryMiB = 64 << 20
	maxSlots     = 10_000
)

// checkStandin adds a problem to d for each invalid value in s. Which capacity
// is checked depends on the kind; without a kind it is a platform.
func checkStandin(d *document, s Standin) {
	d.checkListenAddress("http", s.HTTP)
	d.checkLog(s.Log)
	switch sesamemodel.Kind(s.Kind) {
	case "":
	case sesamemodel.Worker:
		checkRange(d, "cores", s.Cores, 1, maxCores)
		checkRange(d, "memory", s.MemoryMiB, 1, maxMemoryMiB)
		checkRange(d, "accelerators", s.Accelerators, 0, sesamemodel.MaxTargetAccelerators)
	case sesamemodel.Executor:
		checkRange(d, "slots", s.Slots, 1, maxSlots)
	default:
		d.checkKind(s.Kind)
	}
}
