package sesamerunner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamelog"
)

// Log events of the runner.
var (
	eventDraining       = sesamelog.Define(7200, sesamelog.Info, "target started or stopped draining")
	eventSessionBegin   = sesamelog.Define(7201, sesamelog.Info, "session with target begins")
	eventSessionEnd     = sesamelog.Define(7202, sesamelog.Info, "session with target ends")
	eventStarted        = sesamelog.Define(7203, sesamelog.Info, "run started")
	eventStartFail      = sesamelog.Define(7204, sesamelog.Warn, "run not started")
	eventStopped        = sesamelog.Define(7205, sesamelog.Info, "stop ordered")
	eventStopFail       = sesamelog.Define(7206, sesamelog.Warn, "stop not answered")
	eventRunEnded       = sesamelog.Define(7207, sesamelog.Info, "run ended on target")
	eventNeverRan       = sesamelog.Define(7208, sesamelog.Warn, "run will not start")
	eventRenewFail      = sesamelog.Define(7209, sesamelog.Warn, "target does not answer")
	eventRenewBack      = sesamelog.Define(7210, sesamelog.Info, "target answers again")
	eventStoreLost      = sesamelog.Define(7211, sesamelog.Warn, "report not confirmed")
	eventStoreBack      = sesamelog.Define(7212, sesamelog.Info, "report confirmed again")
	eventUnwanted       = sesamelog.Define(7213, sesamelog.Warn, "target runs what the planner has not ordered")
	eventBadRow         = sesamelog.Define(7214, sesamelog.Error, "row can't be read")
	eventCrashed        = sesamelog.Define(7221, sesamelog.Warn, "target crashed")
	eventStale          = sesamelog.Define(7215, sesamelog.Info, "late report ignored")
	eventReplaced       = sesamelog.Define(7216, sesamelog.Warn, "run ended that was assumed never to have started")
	eventAcknowledged   = sesamelog.Define(7217, sesamelog.Info, "recorded ends acknowledged")
	eventGivenUp        = sesamelog.Define(7218, sesamelog.Warn, "planner has given up a target that answers")
	eventLongCheckpoint = sesamelog.Define(7222, sesamelog.Warn, "checkpoint is too long to be kept")
	eventRejected       = sesamelog.Define(7223, sesamelog.Error, "store refuses a report")
	eventEvacuation     = sesamelog.Define(7230, sesamelog.Info, "zone was evacuated or taken back")
	eventCapacity       = sesamelog.Define(7220, sesamelog.Info, "capacity of target changed")
)

// callBuckets are the histogram buckets for durations of calls to targets and
// to the store, from 1 ms to about 8 s.
var callBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
