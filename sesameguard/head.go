package sesameguard

import (
	"bytes"
	"net/http"
)

const (
	// freeBytes is what the head of a request, and again its body, may take
	// before more is taken from the guard's bytes. Most requests stay below it,
	// so that long ones never keep them out. It is a part of connectionBytes.
	freeBytes = 4 << 10
	// headCost is the memory for each further byte of a head: its lines are
	// gathered and then copied into strings.
	headCost = 2
	// freeFields is how many fields a head may have before more is taken from the
	// guard's bytes, and fieldCost the memory for each further one: its place in a
	// map that doubles as it grows, its name and its list of values, however short
	// these are.
	freeFields = 64
	fieldCost  = 256
	// headSlack is how much more than the limit is read of a head. What a request
	// with an allowed head may send beyond it is spaces between fields, and its
	// body, of which net/http reads up to readAhead with the head.
	headSlack = 8 << 10
	// readAhead is the size of the buffer that net/http reads a connection into.
	readAhead = 4 << 10
)

// headScan counts what has come of the head of a request.
type headScan struct {
	bytes, lines int
	// text says that the line that has not ended yet is not empty.
	text bool
	// started says that a line was not empty, and ended that the empty line after
	// the fields has come.
	started, ended bool
}

// add counts the next bytes of the connection and returns how many of them can be
// handed to net/http. What follows the head may be the next one, which net/http
// parses from its buffer without reading: add holds back what has more lines than
// the fields that are free.
func (s *headScan) add(p []byte) int {
	n := 0
	for n < len(p) && !s.ended {
		line, _, complete := bytes.Cut(p[n:], []byte{'\n'})
		n += len(line)
		if len(bytes.TrimSuffix(line, []byte{'\r'})) > 0 {
			s.text = true
		}
		if complete {
			n++
			s.endLine()
		}
	}
	n += limitLines(p[n:])
	s.bytes += n
	return n
}

// endLine counts a line that has ended.
func (s *headScan) endLine() {
	if s.text {
		s.lines++
		s.started = true
	} else {
		s.ended = s.started
	}
	s.text = false
}

// cost returns what the head takes of the guard's bytes, for its length and for
// its fields.
func (s *headScan) cost() (length, fields int64) {
	return int64(max(0, s.bytes-freeBytes)) * headCost, fieldsCost(s.lines)
}

// fieldsCost returns what that many fields take of the guard's bytes.
func fieldsCost(fields int) int64 {
	return int64(max(0, fields-freeFields)) * fieldCost
}

// limitLines returns the length of the longest part at the beginning of p that
// has no more than freeFields lines.
func limitLines(p []byte) int {
	n := 0
	for range freeFields {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			return len(p)
		}
		n += end + 1
	}
	return n
}

// countFields returns how many fields of a request were parsed, with the names of
// trailers that it announces.
func countFields(r *http.Request) int {
	fields := len(r.Trailer)
	for _, values := range r.Header {
		fields += len(values)
	}
	return fields
}

// KeepFields drops the fields of the head but for the first values of those
// named, and returns what the others took. A handler calls it when it needs no
// others, before it waits for the body or for anything else.
func KeepFields(r *http.Request, names ...string) {
	kept := http.Header{}
	for _, name := range names {
		if value := r.Header.Get(name); value != "" {
			kept.Set(name, value)
		}
	}
	r.Header, r.Trailer = kept, nil
	if c := connOf(r.Context()); c != nil {
		c.dropFields(kept)
	}
}
