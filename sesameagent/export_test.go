package sesameagent

// Abort ends the agent at once, as a crash would: it does not drain and does
// not notify its keeper.
func (a *Agent) Abort() {
	a.abort()
}
