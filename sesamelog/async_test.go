package sesamelog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
)

// TestAsyncWriter checks that writing to a full buffer does not block, and that
// the number of dropped lines is logged.
func TestAsyncWriter(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ring := sesamelog.NewAsyncWriter(&out, 2, 100)
	for _, line := range []string{"one\n", "two\n", "three\n", "four\n"} {
		n, err := ring.Write([]byte(line))
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(ring.Run(ctx))
	is.True(strings.Contains(out.String(), `"lines":2`))
	is.True(strings.HasSuffix(out.String(), "one\ntwo\n"))
}

// TestAsyncWriterBytes checks that long lines do not take more than the bound, and
// that there is room again once they are written.
func TestAsyncWriterBytes(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ring := sesamelog.NewAsyncWriter(&out, 100, 10)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 {
		for _, line := range []string{"1234\n", "5678\n", "9\n"} {
			_, err := ring.Write([]byte(line))
			is.NoErr(err)
		}
		is.NoErr(ring.Run(ended))
	}
	is.Equal(strings.Count(out.String(), "1234\n5678\n"), 2)
	is.Equal(strings.Count(out.String(), "9\n"), 0)
}
