package sesamedemo_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamedemo"
	"github.com/sesamestack/sesamestack/sesamelog"
)

// TestRun checks that the demonstration succeeds and that its output shows a
// preemption with its reason, a refused job, a cancelled job and the table of
// completion times.
func TestRun(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(sesamedemo.Run(context.Background(), &out, sesamelog.Discard()))
	for _, part := range []string{
		"was stopped: ", // a preemption and its reason
		"too-large of crews is refused",
		"given-up of crews is cancelled",
		"TEAM",
		"every job ended as it should",
	} {
		is.True(strings.Contains(out.String(), part))
	}
}
