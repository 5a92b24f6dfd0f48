package sesamereview

import (
	"net"
	"slices"
	"strings"

	"github.com/sesamestack/sesamestack/sesamework"
)

// checkQueue checks a queue alone.
func (r *reviewer) checkQueue(i int, q sesamework.Queue) {
	e := queueEntry(i, q)
	r.requireText(e, FieldName, q.Name)
	r.requireText(e, FieldHost, q.Host)
	r.requireText(e, FieldPrefix, q.Prefix)
	r.requireText(e, FieldService, q.Terms.Service)
	// Requests are routed by the host without its port, and without wildcards.
	_, _, err := net.SplitHostPort(q.Host)
	if err == nil || strings.ContainsAny(q.Host, "/* \t") {
		r.fail(e, FieldHost, "%q never matches: it must be a host without scheme, port or wildcard", q.Host)
	}
	if q.Prefix != "" && (!strings.HasPrefix(q.Prefix, "/") || !strings.HasSuffix(q.Prefix, "/")) {
		r.fail(e, FieldPrefix, "%q does not begin and end with a slash", q.Prefix)
	}
	if q.Terms.Attempts < 1 {
		r.fail(e, FieldAttempts, "%d is less than 1", q.Terms.Attempts)
	}
	if !(q.Terms.Stretch > 0) {
		r.fail(e, FieldStretch, "%g is not above 0", q.Terms.Stretch)
	}
	// The timeout may be shorter than the latency: it bounds the answer to one
	// request, which never waits for the end of a job, and the latency bounds the
	// job.
	r.requireNonNegative(e, FieldPriority, int64(q.Terms.Priority))
	r.requireNonNegative(e, FieldLatency, q.Terms.Latency)
	r.requireNonNegative(e, FieldTimeout, q.Timeout.Milliseconds())
}

// requireText adds an error for an empty text.
func (r *reviewer) requireText(e Entry, f Field, text string) {
	if text == "" {
		r.fail(e, f, "is missing")
	}
}

// requireNonNegative adds an error for a negative value.
func (r *reviewer) requireNonNegative(e Entry, f Field, value int64) {
	if value < 0 {
		r.fail(e, f, "%d is negative", value)
	}
}

// checkQueueAgainstEarlier checks a queue against those before it. Of all queues
// whose prefix a path begins with the longest prefix is taken, so a queue with
// slashes around its prefix never matches only if an earlier one has the same.
func (r *reviewer) checkQueueAgainstEarlier(i int, q sesamework.Queue) {
	for k, earlier := range r.policy.Queues[:i] {
		if q.Name != "" && q.Name == earlier.Name {
			r.fail(queueEntry(i, q), FieldName, "queue %d has the same", k+1)
		}
		if strings.EqualFold(q.Host, earlier.Host) && q.Prefix == earlier.Prefix {
			r.fail(queueEntry(i, q), FieldPrefix, "never matches: %s has the same host and prefix", queueEntry(k, earlier))
			return
		}
	}
}

// checkTeam checks a team alone and its name against those before it.
func (r *reviewer) checkTeam(i int, t sesamework.Team) {
	e := teamEntry(i, t)
	r.requireText(e, FieldName, t.Name)
	r.requireNonNegative(e, FieldGuarantee, t.Guaranteed)
	if slices.Contains(t.Keys, "") {
		r.fail(e, FieldKeys, "an empty key never matches")
	}
	for k, earlier := range r.policy.Teams[:i] {
		if t.Name != "" && t.Name == earlier.Name {
			r.fail(e, FieldName, "team %d has the same", k+1)
			return
		}
	}
}

// checkSharedKeys checks that each key belongs to one team.
func (r *reviewer) checkSharedKeys() {
	owners := map[string]int{}
	for i, t := range r.policy.Teams {
		for _, key := range t.Keys {
			owner, ok := owners[key]
			if !ok {
				owners[key] = i
			} else if owner != i && key != "" {
				r.fail(teamEntry(i, t), FieldKeys, "%s has one of them too", teamEntry(owner, r.policy.Teams[owner]))
			}
		}
	}
}

// checkQueuesTogether checks that somebody can use the queues, and somebody those
// for urgent jobs as they are meant.
func (r *reviewer) checkQueuesTogether() {
	hasKey := slices.ContainsFunc(r.policy.Teams, func(t sesamework.Team) bool {
		return slices.ContainsFunc(t.Keys, func(key string) bool {
			return key != ""
		})
	})
	hasGuarantee := slices.ContainsFunc(r.policy.Teams, func(t sesamework.Team) bool {
		return t.Guaranteed > 0
	})
	for i, q := range r.policy.Queues {
		if !q.Public && !hasKey {
			r.fail(queueEntry(i, q), FieldPublic, "never matches: the queue is not public, and no team has a key")
		}
		if q.Terms.Priority == 0 && !hasGuarantee {
			r.warn(queueEntry(i, q), FieldPriority, "0 is for guaranteed jobs, and no team has a guarantee")
		}
	}
	if len(r.policy.Queues) == 0 {
		r.warn(Entry{
			Kind: KindPolicy,
		}, "", "has no queue: every request is answered 404")
	}
}

