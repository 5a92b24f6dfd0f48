package sesameagent

import "github.com/sesamestack/sesamestack/sesamelog"

// The log events of the agent. Their numbers are stable, since operators match
// them. The keeper is the entry that grants the agent's lease. An incarnation is
// one start of the agent, or a new identity that it took since. An effect is a
// queued start or stop of an attempt's tasks, or a queued lease renewal.
var (
	eventStarted             = sesamelog.Define(2000, sesamelog.Info, "agent started")
	eventLeaving             = sesamelog.Define(2001, sesamelog.Info, "agent leaving")
	eventStopped             = sesamelog.Define(2002, sesamelog.Info, "agent stopped")
	eventIncarnationRenewed  = sesamelog.Define(2003, sesamelog.Info, "agent took a new incarnation")
	eventKeeperChanged       = sesamelog.Define(2010, sesamelog.Info, "heartbeats go to another entry")
	eventKeeperLost          = sesamelog.Define(2011, sesamelog.Warn, "entry did not answer a heartbeat")
	eventStaleEpoch          = sesamelog.Define(2012, sesamelog.Warn, "lease from a keeper with an old epoch ignored")
	eventNoLease             = sesamelog.Define(2013, sesamelog.Warn, "entry granted no lease, heartbeats go to another one")
	eventTargetLost          = sesamelog.Define(2020, sesamelog.Warn, "target unreachable or does not accept the agent's lease")
	eventTargetBack          = sesamelog.Define(2021, sesamelog.Info, "target accepts the agent's lease")
	eventPrepared            = sesamelog.Define(2030, sesamelog.Debug, "attempt prepared")
	eventRefused             = sesamelog.Define(2031, sesamelog.Info, "attempt refused")
	eventOpened              = sesamelog.Define(2032, sesamelog.Info, "attempt opened")
	eventEnded               = sesamelog.Define(2033, sesamelog.Info, "attempt ended")
	eventOutcomeRecorded     = sesamelog.Define(2034, sesamelog.Debug, "outcome recorded")
	eventOutcomeNotRecorded  = sesamelog.Define(2035, sesamelog.Warn, "outcome not recorded, to be sent again")
	eventAdopted             = sesamelog.Define(2036, sesamelog.Info, "attempt of an earlier incarnation adopted")
	eventOrphanStopped       = sesamelog.Define(2037, sesamelog.Info, "task of an earlier incarnation stopped")
	eventStartFailed         = sesamelog.Define(2040, sesamelog.Warn, "task not started")
	eventHaltFailed          = sesamelog.Define(2041, sesamelog.Warn, "task not stopped, to be tried again")
	eventSaveFailed          = sesamelog.Define(2042, sesamelog.Warn, "output not stored, to be tried again")
	eventPollFailed          = sesamelog.Define(2043, sesamelog.Warn, "tasks could not be listed")
	eventGangHeartbeatFailed = sesamelog.Define(2050, sesamelog.Warn, "parent in the gang did not answer")
	eventRingFull            = sesamelog.Define(2060, sesamelog.Warn, "effect queue is full")
)
