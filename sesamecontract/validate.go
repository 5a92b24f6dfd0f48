package sesamecontract

import (
	"encoding/hex"
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// InvalidField describes an invalid field of a contract.
type InvalidField struct {
	// Field is the path of the field in the contract's JSON, as in
	// "guarantees[0].span".
	Field string
	// Detail says what is wrong, as in "is 0, must be 1 or more".
	Detail string
}

const (
	// maxNameLength bounds the names of teams and classes, in bytes.
	maxNameLength = 63
	// digestHexLength is the length of a SHA-256 digest in hex.
	digestHexLength = 64
	// maxShapes is the most guaranteed shapes of a contract.
	maxShapes = 256
	// maxShapeWorkers is the most workers of a guaranteed shape.
	maxShapeWorkers = 1024
)

// invalidFields collects the invalid fields that a validation finds.
type invalidFields []InvalidField

// add appends an invalid field with a formatted detail.
func (f *invalidFields) add(field, format string, values ...any) {
	*f = append(*f, InvalidField{
		Field:  field,
		Detail: fmt.Sprintf(format, values...),
	})
}

// Validate returns the invalid fields of a contract, in the order of the
// contract's fields. It checks the contract alone, and not whether the cells
// can form the guarantees.
func Validate(c sesamemodel.Contract) []InvalidField {
	var f invalidFields
	if !validName(string(c.Team)) {
		f.add("team", "is %q, must be 1 to %d of a-z, 0-9, - and _", c.Team, maxNameLength)
	}
	if c.Weight < 0 {
		f.add("weight", "is %d, must be 0 or more", c.Weight)
	}
	if len(c.Guarantees) > maxShapes {
		f.add("guarantees", "has %d shapes, must have at most %d", len(c.Guarantees), maxShapes)
	}
	for i, s := range c.Guarantees {
		validateShape(&f, fmt.Sprintf("guarantees[%d]", i), s)
	}
	validateClasses(&f, c.Classes)
	validateLimits(&f, c.Limits)
	validateTokenDigests(&f, c.TokenDigests)
	return f
}

// validName reports whether s is a valid name of a team or a class.
func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_'
		if !letter {
			return false
		}
	}
	return true
}

// validateShape checks one guaranteed shape: a number of workers with some
// accelerators each, within a span such as a rack. field is the shape's path in
// the contract's JSON.
func validateShape(f *invalidFields, field string, s sesamemodel.Shape) {
	if s.Workers < 1 || s.Workers > maxShapeWorkers {
		f.add(field+".workers", "is %d, must be 1 to %d", s.Workers, maxShapeWorkers)
	}
	if s.Accelerators < 1 || s.Accelerators > sesamemodel.MaxTargetAccelerators {
		f.add(field+".accelerators", "is %d, must be 1 to %d", s.Accelerators, sesamemodel.MaxTargetAccelerators)
	}
	if s.Span.Width() == 0 {
		f.add(field+".span", "is %q, must be worker, rack, zone or region", s.Span)
	}
	if s.Span == sesamemodel.SpanWorker && s.Workers != 1 {
		f.add(field+".workers", "is %d, must be 1 within one worker", s.Workers)
	}
}

// validateClasses checks the names and urgencies of the classes, the named kinds
// of jobs that a team may submit.
func validateClasses(f *invalidFields, classes []sesamemodel.Class) {
	if len(classes) == 0 {
		f.add("classes", "is empty, the team could submit nothing")
	}
	seen := map[string]bool{}
	for i, c := range classes {
		field := fmt.Sprintf("classes[%d]", i)
		if !validName(c.Name) {
			f.add(field+".name", "is %q, must be 1 to %d of a-z, 0-9, - and _", c.Name, maxNameLength)
		}
		if seen[c.Name] {
			f.add(field+".name", "is %q, which is used twice", c.Name)
		}
		seen[c.Name] = true
		if c.Urgency.Rank() > sesamemodel.Batch.Rank() {
			f.add(field+".urgency", "is %q, must be urgent, normal or batch", c.Urgency)
		}
	}
}

// validateLimits checks the limits on open jobs, submissions, retries and
// borrowed accelerators.
func validateLimits(f *invalidFields, l sesamemodel.Limits) {
	if l.OpenJobs < 1 {
		f.add("limits.open", "is %d, must be 1 or more", l.OpenJobs)
	}
	if !(l.Rate > 0) { // also true for NaN
		f.add("limits.rate", "is %g, must be above 0", l.Rate)
	}
	if l.Burst < 1 {
		f.add("limits.burst", "is %d, must be 1 or more", l.Burst)
	}
	if l.RetriesPerHour < 0 {
		f.add("limits.retries", "is %d, must be 0 or more", l.RetriesPerHour)
	}
	if l.Borrow < 0 {
		f.add("limits.borrow", "is %d, must be 0 or more", l.Borrow)
	}
}

// validateTokenDigests adds an invalid field to f if there are no digests of
// access tokens, and one for each that is not a SHA-256 digest in lower-case hex.
func validateTokenDigests(f *invalidFields, digests []string) {
	if len(digests) == 0 {
		f.add("tokens", "is empty, the team could not authenticate")
	}
	for i, digest := range digests {
		sum, err := hex.DecodeString(digest)
		if err != nil || len(digest) != digestHexLength || hex.EncodeToString(sum) != digest {
			f.add(fmt.Sprintf("tokens[%d]", i), "must be a SHA-256 digest in lower-case hex")
		}
	}
}
