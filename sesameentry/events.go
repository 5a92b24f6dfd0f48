package sesameentry

import "github.com/sesamestack/sesamestack/sesamelog"

var (
	eventStarted        = sesamelog.Define(4000, sesamelog.Info, "entry started")
	eventStopping       = sesamelog.Define(4001, sesamelog.Info, "entry stopping")
	eventStopped        = sesamelog.Define(4002, sesamelog.Info, "entry stopped")
	eventPlanningPaused = sesamelog.Define(4010, sesamelog.Warn, "planning paused, rows could not be read")
	eventHintLost       = sesamelog.Define(4011, sesamelog.Warn, "hint lost, the next reconciliation reads the rows")
	eventDecided        = sesamelog.Define(4012, sesamelog.Info, "job decided")
	eventConflict       = sesamelog.Define(4013, sesamelog.Debug, "decisions undone by another change")
	eventAttempt        = sesamelog.Define(4020, sesamelog.Info, "attempt moved on")
	eventAttemptDelayed = sesamelog.Define(4021, sesamelog.Warn, "attempt delayed, to be tried again")
	eventFinished       = sesamelog.Define(4022, sesamelog.Info, "outcome recorded")
	eventPeerSuspect    = sesamelog.Define(4030, sesamelog.Warn, "entry did not answer and is left out until it renews")
	eventRenewal        = sesamelog.Define(4031, sesamelog.Warn, "membership not renewed")
)
