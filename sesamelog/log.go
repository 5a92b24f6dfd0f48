// Package sesamelog writes structured logs as numbered events.
//
// Each package defines its events once, mostly in a file events.go, with
// numbers from its own range; docs/EVENTS.md lists all events.
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
//	7400-7499  sesameguard
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
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
)

// Fields are the key-value pairs logged with one event.
type Fields = logrus.Fields

// Level is the severity of an event.
type Level = logrus.Level

// The severities, from the lowest to the highest.
const (
	Debug = logrus.DebugLevel
	Info  = logrus.InfoLevel
	Warn  = logrus.WarnLevel
	Error = logrus.ErrorLevel
)

// Format is the encoding of log lines.
type Format string

// The encodings of log lines: Text is meant for people, JSON for programs that
// collect logs.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Event is a kind of log line, with a number that is unique in the program.
type Event struct {
	Number int
	Level  Level
	Text   string
}

// catalogue holds the events that Define has registered, by their numbers.
var catalogue = struct {
	sync.Mutex
	events map[int]Event
}{
	events: map[int]Event{},
}

// Define registers an event in the catalogue and returns it. It panics when
// the number is taken: packages define their events in package variables, so
// the program fails at its start.
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

// Catalogue returns all registered events, sorted by number.
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

// Logger writes events with structured fields.
type Logger struct {
	entry *logrus.Entry
}

// jsonTime is the layout of timestamps in JSON lines. It includes
// milliseconds, so that the lines of several processes can be sorted by time.
const jsonTime = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes the events of at least the given level to
// w.
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

// With returns a logger that adds the fields to every event.
func (l *Logger) With(f Fields) *Logger {
	return &Logger{
		entry: l.entry.WithFields(f),
	}
}

// maxValueBytes is the most bytes of a field's text that are logged. Some are what
// callers have sent, such as the path of a request.
const maxValueBytes = 1 << 10

// Emit writes one event with its fields, unless its level is below the logger's.
// A value of type error is written as its message. Of long texts only the beginning
// is written, with their length.
func (l *Logger) Emit(e Event, f Fields) {
	if !l.entry.Logger.IsLevelEnabled(e.Level) {
		return
	}
	fields := make(Fields, len(f)+1)
	for name, value := range f {
		fields[name] = shortened(value)
	}
	fields["event"] = e.Number
	l.entry.WithFields(fields).Log(e.Level, e.Text)
}

// shortened returns the value, or the beginning of a long text.
func shortened(value any) any {
	var text string
	switch v := value.(type) {
	case string:
		text = v
	case error:
		text = v.Error()
	default:
		return value
	}
	if len(text) <= maxValueBytes {
		return value
	}
	return fmt.Sprintf("%s… (%d bytes)", strings.ToValidUTF8(text[:maxValueBytes], ""), len(text))
}
