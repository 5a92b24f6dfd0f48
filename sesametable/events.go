package sesametable

import "github.com/sesamestack/sesamestack/sesamelog"

var (
	eventBreakerState    = sesamelog.Define(1000, sesamelog.Warn, "circuit breaker of the platform changed its state")
	eventAnswerLost      = sesamelog.Define(1001, sesamelog.Warn, "answer to a write was lost, its outcome is being read back")
	eventOutcomeResolved = sesamelog.Define(1002, sesamelog.Info, "outcome of a write with a lost answer is known")
	eventOutcomeUnknown  = sesamelog.Define(1003, sesamelog.Error, "outcome of a write stays unknown")
	eventThrottled       = sesamelog.Define(1004, sesamelog.Warn, "platform refuses calls above its rate")
)
