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
		return settings, fileFault(file, 0, problem)
	}
	d := documents[0]
	d.decode(&settings)
	check(d, settings)
	return settings, faultsOrNil(d.faults)
}

// The ranges of an entry's own settings, in bytes and jobs.
const (
	minBody  = 1 << 10
	maxBody  = 16 << 20
	minQueue = 1
	maxQueue = 1_000_000
)

func checkEntry(d *document, e Entry) {
	d.name("id", e.ID)
	d.place(e.Place)
	d.listen("http", e.HTTP)
	d.reachable("wire", e.Wire)
	d.operators(e.Operators)
	d.platform(e.Platform)
	d.leases(e.Leases)
	d.log(e.Log)
	between(d, "policy.packing", e.Policy.Packing, 0, 1)
	between(d, "maxbody", e.MaxBody, minBody, maxBody)
	between(d, "queue", e.Queue, minQueue, maxQueue)
	d.drain(e.Drain, e.Leases.Grace)
}

func (d *document) operators(operators map[string]string) {
	if !d.present("operators") {
		return
	}
	if len(operators) == 0 {
		d.fault("operators", "is empty, expected at least one name with its token's digest")
	}
	names := make([]string, 0, len(operators))
	for name := range operators {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		d.digest("operators."+name, operators[name])
	}
}

func (d *document) drain(drain, grace time.Duration) {
	between(d, "drain", drain, grace, maxDrain)
}

// The ranges of an agent's own settings.
const (
	minConnections = 1
	maxConnections = 10_000
)

func checkAgent(d *document, a Agent) {
	d.name("id", a.ID)
	d.kind(a.Kind)
	d.place(a.Place)
	if a.Kind == string(sesamemodel.Worker) {
		d.name("place.rack", a.Place.Rack)
	}
	d.reachable("wire", a.Wire)
	d.listen("http", a.HTTP)
	d.base("target", a.Target)
	d.entries(a.Entries)
	between(d, "connections", a.Connections, minConnections, maxConnections)
	d.platform(a.Platform)
	d.leases(a.Leases)
	d.log(a.Log)
	d.drain(a.Drain, a.Leases.Grace)
}

func (d *document) kind(kind string) {
	d.oneOf("kind", kind, string(sesamemodel.Worker), string(sesamemodel.Executor))
}

func (d *document) entries(entries []string) {
	if !d.present("entries") {
		return
	}
	if len(entries) == 0 {
		d.fault("entries", "is empty, expected at least one IP:port")
	}
	for i, address := range entries {
		key := fmt.Sprintf("entries[%d]", i)
		if !d.faulty(key) {
			d.addressValue(key, address)
		}
	}
}

// The ranges of a target's size.
const (
	maxCores  = 4096
	maxMemory = 64 << 20
	maxSlots  = 10_000
)

func checkStandin(d *document, s Standin) {
	d.listen("http", s.HTTP)
	d.log(s.Log)
	switch sesamemodel.Kind(s.Kind) {
	case "":
	case sesamemodel.Worker:
		between(d, "cores", s.Cores, 1, maxCores)
		between(d, "memory", s.Memory, 1, maxMemory)
		between(d, "accelerators", s.Accelerators, 0, sesamemodel.MaxTargetAccelerators)
	case sesamemodel.Executor:
		between(d, "slots", s.Slots, 1, maxSlots)
	default:
		d.kind(s.Kind)
	}
}
