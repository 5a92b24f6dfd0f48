package sesamesettings

import "time"

// HostedEntry holds the settings of an entry on a platform that provides the
// store, the balancer and the operators' policy.
type HostedEntry struct {
	ID    string `yaml:"id"`
	Place Place  `yaml:"place"`
	// Callers is the address for callers, as IP:port, and Ready the one that
	// the balancer asks whether this entry takes connections.
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	// Metrics is the address of the metrics; empty serves none.
	Metrics string `yaml:"metrics"`
	// Relay is where the entry passes on calls of processes that the store
	// turns away; empty serves none.
	Relay string `yaml:"relay"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	// Inventory is the address of the platform's list of machines; empty
	// means that there is none.
	Inventory string `yaml:"inventory"`
	// Memory is what the process may use, in MiB.
	Memory int64 `yaml:"memory"`
	// Drain bounds a graceful stop.
	Drain time.Duration `yaml:"drain"`
	Log   Log           `yaml:"log"`
}

// HostedAgent holds the settings of an agent beside a target of such a
// platform.
type HostedAgent struct {
	ID    string `yaml:"id"`
	Place Place  `yaml:"place"`
	// Reports is the address at which the target reports itself.
	Reports string `yaml:"reports"`
	// Service is what the target beside the agent serves.
	Service string `yaml:"service"`
	// Metrics is the address of the metrics; empty serves none.
	Metrics string `yaml:"metrics"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	// Memory is what the process may use, in MiB.
	Memory int64 `yaml:"memory"`
	// Lease is the longest lease that the target grants.
	Lease time.Duration `yaml:"lease"`
	Log   Log           `yaml:"log"`
}

const (
	defaultHostedMemory = 128
	defaultHostedDrain  = 6 * time.Second
	defaultHostedLease  = 6 * time.Second
)

// DefaultHostedEntry returns the settings of an entry that sets none.
func DefaultHostedEntry() HostedEntry {
	return HostedEntry{
		Memory: defaultHostedMemory,
		Drain:  defaultHostedDrain,
		Log:    hostedLog(),
	}
}

// DefaultHostedAgent returns the settings of an agent that sets none.
func DefaultHostedAgent() HostedAgent {
	return HostedAgent{
		Memory: defaultHostedMemory,
		Lease:  defaultHostedLease,
		Log:    hostedLog(),
	}
}

// hostedLog writes lines that the platform's tools can read.
func hostedLog() Log {
	return Log{
		Level:  "info",
		Format: "json",
	}
}

// LoadHostedEntry reads and checks the settings of an entry on a platform; the
// error is a *FaultsError.
func LoadHostedEntry(file string) (HostedEntry, error) {
	return load(file, DefaultHostedEntry(), checkHostedEntry)
}

// LoadHostedAgent reads and checks the settings of an agent on a platform; the
// error is a *FaultsError.
func LoadHostedAgent(file string) (HostedAgent, error) {
	return load(file, DefaultHostedAgent(), checkHostedAgent)
}

// The ranges of the settings of hosted processes, in MiB and time.
const (
	minHostedMemory = 32
	maxHostedMemory = 1 << 20
	minHostedLease  = 500 * time.Millisecond
	minHostedDrain  = time.Second
)

func checkHostedEntry(d *document, e HostedEntry) {
	d.name("id", e.ID)
	d.place(e.Place)
	d.reachable("callers", e.Callers)
	d.reachable("ready", e.Ready)
	d.reachable("store", e.Store)
	d.optionalAddress("inventory", e.Inventory)
	d.optionalAddress("relay", e.Relay)
	d.optionalAddress("metrics", e.Metrics)
	between(d, "memory", e.Memory, minHostedMemory, maxHostedMemory)
	between(d, "drain", e.Drain, minHostedDrain, maxDrain)
	d.log(e.Log)
}

func checkHostedAgent(d *document, a HostedAgent) {
	d.name("id", a.ID)
	d.place(a.Place)
	d.reachable("reports", a.Reports)
	d.name("service", a.Service)
	d.reachable("store", a.Store)
	d.optionalAddress("metrics", a.Metrics)
	between(d, "memory", a.Memory, minHostedMemory, maxHostedMemory)
	between(d, "lease", a.Lease, minHostedLease, maxLease)
	d.log(a.Log)
}

// optionalAddress checks an address that may be left empty.
func (d *document) optionalAddress(key, value string) {
	if value != "" && !d.faulty(key) {
		d.addressValue(key, value)
	}
}
