package sesameplanner

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// NoRoomError says that a guaranteed shape cannot be promised.
type NoRoomError struct {
	Team   sesamemodel.TeamID
	Index  int
	Shape  sesamemodel.Shape
	Reason string
}

// Error names the team, the shape and the reason.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("guarantee %d of team %q, %v, does not fit: %s", e.Index, e.Team, e.Shape, e.Reason)
}