// checkGuarantees checks that all guarantees can be kept at the same time;
// accelerators of 0 are unknown.
func (r *reviewer) checkGuarantees(accelerators int64) {
	if accelerators <= 0 {
		return
	}
	left := accelerators
	for i, t := range r.policy.Teams {
		guaranteed := max(0, t.Guaranteed)
		if guaranteed > left {
			r.fail(teamEntry(i, t), FieldGuarantee, "%d is more than the %d of %d accelerators that the teams before leave",
				guaranteed, left, accelerators)
			return
		}
		left -= guaranteed
	}
}

// checkBounds checks the limits of requests and connections. 0 means that a limit
// is not set.
func (r *reviewer) checkBounds() {
	b := r.policy.Bounds
	e := Entry{
		Kind: KindLimits,
	}
	r.requireNonNegative(e, FieldHeaderBytes, int64(b.HeaderBytes))
	r.requireNonNegative(e, FieldBodyBytes, b.BodyBytes)
	r.requireNonNegative(e, FieldHeaderTimeout, b.HeaderTimeout.Milliseconds())
	r.requireNonNegative(e, FieldIdleTimeout, b.IdleTimeout.Milliseconds())
	if b.BodyBytes > 0 && int64(b.HeaderBytes) > b.BodyBytes {
		r.warn(e, FieldHeaderBytes, "%d is more than a body may have, %d", b.HeaderBytes, b.BodyBytes)
	}
	if b.IdleTimeout > 0 && b.HeaderTimeout > b.IdleTimeout {
		r.warn(e, FieldHeaderTimeout, "%s is longer than an idle connection stays open, %s", b.HeaderTimeout, b.IdleTimeout)
	}
	shortest := -1
	for i, q := range r.policy.Queues {
		if q.Timeout > 0 && (shortest < 0 || q.Timeout < r.policy.Queues[shortest].Timeout) {
			shortest = i
		}
	}
	if shortest >= 0 && b.HeaderTimeout > r.policy.Queues[shortest].Timeout {
		q := r.policy.Queues[shortest]
		r.warn(e, FieldHeaderTimeout, "%s is longer than the shortest timeout of a queue, %s of %s",
			b.HeaderTimeout, q.Timeout, queueEntry(shortest, q))
	}
}

// checkServices compares the services that the configuration lists with those that
// its queues name.
func (r *reviewer) checkServices(services []string) {
	used := map[string]bool{}
	for i, q := range r.policy.Queues {
		service := q.Terms.Service
		used[service] = true
		if service != "" && !slices.Contains(services, service) {
			r.fail(queueEntry(i, q), FieldService, "%q is not among the services listed", service)
		}
	}
	for i, service := range services {
		if !used[service] {
			r.warn(Entry{
				Kind:     KindService,
				Name:     service,
				Position: i + 1,
			}, "", "no queue uses it")
		}
	}
}

// checkInForce compares the number with that of the policy in force, and warns of
// what is removed. Entries ignore a policy whose number is not higher.
func (r *reviewer) checkInForce(inForce *sesamework.Policy) {
	if r.policy.Number <= inForce.Number {
		r.fail(Entry{
			Kind: KindPolicy,
		}, FieldNumber, "%d is not higher than the one in force, %d", r.policy.Number, inForce.Number)
	}
	for i, q := range inForce.Queues {
		if findQueue(r.policy, q.Name) < 0 {
			r.warn(queueEntry(i, q), "", "is removed: requests for its jobs are answered 404, or 410 by a queue in its place")
		}
	}
	for i, t := range inForce.Teams {
		if findTeam(r.policy, t.Name) < 0 {
			r.warn(teamEntry(i, t), "", "is removed: its callers are answered 401 by queues that are not public")
		}
	}
}

// findQueue returns the index of the first queue with that name, or -1.
func findQueue(p *sesamework.Policy, name string) int {
	return slices.IndexFunc(p.Queues, func(q sesamework.Queue) bool {
		return q.Name == name
	})
}

// findTeam returns the index of the first team with that name, or -1.
func findTeam(p *sesamework.Policy, name string) int {
	return slices.IndexFunc(p.Teams, func(t sesamework.Team) bool {
		return t.Name == name
	})
}
