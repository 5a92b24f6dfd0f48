package sesameguard

import "github.com/sesamestack/sesamestack/sesamelog"

// The events of this package. Each stands for all cases since the last one of
// its kind, at most one a second, because crowds of callers cause many.
var (
	eventClosed  = sesamelog.Define(7400, sesamelog.Warn, "connections closed to make room for new ones")
	eventRefused = sesamelog.Define(7401, sesamelog.Warn, "connections refused, all others are being served")
	eventNoRoom  = sesamelog.Define(7402, sesamelog.Warn, "requests refused, others use the room for heads and bodies")
	eventHead    = sesamelog.Define(7403, sesamelog.Warn, "requests refused, their heads exceed the limit")
	eventStalled = sesamelog.Define(7404, sesamelog.Info, "requests refused, their bodies did not arrive in time")
	eventAccept  = sesamelog.Define(7405, sesamelog.Warn, "connections can't be accepted, which is tried again")
)

// causes are the values of the label "cause" of the metric guard_refusals.
var causes = map[sesamelog.Event]string{
	eventClosed:  "closed",
	eventRefused: "connections",
	eventNoRoom:  "bytes",
	eventHead:    "head",
	eventStalled: "stalled",
	eventAccept:  "accept",
}
