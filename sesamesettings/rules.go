package sesamesettings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// namePattern matches the names of processes, places, teams and the like;
// digestPattern matches a SHA-256 digest in lowercase hex.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// requireKey adds a problem if the key is missing. It reports whether the value
// should be checked further: the key is set, and neither it nor its parent has a
// problem yet.
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

// checkRequiredName checks a name of a VM, zone, team or the like that must be
// set.
func (d *document) checkRequiredName(key, value string) {
	if d.requireKey(key) {
		d.checkName(key, value)
	}
}

// checkName checks that a value is a valid name.
func (d *document) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		d.addProblem(key, "is %q, expected 1 to 63 small letters, digits and hyphens", value)
	}
}

// checkOneOf checks that a value is one of the allowed words.
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

// checkDigest checks that a value is a SHA-256 digest in lowercase hex.
func (d *document) checkDigest(key, value string) {
	if !d.hasProblem(key) && !digestPattern.MatchString(value) {
		d.addProblem(key, "is %q, expected a SHA-256 in 64 small hex digits; `sesamestack token` prints one", value)
	}
}

// checkListenAddress checks a required IP:port that only this process listens
// on. The IP may be unspecified, such as 0.0.0.0.
func (d *document) checkListenAddress(key, value string) {
	if d.requireKey(key) {
		d.checkAddress(key, value)
	}
}

// checkDialAddress checks a required IP:port that processes dial, so that the IP
// can't be unspecified, such as 0.0.0.0.
func (d *document) checkDialAddress(key, value string) {
	if !d.requireKey(key) {
		return
	}
	if a := d.checkAddress(key, value); a.IsValid() && a.Addr().IsUnspecified() {
		d.addProblem(key, "is %q, which other processes cannot dial; expected the address of this VM", value)
	}
}

// checkAddress checks that a value is an IP:port with a port above 0 and returns
// it parsed, or the zero value if it is invalid.
func (d *document) checkAddress(key, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		d.addProblem(key, "is %q, expected IP:port such as 10.0.0.5:7000", value)
		return netip.AddrPort{}
	}
	return address
}

// checkBaseURL checks a required HTTP or HTTPS URL without a path, whose host is
// an IP:port.
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

// orderedNumber is satisfied by the numeric types of settings, including
// time.Duration, whose values checkRange compares and prints in their own unit.
type orderedNumber interface {
	~int | ~int64 | ~float64
}

// checkRange checks that a value is between least and most, both included. A
// value whose key or parent key has a problem is skipped.
func checkRange[T orderedNumber](d *document, key string, value, least, most T) {
	if d.hasProblem(key) || d.hasProblem(parentKey(key)) {
		return
	}
	if value < least || value > most {
		d.addOutOfRange(key, any(value), any(least), any(most))
	}
}

// addOutOfRange adds the problem that a value is not within its range, or that
// it is missing if the key isn't set.
func (d *document) addOutOfRange(key string, value, least, most any) {
	if !d.isSet(key) {
		d.addProblem(key, "is missing, expected %v to %v", least, most)
		return
	}
	d.addProblem(key, "is %v, expected %v to %v", value, least, most)
}

// The allowed ranges of the timing that all processes of a deployment share.
const (
	minHeartbeat = 50 * time.Millisecond
	// maxHeartbeat: a changed contract must come into force within three
	// seconds, and agents learn of it by heartbeats, so this leaves them one
	// second.
	maxHeartbeat = 2 * time.Second
	maxLease     = time.Minute
	minMargin    = 10 * time.Millisecond
	minGrace     = 10 * time.Millisecond
	// maxUrgentStart is the longest time from submission to start of urgent work
	// that is owed, which means placed within its team's guarantee.
	// urgentOverhead is the part of it that one prepare call and two table
	// writes may take. What remains is for the grace of the tasks that must stop
	// first.
	maxUrgentStart = 2600 * time.Millisecond
	urgentOverhead = time.Second
	// minHeartbeatsPerLease is the smallest ratio of lease to heartbeat, so that a
	// lease survives one lost heartbeat.
	minHeartbeatsPerLease = 2
)

// checkLeases checks the ranges of the timing and how the values depend on each
// other: the lease must outlast a lost heartbeat, the margin (the wait after a
// lease before it is treated as expired) must be shorter than the lease, and the
// grace (the time that a stopped task gets) must leave urgentOverhead of
// maxUrgentStart to start urgent work.
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

// The allowed ranges of settings that several kinds of process have. The largest
// rates are what the platform serves to all processes together.
const (
	minTimeout         = 10 * time.Millisecond
	maxTimeout         = 30 * time.Second
	minCallsPerSecond  = 1
	maxReadsPerSecond  = 2000
	maxWritesPerSecond = 300
	maxDrainTimeout    = time.Hour
)

// checkPlatform checks the settings of the platform's client.
func (d *document) checkPlatform(p Platform) {
	d.checkBaseURL("platform.url", p.URL)
	checkRange(d, "platform.timeout", p.CallTimeout, minTimeout, maxTimeout)
	checkRange(d, "platform.reads", p.ReadsPerSecond, minCallsPerSecond, maxReadsPerSecond)
	checkRange(d, "platform.writes", p.WritesPerSecond, minCallsPerSecond, maxWritesPerSecond)
}

// checkLog checks the level and format of the log.
func (d *document) checkLog(l Log) {
	d.checkOneOf("log.level", l.Level, "debug", "info", "warn", "error")
	d.checkOneOf("log.format", l.Format, "text", "json")
}

// checkPlace checks where a process runs; rack and cell are optional.
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
