package sesamesettings

import "time"

// Place is the location of a process.
type Place struct {
	Region string `yaml:"region"`
	// Zone is the availability zone.
	Zone string `yaml:"zone"`
	// Rack is required for workers and optional otherwise.
	Rack string `yaml:"rack"`
	// Cell is the name of a group of neighbouring targets that are managed
	// together. If it is empty, all targets of the zone form one cell.
	Cell string `yaml:"cell"`
}

// CellID returns the cell's ID in the form region/name; the name is the zone's
// if Cell is empty.
func (p Place) CellID() string {
	if p.Cell != "" {
		return p.Region + "/" + p.Cell
	}
	return p.Region + "/" + p.Zone
}

// Platform holds the settings of a client of the platform, the service that
// stores table rows and objects.
type Platform struct {
	// URL is the base URL, such as http://10.0.0.5:7000.
	URL string `yaml:"url"`
	// CallTimeout is the longest time that one call may take.
	CallTimeout time.Duration `yaml:"timeout"`
	// ReadsPerSecond and WritesPerSecond are the rate limits that this process
	// keeps for its own calls.
	ReadsPerSecond  float64 `yaml:"reads"`
	WritesPerSecond float64 `yaml:"writes"`
}

// Log holds the settings of the event log.
type Log struct {
	// Level is the lowest level to write: debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is text or json.
	Format string `yaml:"format"`
}

// Leases holds the timing of heartbeats, leases and stops. Agents and entries
// rely on each other's values, so all processes of a deployment must be set to
// the same.
type Leases struct {
	// Heartbeat is the interval between two heartbeats of an agent.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// Lease is how long a target may run tasks after the heartbeat that renewed
	// its lease.
	Lease time.Duration `yaml:"lease"`
	// Margin is how much longer than the lease the side that granted it waits
	// before it treats the lease as expired.
	Margin time.Duration `yaml:"margin"`
	// Grace is how long a task that is told to stop may take, for instance to
	// write a checkpoint.
	Grace time.Duration `yaml:"grace"`
}

// Policy holds the weights of the planner's objectives.
type Policy struct {
	// PackingWeight is the weight of low fragmentation (tight bin packing)
	// against early completion, from 0 (completion time only) to 1 (packing only).
	PackingWeight float64 `yaml:"packing"`
}

// Entry holds the settings of one entry: a process that serves callers and
// plans their jobs.
type Entry struct {
	// ID is the entry's name, unique within its region.
	ID    string `yaml:"id"`
	Place Place  `yaml:"place"`
	// HTTP is the listen address for callers and operators, as IP:port.
	HTTP string `yaml:"http"`
	// Wire is the listen address for agents and other entries, as IP:port. They
	// also dial it, so it can't be 0.0.0.0.
	Wire string `yaml:"wire"`
	// Operators holds the SHA-256 digest of each operator's access token in hex,
	// by the operator's name.
	Operators map[string]string `yaml:"operators"`
	Platform  Platform          `yaml:"platform"`
	Leases    Leases            `yaml:"leases"`
	Policy    Policy            `yaml:"policy"`
	Log       Log               `yaml:"log"`
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64 `yaml:"maxbody"`
	// MemoryMiB is the memory that the process may use; 0 means that of its VM.
	MemoryMiB int64 `yaml:"memory"`
	// Descriptors is how many descriptors the process may open; nil means its limit
	// of open files (RLIMIT_NOFILE).
	Descriptors *int `yaml:"descriptors"`
	// DrainTimeout is the longest time that a graceful stop may take.
	DrainTimeout time.Duration `yaml:"drain"`
}

