package sesameintake

import "github.com/sesamestack/sesamestack/sesamelog"

// Log events of the intake.
var (
	eventAccepted   = sesamelog.Define(7000, sesamelog.Info, "job accepted")
	eventRepeated   = sesamelog.Define(7001, sesamelog.Info, "job was accepted before")
	eventRefused    = sesamelog.Define(7002, sesamelog.Warn, "request refused")
	eventCancelled  = sesamelog.Define(7003, sesamelog.Info, "cancellation accepted")
	eventPolicy     = sesamelog.Define(7004, sesamelog.Info, "policy in force")
	eventBadPolicy  = sesamelog.Define(7005, sesamelog.Error, "policy can't be read")
	eventStoreLost  = sesamelog.Define(7006, sesamelog.Warn, "store does not answer")
	eventStoreBack  = sesamelog.Define(7007, sesamelog.Info, "store answers again")
	eventBadState   = sesamelog.Define(7008, sesamelog.Error, "state row can't be read")
	eventTurnedAway = sesamelog.Define(7009, sesamelog.Info, "job turned away for lack of room")
	eventBadSummary = sesamelog.Define(7010, sesamelog.Error, "planner's summary can't be read")

	eventEvacuations = sesamelog.Define(7030, sesamelog.Info, "evacuated zones changed")
)
