package sesameentry

import "github.com/sesamestack/sesamestack/sesamelog"

var (
	eventStarted            = sesamelog.Define(4000, sesamelog.Info, "entry started")
	eventStopping           = sesamelog.Define(4001, sesamelog.Info, "entry stopping")
	eventStopped            = sesamelog.Define(4002, sesamelog.Info, "entry stopped")
	eventRequestsCut        = sesamelog.Define(4003, sesamelog.Error, "requests cut at the end of the drain time")
	eventPlanningPaused     = sesamelog.Define(4010, sesamelog.Warn, "planning paused, rows could not be read")
	eventHintLost           = sesamelog.Define(4011, sesamelog.Warn, "hint lost, the next reconciliation reads the rows")
	eventJobDecided         = sesamelog.Define(4012, sesamelog.Info, "decision about job committed")
	eventDecisionConflict   = sesamelog.Define(4013, sesamelog.Info, "decisions not committed, to be planned again")
	eventGuaranteeAtRisk    = sesamelog.Define(4014, sesamelog.Warn, "guarantee at risk")
	eventPlanningStarted    = sesamelog.Define(4015, sesamelog.Info, "entry plans from now on")
	eventPlanningHandedOver = sesamelog.Define(4016, sesamelog.Info, "another entry plans from now on")
	eventPeerSuspect        = sesamelog.Define(4030, sesamelog.Warn, "entry did not answer and is left out until it renews")
	eventRenewalFailed      = sesamelog.Define(4031, sesamelog.Warn, "membership not renewed")
)
