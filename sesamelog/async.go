package sesamelog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// AsyncWriter is a writer that never blocks its callers. Lines are queued in a
// buffer of bounded size that Run writes to the output; lines that find the buffer
// full are dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	// maxBytes bounds the length of the queued lines together, and bytes is what it
	// is now.
	maxBytes int64
	bytes    atomic.Int64
	// dropped is the number of lines dropped since the last line was written.
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to out that buffers at most the given number
// of lines and of bytes.
func NewAsyncWriter(out io.Writer, lines int, maxBytes int64) *AsyncWriter {
	return &AsyncWriter{
		out:      out,
		lines:    make(chan []byte, lines),
		maxBytes: maxBytes,
	}
}

// Write queues one line, or drops it when the buffer is full. It always
// reports success.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if r.bytes.Add(size) > r.maxBytes {
		r.drop(size)
		return len(line), nil
	}
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.drop(size)
	}
	return len(line), nil
}

// drop counts a line of that size that is not queued.
func (r *AsyncWriter) drop(size int64) {
	r.bytes.Add(-size)
	r.dropped.Add(1)
}

// Run writes queued lines to the output until ctx ends, then writes those that
// are still queued and returns. The error is that of the output.
func (r *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-r.lines:
			if err := r.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return r.flush()
		}
	}
}

// flush writes the lines that are queued now.
func (r *AsyncWriter) flush() error {
	for {
		select {
		case line := <-r.lines:
			if err := r.write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// write writes one line. When lines were dropped before it, an event with
// their number is written first.
func (r *AsyncWriter) write(line []byte) error {
	defer r.bytes.Add(-int64(len(line)))
	if n := r.dropped.Swap(0); n > 0 {
		note := fmt.Sprintf("{\"event\":%d,\"level\":\"warning\",\"msg\":%q,\"lines\":%d}\n", eventDropped.Number, eventDropped.Text, n)
		if _, err := io.WriteString(r.out, note); err != nil {
			return err
		}
	}
	_, err := r.out.Write(line)
	return err
}

// eventDropped reports how many lines were dropped because the buffer was
// full.
var eventDropped = Define(1, Warn, "lines left out of the log")
