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

// requireKey records a fault when the key is missing, and reports whether checks
// of its value make sense.
func (d *document) requireKey(key string) bool {
	if d.hasProblem(key) || d.hasProblem(parentKey(key)) {
		return false
	}
	if !d.isSet(key) {
		d.addProblem(key, "is missing")
		return false
	}
	return true
}

// checkRequiredName checks a required name of a VM, zone, team or the like.
func (d *document) checkRequiredName(key, value string) {
	if d.requireKey(key) {
		d.checkName(key, value)
	}
}

func (d *document) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		d.addProblem(key, "is %q, expected 1 to 63 small letters, digits and hyphens", value)
	}
}

// checkOneOf checks a value that is one of a few words.
func (d *document) checkOneOf(key, value string, allowed ...string) {
	if d.hasProblem(key) {
		return
	}
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	d.addProblem(key, "is %q, expected one of %s", value, strings.Join(allowed, ", "))
}

// checkDigest checks a SHA-256 in hex.
func (d *document) checkDigest(key, value string) {
	if !d.hasProblem(key) && !digestPattern.MatchString(value) {
		d.addProblem(key, "is %q, expected a SHA-256 in 64 small hex digits; `sesamestack token` prints one", value)
	}
}

// checkListenAddress checks a required IP:port to serve.
func (d *document) checkListenAddress(key, value string) {
	if d.requireKey(key) {
		d.checkAddress(key, value)
	}
}

// checkDialAddress checks a required IP:port that other processes dial.
func (d *document) checkDialAddress(key, value string) {
	if !d.requireKey(key) {
		return
	}
	if a := d.checkAddress(key, value); a.IsValid() && a.Addr().IsUnspecified() {
		d.addProblem(key, "is %q, which other processes cannot dial; expected the address of this VM", value)
	}
}

func (d *document) checkAddress(key, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		d.addProblem(key, "is %q, expected IP:port such as 10.0.0.5:7000", value)
		return netip.AddrPort{}
	}
	return address
}

// checkBaseURL checks a required base URL whose host is IP:port.
func (d *document) checkBaseURL(key, value string) {
	if !d.requireKey(key) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" {
		d.addProblem(key, "is %q, expected a URL such as http://10.0.0.5:7000", value)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		d.addProblem(key, "is %q, expected IP:port as the host, such as http://10.0.0.5:7000", value)
	}
}

// orderedNumber is a type whose values have an order and a unit of their own.
type orderedNumber interface {
	~int | ~int64 | ~float64
}

// checkRange checks that a value lies in a closed range.
func checkRange[T orderedNumber](d *document, key string, value, least, most T) {
	if d.hasProblem(key) || d.hasProblem(parentKey(key)) {
		return
	}
	if value < least || value > most {
		d.addOutOfRange(key, any(value), any(least), any(most))
	}
}

func (d *document) addOutOfRange(key string, value, least, most any) {
	if !d.isSet(key) {
		d.addProblem(key, "is missing, expected %v to %v", least, most)
		return
	}
	d.addProblem(key, "is %v, expected %v to %v", value, least, most)
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
	// maxUrgentStart is the bound from submission to start of urgent owed work;
	// urgentOverhead is the part that one preparation and two table writes may
	// take besides the grace.
	maxUrgentStart = 2600 * time.Millisecond
	urgentOverhead = time.Second
	// minHeartbeatsPerLease lets a lease outlive one lost heartbeat.
	minHeartbeatsPerLease = 2
)

func (d *document) checkLeases(l Leases) {
	checkRange(d, "leases.heartbeat", l.Heartbeat, minHeartbeat, maxHeartbeat)
	checkRange(d, "leases.lease", l.Lease, minHeartbeat, maxLease)
	checkRange(d, "leases.margin", l.Margin, minMargin, maxLease)
	checkRange(d, "leases.grace", l.Grace, minGrace, maxUrgentStart)
	if l.Lease < minHeartbeatsPerLease*l.Heartbeat {
		d.addProblem("leases.lease", "is %v, expected at least %d times the heartbeat of %v", l.Lease, minHeartbeatsPerLease, l.Heartbeat)
	}
	if l.Margin >= l.Lease {
		d.addProblem("leases.margin", "is %v, expected less than the lease of %v", l.Margin, l.Lease)
	}
	if l.Grace+urgentOverhead > maxUrgentStart && !d.hasProblem("leases.grace") {
		d.addProblem("leases.grace", "is %v, expected at most %v, so that urgent work starts within %v", l.Grace, maxUrgentStart-urgentOverhead, maxUrgentStart)
	}
}

// The ranges of the settings that several kinds of process share. The rates
// are what the platform serves to all processes together.
const (
	minTimeout         = 10 * time.Millisecond
	maxTimeout         = 30 * time.Second
	minCallsPerSecond  = 1
	maxReadsPerSecond  = 2000
	maxWritesPerSecond = 300
	maxDrainTimeout    = time.Hour
)

func (d *document) checkPlatform(p Platform) {
	d.checkBaseURL("platform.url", p.URL)
	checkRange(d, "platform.timeout", p.CallTimeout, minTimeout, maxTimeout)
	checkRange(d, "platform.reads", p.ReadsPerSecond, minCallsPerSecond, maxReadsPerSecond)
	checkRange(d, "platform.writes", p.WritesPerSecond, minCallsPerSecond, maxWritesPerSecond)
}

func (d *document) checkLog(l Log) {
	d.checkOneOf("log.level", l.Level, "debug", "info", "warn", "error")
	d.checkOneOf("log.format", l.Format, "text", "json")
}

func (d *document) checkPlace(p Place) {
	d.checkRequiredName("place.region", p.Region)
	d.checkRequiredName("place.zone", p.Zone)
	if d.isSet("place.rack") && !d.hasProblem("place.rack") {
		d.checkName("place.rack", p.Rack)
	}
	if d.isSet("place.cell") && !d.hasProblem("place.cell") {
		d.checkName("place.cell", p.Cell)
	}
}
