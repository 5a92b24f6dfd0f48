package sesameagent

// Abort ends the agent without any of its farewells, as a crash would.
func (a *Agent) Abort() {
	a.abort()
}
