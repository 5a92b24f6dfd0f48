package sesamemodel

import "fmt"

// Span is the part of the platform within which all tasks of a gang must be
// placed: the same worker, rack, zone or region.
type Span string

// The spans, from the narrowest to the widest.
const (
	SpanWorker Span = "worker"
	SpanRack   Span = "rack"
	SpanZone   Span = "zone"
	SpanRegion Span = "region"
)

// Width orders spans: a wider span has a higher number. An unknown or
// empty span has width 0.
func (s Span) Width() int {
	switch s {
	case SpanWorker:
		return 1
	case SpanRack:
		return 2
	case SpanZone:
		return 3
	case SpanRegion:
		return 4
	}
	return 0
}

// Shape is a block of adjacent accelerators: a number of workers with a number
// of accelerators on each, all within one span.
type Shape struct {
	// Workers is the number of workers.
	Workers int `json:"workers" yaml:"workers"`
	// Accelerators is the number of accelerators on each worker.
	Accelerators int `json:"accelerators" yaml:"accelerators"`
	// Span is what all workers must be within.
	Span Span `json:"span" yaml:"span"`
}

// Total returns the number of accelerators in the shape, over all workers.
func (s Shape) Total() int {
	return s.Workers * s.Accelerators
}

// String returns the shape as workers, accelerators on each and span, such as
// "2x8/rack".
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d/%s", s.Workers, s.Accelerators, s.Span)
}
