package sesameplanner

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// NoRoomError is returned by Admit for a guaranteed shape that the cells cannot
// form in addition to the guarantees already given.
type NoRoomError struct {
	Team sesamemodel.TeamID
	// Index is the position of the shape in the team's contract.
	Index int
	Shape sesamemodel.Shape
	// Reason says what is needed and how much is available.
	Reason string
}

// Error implements error; the message names the team, the shape and the reason.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("guarantee %d of team %q, %v, does not fit: %s", e.Index, e.Team, e.Shape, e.Reason)
}
