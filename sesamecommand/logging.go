package sesamecommand

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

const (
	// logQueueLines is how many log lines may wait to be written, and logQueueBytes
	// how many bytes they may have.
	logQueueLines = 4096
	logQueueBytes = 4 << 20
	// logFlushTimeout bounds how long a process that ends waits for its last lines to
	// be written, if nobody reads its output.
	logFlushTimeout = time.Second
)

// startLog returns a logger with the level and format of the settings, which are
// validated already. Lines are written in the background, so that a process whose
// output is not read goes on. The function writes those that are left when the
// process ends; its error is that of the output.
func startLog(out io.Writer, l sesamesettings.Log) (*sesamelog.Logger, func() error) {
	queue := sesamelog.NewAsyncWriter(out, logQueueLines, logQueueBytes)
	logging, end := context.WithCancel(context.Background())
	var writer errgroup.Group
	written := make(chan struct{})
	writer.Go(func() error {
		defer close(written)
		return queue.Run(logging)
	})
	return newLogger(queue, l), func() error {
		end()
		flushing, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		select {
		case <-written:
			return writer.Wait()
		case <-flushing.Done():
			return nil
		}
	}
}

// newLogger returns a logger with the level and format of the settings, which
// are validated already.
func newLogger(w io.Writer, l sesamesettings.Log) *sesamelog.Logger {
	levels := map[string]sesamelog.Level{
		"debug": sesamelog.Debug,
		"info":  sesamelog.Info,
		"warn":  sesamelog.Warn,
		"error": sesamelog.Error,
	}
	return sesamelog.New(w, levels[l.Level], sesamelog.Format(l.Format))
}
