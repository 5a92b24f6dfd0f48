package sesamesettings

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamecontention"
)

// HostedEntry holds the settings of an entry in a hosted deployment, where the
// platform provides the store, the load balancer and the operators' policy. All
// addresses are IP:port.
type HostedEntry struct {
	// ID is the entry's name.
	ID    string `yaml:"id"`
	Place Place  `yaml:"place"`
	// CallerAddress is the listen address for callers, and ReadinessAddress the
	// one at which the load balancer asks whether the entry accepts connections.
	CallerAddress    string `yaml:"callers"`
	ReadinessAddress string `yaml:"ready"`
	// Metrics is the listen address for metrics; if it is empty, none are served.
	Metrics string `yaml:"metrics"`
	// Relay is the listen address at which the entry relays store calls of other
	// processes whose own calls the store refuses; if it is empty, the entry is
	// not a relay.
	Relay string `yaml:"relay"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	// Inventory is the address of the platform's list of VMs; empty means that
	// there is none.
	Inventory string `yaml:"inventory"`
	// MemoryMiB is the memory that the process may use.
	MemoryMiB int64 `yaml:"memory"`
	// Descriptors is how many descriptors the process may open; nil means its limit
	// of open files (RLIMIT_NOFILE).
	Descriptors *int  `yaml:"descriptors"`
	Guard       Guard `yaml:"guard"`
	// Cores is how many cores the process may use, which it announces to the other
	// entries; nil announces nothing.
	Cores *float64 `yaml:"cores"`
	// DrainTimeout is the longest time that a graceful stop may take.
	DrainTimeout time.Duration `yaml:"drain"`
	// Evacuation is how long after the evacuation of a zone a task may still be
	// started there; 0 means that no zone can be evacuated.
	Evacuation time.Duration `yaml:"evacuation"`
	// Contention says who waits when there is too little room.
	Contention sesamecontention.Policy `yaml:"contention"`
	// Speeds says whether the planner takes into account how fast targets are:
	// SpeedsAuto, where a slow one alone makes work late, or SpeedsOff.
	Speeds string `yaml:"speeds"`
	Log    Log    `yaml:"log"`
}

// Guard holds the bounds on what callers take of an entry. 0 means the default,
// which is derived from the entry's memory and descriptors.
type Guard struct {
	// Connections is the most connections of callers.
	Connections int `yaml:"connections"`
	// Bytes is the most memory for callers' heads and bodies, with what decoding
	// adds.
	Bytes int64 `yaml:"bytes"`
	// ReceiveBuffer is the size of the kernel's buffer for what a caller has sent
	// and the entry has not read, in bytes.
	ReceiveBuffer int `yaml:"receive"`
	// Decoders is how many bodies are decoded at once.
	Decoders int `yaml:"decoders"`
}

// The values of HostedEntry.Speeds.
const (
	SpeedsAuto = "auto"
	SpeedsOff  = "off"
)

// HostedAgent holds the settings of an agent beside a target in a hosted
// deployment. All addresses are IP:port.
type HostedAgent struct {
	// ID is the target's name.
	ID    string `yaml:"id"`
	Place Place  `yaml:"place"`
	// ReportAddress is the listen address to which the target sends reports
	// about itself.
	ReportAddress string `yaml:"reports"`
	// Service is the name of the service that the target runs.
	Service string `yaml:"service"`
	// Metrics is the listen address for metrics; if it is empty, none are served.
	Metrics string `yaml:"metrics"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	// MemoryMiB is the memory that the process may use.
	MemoryMiB int64 `yaml:"memory"`
	// MaxLease is the longest lease that the target accepts from the agent.
	MaxLease time.Duration `yaml:"lease"`
	// TargetReportInterval is how often the target reports to the agent.
	TargetReportInterval time.Duration `yaml:"interval"`
	Log                  Log           `yaml:"log"`
}

// The defaults of the settings of hosted processes.
const (
	defaultHostedMemoryMiB    = 128
	defaultHostedDrainTimeout = 6 * time.Second
	defaultHostedMaxLease     = 6 * time.Second
	defaultHostedInterval     = 1500 * time.Millisecond
)

// DefaultHostedEntry returns the settings of an entry whose file sets none. Keys
// without a default, such as its ID and addresses, stay empty.
func DefaultHostedEntry() HostedEntry {
	return HostedEntry{
		MemoryMiB:    defaultHostedMemoryMiB,
		DrainTimeout: defaultHostedDrainTimeout,
		Contention:   sesamecontention.ByOrder,
		Speeds:       SpeedsOff,
		Log:          defaultHostedLog(),
	}
}

// DefaultHostedAgent returns the settings of an agent whose file sets none. Keys
// without a default, such as its ID and addresses, stay empty.
func DefaultHostedAgent() HostedAgent {
	return HostedAgent{
		MemoryMiB: defaultHostedMemoryMiB,
		MaxLease:  defaultHostedMaxLease,
		Log:       defaultHostedLog(),

		TargetReportInterval: defaultHostedInterval,
	}
}

