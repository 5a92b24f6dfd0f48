package sesamedispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamelog"
)

// Log events of the planner.
var (
	eventPlanningBegins = sesamelog.Define(7100, sesamelog.Info, "planning begins")
	eventPlanningEnds   = sesamelog.Define(7101, sesamelog.Warn, "planning ends")
	eventBadRow         = sesamelog.Define(7102, sesamelog.Error, "row can't be read")
	eventOrdered        = sesamelog.Define(7103, sesamelog.Info, "run ordered")
	eventStopping       = sesamelog.Define(7104, sesamelog.Info, "run is to stop")
	eventEnded          = sesamelog.Define(7105, sesamelog.Info, "run ended")
	eventState          = sesamelog.Define(7106, sesamelog.Info, "state of job changed")
	eventTarget         = sesamelog.Define(7107, sesamelog.Info, "target changed")
	eventLost           = sesamelog.Define(7108, sesamelog.Warn, "target given up")
	eventConflict       = sesamelog.Define(7109, sesamelog.Info, "decision conflicted with another change")
	eventClaimed        = sesamelog.Define(7110, sesamelog.Info, "targets claimed for owed work")
	eventStalled        = sesamelog.Define(7111, sesamelog.Warn, "task shows no progress")
	eventSwept          = sesamelog.Define(7113, sesamelog.Info, "rows removed")
	eventNoInventory    = sesamelog.Define(7114, sesamelog.Warn, "inventory can't be read")
	eventViewRebuilt    = sesamelog.Define(7115, sesamelog.Warn, "view read anew, the feed no longer had its changes")
	eventEndIgnored     = sesamelog.Define(7116, sesamelog.Warn, "end of a run ignored")
	eventNoEnds         = sesamelog.Define(7117, sesamelog.Warn, "ends can't be read, changed targets are left to the feed")
	eventLateEnd        = sesamelog.Define(7118, sesamelog.Warn, "earlier run ended as done")
	eventCrashes        = sesamelog.Define(7119, sesamelog.Warn, "target crashed under unit")
	eventRejected       = sesamelog.Define(7120, sesamelog.Error, "store refuses a write of the planner, which is left out for a while")
	eventMarker         = sesamelog.Define(7130, sesamelog.Info, "zone was evacuated or taken back")
	eventUnfit          = sesamelog.Define(7131, sesamelog.Warn, "guaranteed work does not fit outside evacuated zones")
	eventReleased       = sesamelog.Define(7127, sesamelog.Info, "units that are done are kept as a set, the rows of their runs are removed")
	eventAwaitsEnds     = sesamelog.Define(7134, sesamelog.Debug, "owed unit waits for runs that end soon")
	eventSummary        = sesamelog.Define(7135, sesamelog.Info, "summary for entries written or removed, new jobs are or are no longer turned away")
	eventSpeeds         = sesamelog.Define(7140, sesamelog.Info, "kinds of targets by speed changed")
	eventSpeedWait      = sesamelog.Define(7141, sesamelog.Debug, "unit waits for faster targets")
	eventUpkeepPanicked = sesamelog.Define(7142, sesamelog.Error, "upkeep panicked, planning begins anew and leaves it out for a while")
	eventHandedOver     = sesamelog.Define(7125, sesamelog.Info, "planning is handed over to a larger entry")
	eventNoSuccessor    = sesamelog.Define(7126, sesamelog.Warn, "entry does not plan, it is not named as successor for a while")
	eventWaiting        = sesamelog.Define(7112, sesamelog.Debug, "unit waits for room")
)

// Log events of the planner about its knowledge of evacuated zones.
var (
	eventEvacuationsUnknown = sesamelog.Define(7132, sesamelog.Warn, "evacuated zones not known, nothing is started")
	eventEvacuationsKnown   = sesamelog.Define(7133, sesamelog.Info, "evacuated zones known again")
)

// startWaitBuckets, for the time from when a unit is ready to its run's order,
// go from 5 ms to about 80 s.
var startWaitBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)
