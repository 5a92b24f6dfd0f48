package sesamesettings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamesettings"
)

// The number of teams, workers and executors in each example deployment, as its
// users state them.
const (
	exampleTeams     = 4
	exampleWorkers   = 10
	exampleExecutors = 10
)

// TestExamples checks that all files of the example deployments are valid and
// describe the sizes and zones that their users state.
func TestExamples(t *testing.T) {
	zones := map[string]int{
		"corchera": 3,
		"hlasy":    4,
	}
	for name, count := range zones {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			root := filepath.Join("..", "examples", name)
			files, err := sesamesettings.Check(root)
			is.NoErr(err)
			is.Equal(files, exampleTeams+count+exampleWorkers+exampleExecutors)
			contracts, err := sesamesettings.LoadContracts(root)
			is.NoErr(err)
			is.Equal(len(contracts), exampleTeams)
		})
		t.Run(name+" has its zones, racks of three and connections", func(t *testing.T) {
			assertPlacement(t, filepath.Join("..", "examples", name, "settings"), count)
		})
	}
}

// assertPlacement checks the agents' settings in a directory: 60 connections
// each, the number of zones, and 4 racks of at most 3 workers.
func assertPlacement(t *testing.T, directory string, zones int) {
	t.Helper()
	is := is.New(t)
	files, err := os.ReadDir(directory)
	is.NoErr(err)
	seen := map[string]bool{}
	racks := map[string]int{}
	for _, f := range files {
		if f.Name()[:5] == "entry" {
			continue
		}
		a, err := sesamesettings.LoadAgent(filepath.Join(directory, f.Name()))
		is.NoErr(err)
		is.Equal(a.MaxConnections, 60)
		seen[a.Place.Zone] = true
		if a.Place.Rack != "" {
			racks[a.Place.Rack]++
		}
	}
	is.Equal(len(seen), zones)
	is.Equal(len(racks), 4)
	for _, workers := range racks {
		is.True(workers <= 3)
	}
}
