package sesamesettings

import (
	"fmt"
	"sort"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// LoadEntry reads and checks the settings of an entry; the error is a
// *FaultsError.
func LoadEntry(file string) (Entry, error) {
	return load(file, DefaultEntry(), checkEntry)
}

// LoadAgent reads and checks the settings of an agent; the error is a
// *FaultsError.
func LoadAgent(file string) (Agent, error) {
	return load(file, DefaultAgent(), checkAgent)
}

// LoadStandin reads and checks the settings of a stand-in; the error is a
// *FaultsError.
func LoadStandin(file string) (Standin, error) {
	return load(file, DefaultStandin(), checkStandin)
}

// load reads the single document of a settings file over the defaults.
func load[T any](file string, settings T, check func(*document, T)) (T, error) {
	documents, err := readDocuments(file)
	if err != nil {
		return settings, err
	}
	if len(documents) != 1 {
		problem := fmt.Sprintf("holds %d YAML documents, expected 1", len(documents))
		return settings, fileProblem(file, 0, problem)
	}
	d := documents[0]
	d.decode(&settings)
	check(d, settings)
	return settings, validationErrorOrNil(d.problems)
}

// The ranges of an entry's own settings, in bytes and jobs.
const (
	minBodyBytes     = 1 << 10
	maxBodyBytes     = 16 << 20
	minOpenJobsLimit = 1
	maxOpenJobsLimit = 1_000_000
)

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
	checkRange(d, "queue", e.MaxOpenJobs, minOpenJobsLimit, maxOpenJobsLimit)
	d.checkDrain(e.DrainTimeout, e.Leases.Grace)
}

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

func (d *document) checkDrain(drain, grace time.Duration) {
	checkRange(d, "drain", drain, grace, maxDrainTimeout)
}

// The ranges of an agent's own settings.
const (
	minConnections = 1
	maxConnections = 10_000
)

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
	d.checkDrain(a.DrainTimeout, a.Leases.Grace)
}

func (d *document) checkKind(kind string) {
	d.checkOneOf("kind", kind, string(sesamemodel.Worker), string(sesamemodel.Executor))
}

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

// The ranges of a target's size.
const (
	maxCores     = 4096
	maxMemoryMiB = 64 << 20
	maxSlots     = 10_000
)

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
