package sesamecommand

import "github.com/sesamestack/sesamestack/sesamelog"

// Log events of the processes that this package starts. eventReloaded follows
// a SIGHUP; eventFailover says whether calls to the store go direct or through
// another process.
var (
	eventServing  = sesamelog.Define(6000, sesamelog.Info, "process serves")
	eventStopped  = sesamelog.Define(6001, sesamelog.Info, "process stopped")
	eventDraining = sesamelog.Define(6002, sesamelog.Info, "process drains")
	eventReloaded = sesamelog.Define(6003, sesamelog.Info, "settings read again")
	eventFailover = sesamelog.Define(6004, sesamelog.Warn, "way to the store changed")
)
