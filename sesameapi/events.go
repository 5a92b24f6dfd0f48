package sesameapi

import "github.com/sesamestack/sesamestack/sesamelog"

// The numbered log events of the API. A hint is a notification to the planner that
// a job's row changed; the planner finds the row at its next poll without it.
var (
	eventSubmitted        = sesamelog.Define(5000, sesamelog.Info, "job submitted")
	eventCancelled        = sesamelog.Define(5001, sesamelog.Info, "job cancelled")
	eventResolved         = sesamelog.Define(5002, sesamelog.Warn, "unknown outcome resolved")
	eventContractsChanged = sesamelog.Define(5003, sesamelog.Info, "contracts changed")
	eventTargetReleased   = sesamelog.Define(5004, sesamelog.Info, "target released from quarantine")
	eventHintLost         = sesamelog.Define(5005, sesamelog.Warn, "hint lost, the next poll follows")
	eventRequestFailed    = sesamelog.Define(5006, sesamelog.Error, "request failed")
	eventResultDamaged    = sesamelog.Define(5007, sesamelog.Error, "result is damaged")
	eventOutcomeUnknown   = sesamelog.Define(5008, sesamelog.Warn, "outcome of a write is unknown")
	eventRequestRefused   = sesamelog.Define(5009, sesamelog.Debug, "request refused")
)
