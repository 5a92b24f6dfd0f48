package sesamerunner

import "github.com/cockroachdb/errors"

// superseded is the reason of sessions that end because another agent process
// has taken over the target.
const superseded = "a later agent serves the target"

// outdatedCallError says that the target refused a call because this agent has
// called it with a higher epoch meanwhile, after it had acquired the target's row
// again. The call was not carried out.
type outdatedCallError struct{}

// Error says that this agent's epoch has changed.
func (e *outdatedCallError) Error() string {
	return "target refused the order: this agent has a higher epoch by now"
}

// isSupersededCall reports whether the target refused a call because an agent
// with a higher epoch has called it.
func isSupersededCall(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == RefusedSuperseded
}

// checkEpoch returns the error of a call that was made with the epoch. If the
// target refused it only because of this agent's own higher epoch, that is an
// *outdatedCallError. The caller holds the lock.
func (s *session) checkEpoch(err error, epoch int64) error {
	if isSupersededCall(err) && epoch < s.agentEpoch {
		return &outdatedCallError{}
	}
	return err
}
