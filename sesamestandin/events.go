package sesamestandin

import "github.com/sesamestack/sesamestack/sesamelog"

// eventFaults logs the faults that a POST /v1/faults has set.
var eventFaults = sesamelog.Define(1100, sesamelog.Info, "faults of the stand-in platform changed")
