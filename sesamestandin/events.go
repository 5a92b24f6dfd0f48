package sesamestandin

import "github.com/sesamestack/sesamestack/sesamelog"

var eventFaults = sesamelog.Define(1100, sesamelog.Info, "faults of the stand-in platform changed")
