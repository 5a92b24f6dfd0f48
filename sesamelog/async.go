package sesamelog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// AsyncWriter is a writer that never blocks its callers. Lines are queued in a
// bounded buffer that Run writes to the output; lines that find the buffer
// full are dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	// dropped is the number of lines dropped since the last line was written.
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to out that buffers at most the given number
// of lines.
func NewAsyncWriter(out io.Writer, lines int) *AsyncWriter {
	return &AsyncWriter{
		out:   out,
		lines: make(chan []byte, lines),
	}
}

// Write queues one line, or drops it when the buffer is full. It always
// reports success.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case r.lines <- copied:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
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
