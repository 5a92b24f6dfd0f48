package sesamereview

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamework"
)

// Action is what happened to an entry between two configurations.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Action Action
	Entry  Entry
	// Field and Detail say which field changed, and how; only for Changed. Keys
	// are only counted.
	Field  Field
	Detail string
}

// Compare returns what the second configuration changes: services, queues and
// teams by name, and limits. The number of the policy and the order of the entries
// are not compared.
func Compare(before, after Configuration) []Change {
	var all []Change
	service := func(name string) Entry {
		return Entry{
			Kind: KindService,
			Name: name,
		}
	}
	all = appendPresence(all, before.Services, after.Services, service)
	all = appendQueueChanges(all, before.Policy, after.Policy)
	all = appendTeamChanges(all, before.Policy, after.Policy)
	return appendFieldChanges(all, Entry{
		Kind: KindLimits,
	}, boundsFields(before.Policy.Bounds), boundsFields(after.Policy.Bounds))
}

// appendPresence appends the names that only one of the two lists has.
func appendPresence(all []Change, before, after []string, entry func(string) Entry) []Change {
	appendMissing := func(action Action, names, others []string) {
		for _, name := range names {
			if !slices.Contains(others, name) {
				all = append(all, Change{
					Action: action,
					Entry:  entry(name),
				})
			}
		}
	}
	appendMissing(Removed, before, after)
	appendMissing(Added, after, before)
	return all
}

// appendQueueChanges appends the changes of queues.
func appendQueueChanges(all []Change, before, after *sesamework.Policy) []Change {
	names := func(p *sesamework.Policy) []string {
		var list []string
		for _, q := range p.Queues {
			list = append(list, q.Name)
		}
		return list
	}
	entry := func(name string) Entry {
		return Entry{
			Kind: KindQueue,
			Name: name,
		}
	}
	all = appendPresence(all, names(before), names(after), entry)
	for _, q := range after.Queues {
		if i := findQueue(before, q.Name); i >= 0 {
			all = appendFieldChanges(all, entry(q.Name), queueFields(before.Queues[i]), queueFields(q))
		}
	}
	return all
}

// appendTeamChanges appends the changes of teams, of their keys only the numbers.
func appendTeamChanges(all []Change, before, after *sesamework.Policy) []Change {
	names := func(p *sesamework.Policy) []string {
		var list []string
		for _, t := range p.Teams {
			list = append(list, t.Name)
		}
		return list
	}
	entry := func(name string) Entry {
		return Entry{
			Kind: KindTeam,
			Name: name,
		}
	}
	all = appendPresence(all, names(before), names(after), entry)
	for _, t := range after.Teams {
		i := findTeam(before, t.Name)
		if i < 0 {
			continue
		}
		old := before.Teams[i]
		all = appendFieldChanges(all, entry(t.Name), teamFields(old), teamFields(t))
		added, removed := countMissing(t.Keys, old.Keys), countMissing(old.Keys, t.Keys)
		if added+removed > 0 {
			all = append(all, Change{
				Action: Changed,
				Entry:  entry(t.Name),
				Field:  FieldKeys,
				Detail: fmt.Sprintf("%d added, %d removed", added, removed),
			})
		}
	}
	return all
}

// countMissing returns how many of the keys are not among the others.
func countMissing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

// appendFieldChanges appends the fields that differ, sorted by field; both have the
// same fields.
func appendFieldChanges(all []Change, e Entry, before, after map[Field]any) []Change {
	for _, field := range slices.Sorted(maps.Keys(after)) {
		if before[field] != after[field] {
			all = append(all, Change{
				Action: Changed,
				Entry:  e,
				Field:  field,
				Detail: fmt.Sprintf("%v -> %v", before[field], after[field]),
			})
		}
	}
	return all
}

// queueFields returns the fields of a queue besides its name.
func queueFields(q sesamework.Queue) map[Field]any {
	return map[Field]any{
		FieldHost:     q.Host,
		FieldPrefix:   q.Prefix,
		FieldService:  q.Terms.Service,
		FieldPriority: q.Terms.Priority,
		FieldAttempts: q.Terms.Attempts,
		FieldStretch:  q.Terms.Stretch,
		FieldLatency:  time.Duration(q.Terms.Latency) * time.Millisecond,
		FieldTimeout:  q.Timeout,
		FieldPublic:   q.Public,
	}
}

// teamFields returns the fields of a team besides its name and keys.
func teamFields(t sesamework.Team) map[Field]any {
	return map[Field]any{
		FieldGuarantee: t.Guaranteed,
	}
}

// boundsFields returns the limits.
func boundsFields(b sesamework.Bounds) map[Field]any {
	return map[Field]any{
		FieldHeaderBytes:   b.HeaderBytes,
		FieldBodyBytes:     b.BodyBytes,
		FieldHeaderTimeout: b.HeaderTimeout,
		FieldIdleTimeout:   b.IdleTimeout,
	}
}
