package sesamelog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// AsyncWriter is a writer that never blocks: lines wait in a bounded ring for Run to
// write them, and lines that find it full are counted and left out.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a ring for that many lines.
func NewAsyncWriter(out io.Writer, lines int) *AsyncWriter {
	return &AsyncWriter{
		out:   out,
		lines: make(chan []byte, lines),
	}
}

// Write queues one line.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case r.lines <- kept:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that still wait.
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

// write puts the number of lines that were left out in front of the next one.
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

var eventDropped = Define(1, Warn, "lines left out of the log")
