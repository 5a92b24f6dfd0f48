package sesameattempt

import "github.com/sesamestack/sesamestack/sesamelog"

// Log events of this package.
var (
	eventAttemptChanged  = sesamelog.Define(4200, sesamelog.Info, "state of attempt changed")
	eventAttemptDelayed  = sesamelog.Define(4201, sesamelog.Warn, "attempt delayed, to be tried again")
	eventOutcomeRecorded = sesamelog.Define(4202, sesamelog.Info, "outcome recorded")
)
