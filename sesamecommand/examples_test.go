package sesamecommand_test

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesameplanner"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// TestExampleGuaranteesFit checks that the planner admits the contracts of each
// example: all guarantees fit on the example's workers at the same time.
func TestExampleGuaranteesFit(t *testing.T) {
	for _, deployment := range []string{"corchera", "hlasy"} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			contracts, err := sesamesettings.LoadContracts(filepath.Join("../examples", deployment))
			is.NoErr(err)
			is.Equal(len(contracts), 4)
			changed, err := sesameplanner.Admit(contracts, exampleCells(is, deployment))
			is.NoErr(err)
			is.True(len(changed) > 0)
		})
	}
}

// exampleCells returns the cells (groups of neighbouring targets) with the
// example's ten workers, 8 accelerators each.
func exampleCells(is *is.I, deployment string) []sesamemodel.Cell {
	byID := map[sesamemodel.CellID]sesamemodel.Cell{}
	for i := range 10 {
		agent, err := sesamesettings.LoadAgent(filepath.Join("../examples", deployment, "settings", fmt.Sprintf("worker-%02d.yaml", i+1)))
		is.NoErr(err)
		id := sesamemodel.CellID(agent.Place.CellID())
		cell := byID[id]
		cell.ID = id
		cell.Region = agent.Place.Region
		cell.Zone = agent.Place.Zone
		byID[id] = cell.WithTarget(sesamemodel.Target{
			ID:     sesamemodel.TargetID(agent.ID),
			Kind:   sesamemodel.Worker,
			Zone:   agent.Place.Zone,
			Rack:   agent.Place.Rack,
			Health: sesamemodel.Ready,
			Capacity: sesamemodel.Resources{
				Cores:        60,
				Memory:       250 << 10,
				Accelerators: 8,
			},
		})
	}
	cells := make([]sesamemodel.Cell, 0, len(byID))
	for _, cell := range byID {
		cells = append(cells, cell)
	}
	return cells
}
