package sesamesettings

import "time"

// Place says where a process runs.
type Place struct {
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	Rack   string `yaml:"rack"`
	// Cell groups neighbouring targets; empty means one cell a zone.
	Cell string `yaml:"cell"`
}

// CellID returns the cell in the form region/name.
func (p Place) CellID() string {
	if p.Cell != "" {
		return p.Region + "/" + p.Cell
	}
	return p.Region + "/" + p.Zone
}

// Platform says where the table and object service is.
type Platform struct {
	// URL is the base address, such as http://10.0.0.5:7000.
	URL string `yaml:"url"`
	// CallTimeout bounds one call.
	CallTimeout time.Duration `yaml:"timeout"`
	// ReadsPerSecond and Writes bound this process's calls a second.
	ReadsPerSecond  float64 `yaml:"reads"`
	WritesPerSecond float64 `yaml:"writes"`
}

// Log says how events are written.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

// Leases holds the times that agents and entries share; all processes of a
// deployment must have the same.
type Leases struct {
	Heartbeat time.Duration `yaml:"heartbeat"`
	Lease     time.Duration `yaml:"lease"`
	// Margin is how much longer than a lease its giver waits.
	Margin time.Duration `yaml:"margin"`
	// Grace is the time that a stopped task has for a checkpoint.
	Grace time.Duration `yaml:"grace"`
}

// Policy weighs what the planner optimises.
type Policy struct {
	// PackingWeight is the weight of low fragmentation against completion time,
	// from 0 (time only) to 1 (packing only).
	PackingWeight float64 `yaml:"packing"`
}

// Entry holds the settings of one entry.
type Entry struct {
	ID    string `yaml:"id"`
	Place Place  `yaml:"place"`
	// HTTP is the address for callers and operators, as IP:port.
	HTTP string `yaml:"http"`
	// Wire is the address for agents and other entries, as IP:port.
	Wire string `yaml:"wire"`
	// Operators are the SHA-256 digests of operators' access tokens by name.
	Operators map[string]string `yaml:"operators"`
	Platform  Platform          `yaml:"platform"`
	Leases    Leases            `yaml:"leases"`
	Policy    Policy            `yaml:"policy"`
	Log       Log               `yaml:"log"`
	// MaxBodyBytes bounds a request body, in bytes.
	MaxBodyBytes int64 `yaml:"maxbody"`
	// MaxOpenJobs bounds the open jobs that one entry plans for.
	MaxOpenJobs int `yaml:"queue"`
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration `yaml:"drain"`
}

// Agent holds the settings of one agent.
type Agent struct {
	// ID names the target.
	ID    string `yaml:"id"`
	Kind  string `yaml:"kind"`
	Place Place  `yaml:"place"`
	// Wire is the address for entries and other agents, as IP:port.
	Wire string `yaml:"wire"`
	// HTTP is the address for health and metrics, as IP:port.
	HTTP string `yaml:"http"`
	// Entries are addresses of entries or their balancer, as IP:port.
	Entries []string `yaml:"entries"`
	// TargetURL is the base address of the target beside the agent.
	TargetURL string `yaml:"target"`
	// MaxConnections bounds the open calls to the target.
	MaxConnections int           `yaml:"connections"`
	Platform       Platform      `yaml:"platform"`
	Leases         Leases        `yaml:"leases"`
	Log            Log           `yaml:"log"`
	DrainTimeout   time.Duration `yaml:"drain"`
}

// Standin holds the settings of a stand-in platform or target.
type Standin struct {
	// HTTP is the address to serve, as IP:port.
	HTTP string `yaml:"http"`
	// Kind of a target; unused by the platform.
	Kind         string `yaml:"kind"`
	Cores        int    `yaml:"cores"`
	MemoryMiB    int    `yaml:"memory"`
	Accelerators int    `yaml:"accelerators"`
	Slots        int    `yaml:"slots"`
	Log          Log    `yaml:"log"`
}

const (
	defaultCallTimeout    = 2 * time.Second
	defaultEntryReads     = 600
	defaultEntryWrites    = 100
	defaultAgentReads     = 40
	defaultAgentWrites    = 20
	defaultHeartbeat      = time.Second
	defaultLease          = 5 * time.Second
	defaultMargin         = 500 * time.Millisecond
	defaultGrace          = time.Second
	defaultPackingWeight  = 0.5
	defaultMaxBodyBytes   = 64 << 10
	defaultMaxOpenJobs    = 20000
	defaultDrainTimeout   = 30 * time.Second
	defaultMaxConnections = 60
)

// DefaultLeases returns the times of a deployment that sets none.
func DefaultLeases() Leases {
	return Leases{
		Heartbeat: defaultHeartbeat,
		Lease:     defaultLease,
		Margin:    defaultMargin,
		Grace:     defaultGrace,
	}
}

func defaultPlatform(reads, writes float64) Platform {
	return Platform{
		CallTimeout:     defaultCallTimeout,
		ReadsPerSecond:  reads,
		WritesPerSecond: writes,
	}
}

func defaultLog() Log {
	return Log{
		Level:  "info",
		Format: "text",
	}
}

// DefaultEntry returns the settings of an entry that sets none.
func DefaultEntry() Entry {
	return Entry{
		Platform: defaultPlatform(defaultEntryReads, defaultEntryWrites),
		Leases:   DefaultLeases(),
		Policy: Policy{
			PackingWeight: defaultPackingWeight,
		},
		Log:          defaultLog(),
		MaxBodyBytes: defaultMaxBodyBytes,
		MaxOpenJobs:  defaultMaxOpenJobs,
		DrainTimeout: defaultDrainTimeout,
	}
}

// DefaultAgent returns the settings of an agent that sets none.
func DefaultAgent() Agent {
	return Agent{
		Kind:           "worker",
		MaxConnections: defaultMaxConnections,
		Platform:       defaultPlatform(defaultAgentReads, defaultAgentWrites),
		Leases:         DefaultLeases(),
		Log:            defaultLog(),
		DrainTimeout:   defaultDrainTimeout,
	}
}

// DefaultStandin returns the settings of a stand-in that sets none.
func DefaultStandin() Standin {
	return Standin{
		Log: defaultLog(),
	}
}
