package sesamesettings

import "time"

// HostedEntry holds the settings of an entry on a platform that provides the
// store, the balancer and the operators' policy.
type HostedEntry struct {
	ID    string `yaml:"id"`
	Place Place  `yaml:"place"`
	// CallerAddress is the address for callers, as IP:port, and Ready the one that
	// the balancer asks whether this entry takes connections.
	CallerAddress    string `yaml:"callers"`
	ReadinessAddress string `yaml:"ready"`
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
	// MemoryMiB is what the process may use, in MiB.
	MemoryMiB int64 `yaml:"memory"`
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration `yaml:"drain"`
	Log          Log           `yaml:"log"`
}

// HostedAgent holds the settings of an agent beside a target of such a
// platform.
type HostedAgent struct {
	ID    string `yaml:"id"`
	Place Place  `yaml:"place"`
	// ReportAddress is the address at which the target reports itself.
	ReportAddress string `yaml:"reports"`
	// Service is what the target beside the agent serves.
	Service string `yaml:"service"`
	// Metrics is the address of the metrics; empty serves none.
	Metrics string `yaml:"metrics"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	// MemoryMiB is what the process may use, in MiB.
	MemoryMiB int64 `yaml:"memory"`
	// MaxLease is the longest lease that the target grants.
	MaxLease time.Duration `yaml:"lease"`
	Log      Log           `yaml:"log"`
}

const (
	defaultHostedMemoryMiB    = 128
	defaultHostedDrainTimeout = 6 * time.Second
	defaultHostedMaxLease     = 6 * time.Second
)

// DefaultHostedEntry returns the settings of an entry that sets none.
func DefaultHostedEntry() HostedEntry {
	return HostedEntry{
		MemoryMiB:    defaultHostedMemoryMiB,
		DrainTimeout: defaultHostedDrainTimeout,
		Log:          defaultHostedLog(),
	}
}

// DefaultHostedAgent returns the settings of an agent that sets none.
func DefaultHostedAgent() HostedAgent {
	return HostedAgent{
		MemoryMiB: defaultHostedMemoryMiB,
		MaxLease:  defaultHostedMaxLease,
		Log:       defaultHostedLog(),
	}
}

// defaultHostedLog writes lines that the platform's tools can read.
func defaultHostedLog() Log {
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
	minHostedMemoryMiB    = 32
	maxHostedMemoryMiB    = 1 << 20
	minHostedMaxLease     = 500 * time.Millisecond
	minHostedDrainTimeout = time.Second
)

func checkHostedEntry(d *document, e HostedEntry) {
	d.checkRequiredName("id", e.ID)
	d.checkPlace(e.Place)
	d.checkDialAddress("callers", e.CallerAddress)
	d.checkDialAddress("ready", e.ReadinessAddress)
	d.checkDialAddress("store", e.Store)
	d.checkOptionalAddress("inventory", e.Inventory)
	d.checkOptionalAddress("relay", e.Relay)
	d.checkOptionalAddress("metrics", e.Metrics)
	checkRange(d, "memory", e.MemoryMiB, minHostedMemoryMiB, maxHostedMemoryMiB)
	checkRange(d, "drain", e.DrainTimeout, minHostedDrainTimeout, maxDrainTimeout)
	d.checkLog(e.Log)
}

func checkHostedAgent(d *document, a HostedAgent) {
	d.checkRequiredName("id", a.ID)
	d.checkPlace(a.Place)
	d.checkDialAddress("reports", a.ReportAddress)
	d.checkRequiredName("service", a.Service)
	d.checkDialAddress("store", a.Store)
	d.checkOptionalAddress("metrics", a.Metrics)
	checkRange(d, "memory", a.MemoryMiB, minHostedMemoryMiB, maxHostedMemoryMiB)
	checkRange(d, "lease", a.MaxLease, minHostedMaxLease, maxLease)
	d.checkLog(a.Log)
}

// checkOptionalAddress checks an address that may be left empty.
func (d *document) checkOptionalAddress(key, value string) {
	if value != "" && !d.hasProblem(key) {
		d.checkAddress(key, value)
	}
}
