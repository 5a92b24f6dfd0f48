package sesamekeeper

import "github.com/sesamestack/sesamestack/sesamelog"

// Log events of this package.
var (
	eventTakeOver    = sesamelog.Define(3000, sesamelog.Info, "cell taken over")
	eventLost        = sesamelog.Define(3001, sesamelog.Warn, "target lost")
	eventRegistered  = sesamelog.Define(3002, sesamelog.Info, "target registered")
	eventLeaving     = sesamelog.Define(3003, sesamelog.Info, "target leaving")
	eventFlushFailed = sesamelog.Define(3004, sesamelog.Warn, "cell row not written, to be tried again")
	eventAdoptFailed = sesamelog.Define(3005, sesamelog.Debug, "agent not notified of its new keeper")
)
