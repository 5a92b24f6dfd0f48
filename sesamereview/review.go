package sesamereview

import (
	"fmt"
	"slices"

	"github.com/sesamestack/sesamestack/sesamework"
)

// Severity says whether a finding speaks against sending the configuration.
type Severity int

const (
	// Error means that the configuration should not be sent.
	Error Severity = iota
	// Warning means that an operator should have intended what was found.
	Warning
)

// String returns error or warning.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Kind is the kind of an entry of a configuration.
type Kind string

// The kinds of entries. There is one KindPolicy, the configuration as a whole, and
// one KindLimits.
const (
	KindPolicy  Kind = "policy"
	KindQueue   Kind = "queue"
	KindTeam    Kind = "team"
	KindLimits  Kind = "limits"
	KindService Kind = "service"
)

// Entry is an entry of a configuration that a finding or a change is about.
type Entry struct {
	Kind Kind
	Name string
	// Position counts queues and teams from 1; it identifies one without a name.
	Position int
}

// String returns the kind and the name, or the position if there is no name.
func (e Entry) String() string {
	switch {
	case e.Name != "":
		return fmt.Sprintf("%s %q", e.Kind, e.Name)
	case e.Position > 0:
		return fmt.Sprintf("%s %d", e.Kind, e.Position)
	}
	return string(e.Kind)
}

// Field is a field of an entry. Files may call it by another name.
type Field string

// The fields of entries.
const (
	FieldNumber        Field = "number"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldService       Field = "service"
	FieldPriority      Field = "priority"
	FieldAttempts      Field = "attempts"
	FieldStretch       Field = "stretch"
	FieldLatency       Field = "latency"
	FieldTimeout       Field = "timeout"
	FieldPublic        Field = "public"
	FieldKeys          Field = "keys"
	FieldGuarantee     Field = "guarantee"
	FieldHeaderBytes   Field = "header bytes"
	FieldBodyBytes     Field = "body bytes"
	FieldHeaderTimeout Field = "header timeout"
	FieldIdleTimeout   Field = "idle timeout"
)

// Finding is one fault or doubt. Its texts hold no access key.
type Finding struct {
	Severity Severity
	Entry    Entry
	// Field is empty if the finding is about the entry as a whole.
	Field   Field
	Problem string
}

// Configuration is a policy and what else the operators' file holds.
type Configuration struct {
	Policy *sesamework.Policy
	// Services are the services that the file lists, nil if it has no such list;
	// then they are not checked.
	Services []string
}

// Options is what a configuration is checked against.
type Options struct {
	// InForce is the configuration in force, nil if none is known.
	InForce *Configuration
	// Accelerators is the number of accelerators of the deployment, 0 if unknown.
	Accelerators int64
}

// HasErrors reports whether a finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool {
		return f.Severity == Error
	})
}

// Check returns what is wrong or doubtful in the proposed configuration, errors
// first.
func Check(proposed Configuration, o Options) []Finding {
	r := reviewer{
		policy: proposed.Policy,
	}
	for i, q := range r.policy.Queues {
		r.checkQueue(i, q)
		r.checkQueueAgainstEarlier(i, q)
	}
	for i, t := range r.policy.Teams {
		r.checkTeam(i, t)
	}
	r.checkSharedKeys()
	r.checkQueuesTogether()
	r.checkGuarantees(o.Accelerators)
	r.checkBounds()
	if proposed.Services != nil {
		r.checkServices(proposed.Services)
	}
	if o.InForce != nil {
		r.checkInForce(o.InForce.Policy)
	}
	slices.SortStableFunc(r.findings, func(a, b Finding) int {
		return int(a.Severity - b.Severity)
	})
	return r.findings
}

// reviewer collects the findings of one call of Check.
type reviewer struct {
	policy   *sesamework.Policy
	findings []Finding
}

// fail adds an error.
func (r *reviewer) fail(e Entry, f Field, format string, args ...any) {
	r.add(Error, e, f, fmt.Sprintf(format, args...))
}

// warn adds a warning.
func (r *reviewer) warn(e Entry, f Field, format string, args ...any) {
	r.add(Warning, e, f, fmt.Sprintf(format, args...))
}

// add adds a finding.
func (r *reviewer) add(s Severity, e Entry, f Field, problem string) {
	r.findings = append(r.findings, Finding{
		Severity: s,
		Entry:    e,
		Field:    f,
		Problem:  problem,
	})
}

// queueEntry returns the entry of the queue with that index.
func queueEntry(i int, q sesamework.Queue) Entry {
	return Entry{
		Kind:     KindQueue,
		Name:     q.Name,
		Position: i + 1,
	}
}

// teamEntry returns the entry of the team with that index.
func teamEntry(i int, t sesamework.Team) Entry {
	return Entry{
		Kind:     KindTeam,
		Name:     t.Name,
		Position: i + 1,
	}
}