// defaultHostedLog returns log settings with JSON, because the platform's tools
// read the lines.
func defaultHostedLog() Log {
	return Log{
		Level:  "info",
		Format: "json",
	}
}

// LoadHostedEntry reads the settings file of an entry in a hosted deployment
// over the defaults and checks it. The error is a *ValidationError.
func LoadHostedEntry(file string) (HostedEntry, error) {
	return load(file, DefaultHostedEntry(), checkHostedEntry)
}

// LoadHostedAgent reads the settings file of an agent in a hosted deployment
// over the defaults and checks it. The error is a *ValidationError.
func LoadHostedAgent(file string) (HostedAgent, error) {
	return load(file, DefaultHostedAgent(), checkHostedAgent)
}

// The allowed ranges of the settings of hosted processes.
const (
	minProcessMemoryMiB   = 32
	maxProcessMemoryMiB   = 1 << 20
	minHostedCores        = 0.001
	maxHostedCores        = 1 << 10
	minHostedMaxLease     = 500 * time.Millisecond
	minHostedInterval     = 10 * time.Millisecond
	maxHostedInterval     = time.Minute
	minHostedDrainTimeout = time.Second
	minHostedEvacuation   = time.Second
	maxHostedEvacuation   = time.Hour
	minDescriptors        = 400
	maxDescriptors        = 1 << 20
	minGuardConnections   = 16
	minGuardBytes         = 1 << 20
	minReceiveBuffer      = 4 << 10
	maxReceiveBuffer      = 16 << 20
	maxDecoders           = 1024
)

// checkHostedEntry adds a problem to d for each invalid value in e.
func checkHostedEntry(d *document, e HostedEntry) {
	d.checkRequiredName("id", e.ID)
	d.checkPlace(e.Place)
	d.checkDialAddress("callers", e.CallerAddress)
	d.checkDialAddress("ready", e.ReadinessAddress)
	d.checkDialAddress("store", e.Store)
	d.checkOptionalAddress("inventory", e.Inventory)
	d.checkOptionalAddress("relay", e.Relay)
	d.checkOptionalAddress("metrics", e.Metrics)
	checkRange(d, "memory", e.MemoryMiB, minProcessMemoryMiB, maxProcessMemoryMiB)
	d.checkGuard(e)
	if e.Cores != nil {
		checkRange(d, "cores", *e.Cores, minHostedCores, maxHostedCores)
	}
	checkRange(d, "drain", e.DrainTimeout, minHostedDrainTimeout, maxDrainTimeout)
	if e.Evacuation != 0 {
		checkRange(d, "evacuation", e.Evacuation, minHostedEvacuation, maxHostedEvacuation)
	}
	d.checkOneOf("contention", string(e.Contention), string(sesamecontention.ByOrder), string(sesamecontention.ByValue))
	d.checkOneOf("speeds", e.Speeds, SpeedsAuto, SpeedsOff)
	d.checkLog(e.Log)
}

// checkGuard checks the bounds on what callers take, where they are set.
func (d *document) checkGuard(e HostedEntry) {
	d.checkDescriptors(e.Descriptors)
	if e.Guard.Connections != 0 {
		checkRange(d, "guard.connections", e.Guard.Connections, minGuardConnections, maxDescriptors)
	}
	if e.Guard.Bytes != 0 {
		checkRange(d, "guard.bytes", e.Guard.Bytes, minGuardBytes, maxProcessMemoryMiB<<20)
	}
	if e.Guard.ReceiveBuffer != 0 {
		checkRange(d, "guard.receive", e.Guard.ReceiveBuffer, minReceiveBuffer, maxReceiveBuffer)
	}
	if e.Guard.Decoders != 0 {
		checkRange(d, "guard.decoders", e.Guard.Decoders, 1, maxDecoders)
	}
}

// checkHostedAgent adds a problem to d for each invalid value in a.
func checkHostedAgent(d *document, a HostedAgent) {
	d.checkRequiredName("id", a.ID)
	d.checkPlace(a.Place)
	d.checkDialAddress("reports", a.ReportAddress)
	d.checkRequiredName("service", a.Service)
	d.checkDialAddress("store", a.Store)
	d.checkOptionalAddress("metrics", a.Metrics)
	checkRange(d, "memory", a.MemoryMiB, minProcessMemoryMiB, maxProcessMemoryMiB)
	checkRange(d, "lease", a.MaxLease, minHostedMaxLease, maxLease)
	checkRange(d, "interval", a.TargetReportInterval, minHostedInterval, maxHostedInterval)
	d.checkLog(a.Log)
}

// checkOptionalAddress checks an IP:port that may be missing or empty.
func (d *document) checkOptionalAddress(key, value string) {
	if value != "" && !d.hasProblem(key) {
		d.checkAddress(key, value)
	}
}
