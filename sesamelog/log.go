// Package sesamelog writes structured logs as numbered events.
//
// Each package defines its events once, in a file events.go, with numbers from
// its own range; docs/EVENTS.md lists them all.
//
//	1000-1099  sesametable
//	1100-1199  sesamestandin
//	2000-2099  sesameagent
//	2100-2199  sesamegang
//	3000-3099  sesamekeeper
//	4000-4099  sesameentry
//	4100-4199  sesameplanner
//	4200-4299  sesameattempt
//	5000-5099  sesameapi
//	6000-6099  sesamecommand
//	7000-7099  sesameintake
//	7100-7199  sesamedispatch
//	7200-7299  sesamerunner
//	7300-7399  platform
//
// # Usage
//
//	var eventStarted = sesamelog.Define(4000, sesamelog.Info, "entry started")
//
//	log.Emit(eventStarted, sesamelog.Fields{
//		"address": address,
//	})
package sesamelog

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Fields are the values that belong to one event.
type Fields = logrus.Fields

// Level says how much an event matters.
type Level = logrus.Level

// The levels, from the least to the most important.
const (
	Debug = logrus.DebugLevel
	Info  = logrus.InfoLevel
	Warn  = logrus.WarnLevel
	Error = logrus.ErrorLevel
)

// Format names how events are written.
type Format string

// The formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Event is one kind of log line.
type Event struct {
	Number int
	Level  Level
	Text   string
}

var catalogue = struct {
	sync.Mutex
	events map[int]Event
}{
	events: map[int]Event{},
}

// Define adds an event to the catalogue. It panics when the number is taken,
// which a program finds at its start.
func Define(number int, level Level, text string) Event {
	catalogue.Lock()
	defer catalogue.Unlock()
	if taken, ok := catalogue.events[number]; ok {
		panic(fmt.Sprintf("event %d is defined twice: %q and %q", number, taken.Text, text))
	}
	event := Event{
		Number: number,
		Level:  level,
		Text:   text,
	}
	catalogue.events[number] = event
	return event
}

// Catalogue returns all defined events in the order of their numbers.
func Catalogue() []Event {
	catalogue.Lock()
	defer catalogue.Unlock()
	events := make([]Event, 0, len(catalogue.events))
	for _, e := range catalogue.events {
		events = append(events, e)
	}
	sort.Slice(events, func(i, k int) bool {
		return events[i].Number < events[k].Number
	})
	return events
}

// Logger writes events.
type Logger struct {
	entry *logrus.Entry
}

// jsonTime shows milliseconds, so that lines of several processes can be put
// in order.
const jsonTime = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of at least that level to w.
func New(w io.Writer, level Level, format Format) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	if format == JSON {
		l.SetFormatter(&logrus.JSONFormatter{
			TimestampFormat: jsonTime,
		})
	} else {
		l.SetFormatter(&logrus.TextFormatter{
			FullTimestamp: true,
		})
	}
	return &Logger{
		entry: logrus.NewEntry(l),
	}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, Error, Text)
}

// With returns a logger that adds the fields to each event.
func (l *Logger) With(f Fields) *Logger {
	return &Logger{
		entry: l.entry.WithFields(f),
	}
}

// Emit writes one event. A value of type error under the field "error" is
// written as its message.
func (l *Logger) Emit(e Event, f Fields) {
	l.entry.WithFields(f).WithField("event", e.Number).Log(e.Level, e.Text)
}
