package sesamestandin

import "time"

// Fate is what becomes of one write and its answer.
type Fate int

const (
	// Answered writes are served as usual.
	Answered Fate = iota
	// Lost writes take effect, but their answer does not arrive.
	Lost
	// Late writes take effect after Faults.Delay; their answer is lost.
	Late
	// Dropped writes never take effect, and their answer is lost too.
	Dropped
)

// Faults are what a store does wrong.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Latency is added to each call. A write whose caller goes away before
	// takes effect nevertheless.
	Latency time.Duration
	// LoseAnswers decides about the write with that number, counted from 1
	// since the faults were set; nil answers all.
	LoseAnswers func(number int) Fate
	// Delay is for late writes.
	Delay time.Duration
	// ReadsPerSecond and WritesPerSecond are what the store serves in any one
	// second; calls above it are refused. 0 means no bound.
	ReadsPerSecond  int
	WritesPerSecond int
}

// writeFault returns what becomes of the write with that number.
func (f Faults) writeFault(number int) Fate {
	if f.LoseAnswers == nil {
		return Answered
	}
	return f.LoseAnswers(number)
}

// FaultsRequest is the body of POST /v1/faults.
type FaultsRequest struct {
	Down bool `json:"down,omitempty"`
	// Latency and Delay are in milliseconds.
	Latency int64 `json:"latency,omitempty"`
	Delay   int64 `json:"delay,omitempty"`
	// LoseEvery, LateEvery and DropEvery name each how many writes it takes
	// until the next one is lost, late or dropped; 0 means none.
	LoseEvery       int `json:"loseEvery,omitempty"`
	LateEvery       int `json:"lateEvery,omitempty"`
	DropEvery       int `json:"dropEvery,omitempty"`
	ReadsPerSecond  int `json:"readsPerSecond,omitempty"`
	WritesPerSecond int `json:"writesPerSecond,omitempty"`
}

// Faults returns the faults that the request asks for.
func (r FaultsRequest) Faults() Faults {
	return Faults{
		Down:            r.Down,
		Latency:         time.Duration(r.Latency) * time.Millisecond,
		Delay:           time.Duration(r.Delay) * time.Millisecond,
		LoseAnswers:     r.writeFault,
		ReadsPerSecond:  r.ReadsPerSecond,
		WritesPerSecond: r.WritesPerSecond,
	}
}

func (r FaultsRequest) writeFault(number int) Fate {
	switch {
	case isEveryNth(r.LoseEvery, number):
		return Lost
	case isEveryNth(r.LateEvery, number):
		return Late
	case isEveryNth(r.DropEvery, number):
		return Dropped
	default:
		return Answered
	}
}

func isEveryNth(n, number int) bool {
	return n > 0 && number%n == 0
}