// Agent holds the settings of one agent: a process beside a target (a worker
// or executor) that starts the target's tasks.
type Agent struct {
	// ID is the target's name, unique within its region.
	ID string `yaml:"id"`
	// Kind is the kind of the target: worker or executor.
	Kind  string `yaml:"kind"`
	Place Place  `yaml:"place"`
	// Wire is the listen address for entries and other agents, as IP:port. They
	// also dial it, so it can't be 0.0.0.0.
	Wire string `yaml:"wire"`
	// HTTP is the listen address for health checks and metrics, as IP:port.
	HTTP string `yaml:"http"`
	// Entries are the addresses of entries, or of a load balancer in front of
	// them, as IP:port.
	Entries []string `yaml:"entries"`
	// TargetURL is the base URL of the target beside the agent.
	TargetURL string `yaml:"target"`
	// MaxConnections is the most calls to the target that may be open at a time.
	MaxConnections int      `yaml:"connections"`
	Platform       Platform `yaml:"platform"`
	Leases         Leases   `yaml:"leases"`
	Log            Log      `yaml:"log"`
	// MemoryMiB is the memory that the process may use.
	MemoryMiB int64 `yaml:"memory"`
	// Descriptors is how many descriptors the process may open; nil means its limit
	// of open files (RLIMIT_NOFILE).
	Descriptors *int `yaml:"descriptors"`
	// DrainTimeout is the longest time that a graceful stop may take.
	DrainTimeout time.Duration `yaml:"drain"`
}

// Standin holds the settings of a process that stands in for a platform or a
// target in tests and demos.
type Standin struct {
	// HTTP is the listen address, as IP:port.
	HTTP string `yaml:"http"`
	// Kind is the kind of the target: worker or executor. The stand-in of a
	// platform has none.
	Kind string `yaml:"kind"`
	// Cores, MemoryMiB and Accelerators are the capacity of a worker.
	Cores        int `yaml:"cores"`
	MemoryMiB    int `yaml:"memory"`
	Accelerators int `yaml:"accelerators"`
	// Slots is the number of requests that an executor serves at a time.
	Slots int `yaml:"slots"`
	Log   Log `yaml:"log"`
}

// The defaults of the settings of entries and agents. Reads and writes are rate
// limits in calls a second.
const (
	defaultCallTimeout    = 2 * time.Second
	defaultEntryReads     = 600
	defaultEntryWrites    = 100
	defaultAgentReads     = 40
	defaultAgentWrites    = 20
	defaultAgentMemoryMiB = 128
	defaultHeartbeat      = time.Second
	defaultLease          = 5 * time.Second
	defaultMargin         = 500 * time.Millisecond
	defaultGrace          = time.Second
	defaultPackingWeight  = 0.5
	defaultMaxBodyBytes   = 64 << 10
	defaultDrainTimeout   = 30 * time.Second
	defaultMaxConnections = 60
)

// DefaultLeases returns the timing of a deployment whose files set none of it.
func DefaultLeases() Leases {
	return Leases{
		Heartbeat: defaultHeartbeat,
		Lease:     defaultLease,
		Margin:    defaultMargin,
		Grace:     defaultGrace,
	}
}

// defaultPlatform returns platform settings with rate limits in calls a second.
// The URL has no default.
func defaultPlatform(reads, writes float64) Platform {
	return Platform{
		CallTimeout:     defaultCallTimeout,
		ReadsPerSecond:  reads,
		WritesPerSecond: writes,
	}
}

// defaultLog returns the default log settings of entries, agents and stand-ins.
func defaultLog() Log {
	return Log{
		Level:  "info",
		Format: "text",
	}
}

// DefaultEntry returns the settings of an entry whose file sets none. Keys
// without a default, such as its ID and addresses, stay empty.
func DefaultEntry() Entry {
	return Entry{
		Platform: defaultPlatform(defaultEntryReads, defaultEntryWrites),
		Leases:   DefaultLeases(),
		Policy: Policy{
			PackingWeight: defaultPackingWeight,
		},
		Log:          defaultLog(),
		MaxBodyBytes: defaultMaxBodyBytes,
		DrainTimeout: defaultDrainTimeout,
	}
}

// DefaultAgent returns the settings of an agent whose file sets none. Keys
// without a default, such as its ID and addresses, stay empty.
func DefaultAgent() Agent {
	return Agent{
		Kind:           "worker",
		MaxConnections: defaultMaxConnections,
		Platform:       defaultPlatform(defaultAgentReads, defaultAgentWrites),
		Leases:         DefaultLeases(),
		Log:            defaultLog(),
		MemoryMiB:      defaultAgentMemoryMiB,
		DrainTimeout:   defaultDrainTimeout,
	}
}

// DefaultStandin returns the settings of a stand-in whose file sets none.
func DefaultStandin() Standin {
	return Standin{
		Log: defaultLog(),
	}
}
