package sesamestandin

import "time"

// WriteFault is what becomes of one write and its answer.
type WriteFault int

const (
	// NoFault writes are served as usual.
	NoFault WriteFault = iota
	// AnswerLost writes take effect, but their answer does not arrive.
	AnswerLost
	// AppliedLate writes take effect after Faults.Delay; their answer is lost.
	AppliedLate
	// WriteDropped writes never take effect, and their answer is lost too.
	WriteDropped
)

// Faults are what a store does wrong.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Latency is added to each call. A write whose caller goes away before
	// takes effect nevertheless.
	Latency time.Duration
	// OnWrite decides about the write with that number, counted from 1
	// since the faults were set; nil answers all.
	OnWrite func(number int) WriteFault
	// ApplyDelay is for late writes.
	ApplyDelay time.Duration
	// ReadsPerSecond and WritesPerSecond are what the store serves in any one
	// second; calls above it are refused. 0 means no bound.
	ReadsPerSecond  int
	WritesPerSecond int
}

// writeFault returns what becomes of the write with that number.
func (f Faults) writeFault(number int) WriteFault {
	if f.OnWrite == nil {
		return NoFault
	}
	return f.OnWrite(number)
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
		ApplyDelay:      time.Duration(r.Delay) * time.Millisecond,
		OnWrite:         r.writeFault,
		ReadsPerSecond:  r.ReadsPerSecond,
		WritesPerSecond: r.WritesPerSecond,
	}
}

func (r FaultsRequest) writeFault(number int) WriteFault {
	switch {
	case isEveryNth(r.LoseEvery, number):
		return AnswerLost
	case isEveryNth(r.LateEvery, number):
		return AppliedLate
	case isEveryNth(r.DropEvery, number):
		return WriteDropped
	default:
		return NoFault
	}
}

func isEveryNth(n, number int) bool {
	return n > 0 && number%n == 0
}
