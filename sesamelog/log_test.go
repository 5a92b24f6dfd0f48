package sesamelog_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
)

// TestLongValues checks that a line does not grow with what callers send.
func TestLongValues(t *testing.T) {
	long := strings.Repeat("é", 10_000)
	event := sesamelog.Event{
		Number: 1,
		Level:  sesamelog.Info,
		Text:   "test",
	}
	for name, value := range map[string]any{
		"text":  long,
		"error": errors.New(long),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			sesamelog.New(&out, sesamelog.Info, sesamelog.JSON).Emit(event, sesamelog.Fields{
				"short": "whole",
				name:    value,
			})
			is.True(out.Len() < 1500)
			is.True(strings.Contains(out.String(), "(20000 bytes)"))
			is.True(strings.Contains(out.String(), `"short":"whole"`))
		})
	}
}
