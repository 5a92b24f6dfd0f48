package sesamesettings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// present records a fault when the key is missing, and reports whether checks
// of its value make sense.
func (d *document) present(key string) bool {
	if d.faulty(key) || d.faulty(parentKey(key)) {
		return false
	}
	if !d.has(key) {
		d.fault(key, "is missing")
		return false
	}
	return true
}

// name checks a required name of a VM, zone, team or the like.
func (d *document) name(key, value string) {
	if d.present(key) {
		d.nameValue(key, value)
	}
}

func (d *document) nameValue(key, value string) {
	if !namePattern.MatchString(value) {
		d.fault(key, "is %q, expected 1 to 63 small letters, digits and hyphens", value)
	}
}

// oneOf checks a value that is one of a few words.
func (d *document) oneOf(key, value string, allowed ...string) {
	if d.faulty(key) {
		return
	}
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	d.fault(key, "is %q, expected one of %s", value, strings.Join(allowed, ", "))
}

// digest checks a SHA-256 in hex.
func (d *document) digest(key, value string) {
	if !d.faulty(key) && !digestPattern.MatchString(value) {
		d.fault(key, "is %q, expected a SHA-256 in 64 small hex digits; `sesamestack token` prints one", value)
	}
}

// listen checks a required IP:port to serve.
func (d *document) listen(key, value string) {
	if d.present(key) {
		d.addressValue(key, value)
	}
}

// reachable checks a required IP:port that other processes dial.
func (d *document) reachable(key, value string) {
	if !d.present(key) {
		return
	}
	if a := d.addressValue(key, value); a.IsValid() && a.Addr().IsUnspecified() {
		d.fault(key, "is %q, which other processes cannot dial; expected the address of this VM", value)
	}
}

func (d *document) addressValue(key, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		d.fault(key, "is %q, expected IP:port such as 10.0.0.5:7000", value)
		return netip.AddrPort{}
	}
	return address
}

// base checks a required base URL whose host is IP:port.
func (d *document) base(key, value string) {
	if !d.present(key) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" {
		d.fault(key, "is %q, expected a URL such as http://10.0.0.5:7000", value)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		d.fault(key, "is %q, expected IP:port as the host, such as http://10.0.0.5:7000", value)
	}
}

// number is a type whose values have an order and a unit of their own.
type number interface {
	~int | ~int64 | ~float64
}

// between checks that a value lies in a closed range.
func between[T number](d *document, key string, value, least, most T) {
	if d.faulty(key) || d.faulty(parentKey(key)) {
		return
	}
	if value < least || value > most {
		d.outOfRange(key, any(value), any(least), any(most))
	}
}

func (d *document) outOfRange(key string, value, least, most any) {
	if !d.has(key) {
		d.fault(key, "is missing, expected %v to %v", least, most)
		return
	}
	d.fault(key, "is %v, expected %v to %v", value, least, most)
}

// The ranges of the times that all processes of a deployment share.
const (
	minHeartbeat = 50 * time.Millisecond
	// maxHeartbeat leaves agents, which learn of contracts on heartbeats, a
	// second of the three in which a contract comes into force.
	maxHeartbeat = 2 * time.Second
	maxLease     = time.Minute
	minMargin    = 10 * time.Millisecond
	minGrace     = 10 * time.Millisecond
	// urgentStart is the bound from submission to start of urgent owed work;
	// urgentWork is the part that one preparation and two table writes may
	// take besides the grace.
	urgentStart = 2600 * time.Millisecond
	urgentWork  = time.Second
	// heartbeatsPerLease lets a lease outlive one lost heartbeat.
	heartbeatsPerLease = 2
)

func (d *document) leases(l Leases) {
	between(d, "leases.heartbeat", l.Heartbeat, minHeartbeat, maxHeartbeat)
	between(d, "leases.lease", l.Lease, minHeartbeat, maxLease)
	between(d, "leases.margin", l.Margin, minMargin, maxLease)
	between(d, "leases.grace", l.Grace, minGrace, urgentStart)
	if l.Lease < heartbeatsPerLease*l.Heartbeat {
		d.fault("leases.lease", "is %v, expected at least %d times the heartbeat of %v", l.Lease, heartbeatsPerLease, l.Heartbeat)
	}
	if l.Margin >= l.Lease {
		d.fault("leases.margin", "is %v, expected less than the lease of %v", l.Margin, l.Lease)
	}
	if l.Grace+urgentWork > urgentStart && !d.faulty("leases.grace") {
		d.fault("leases.grace", "is %v, expected at most %v, so that urgent work starts within %v", l.Grace, urgentStart-urgentWork, urgentStart)
	}
}

// The ranges of the settings that several kinds of process share. The rates
// are what the platform serves to all processes together.
const (
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = 30 * time.Second
	minRate           = 1
	maxPlatformReads  = 2000
	maxPlatformWrites = 300
	maxDrain          = time.Hour
)

func (d *document) platform(p Platform) {
	d.base("platform.url", p.URL)
	between(d, "platform.timeout", p.Timeout, minTimeout, maxTimeout)
	between(d, "platform.reads", p.Reads, minRate, maxPlatformReads)
	between(d, "platform.writes", p.Writes, minRate, maxPlatformWrites)
}

func (d *document) log(l Log) {
	d.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
	d.oneOf("log.format", l.Format, "text", "json")
}

func (d *document) place(p Place) {
	d.name("place.region", p.Region)
	d.name("place.zone", p.Zone)
	if d.has("place.rack") && !d.faulty("place.rack") {
		d.nameValue("place.rack", p.Rack)
	}
	if d.has("place.cell") && !d.faulty("place.cell") {
		d.nameValue("place.cell", p.Cell)
	}
}
