package sesamestandin

import "time"

// WriteFault is the fault that a store injects into one write.
type WriteFault int

// The faults of a write.
const (
	// NoFault applies and answers the write as usual.
	NoFault WriteFault = iota
	// AnswerLost applies the write, but its answer is lost.
	AnswerLost
	// AppliedLate applies the write after Faults.ApplyDelay; its answer is
	// lost.
	AppliedLate
	// WriteDropped never applies the write, and its answer is lost as well.
	WriteDropped
)

// Faults configures the faults that a store injects.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Latency is added to each call. A transaction whose caller gives up during
	// it takes effect nevertheless; an object is not written then.
	Latency time.Duration
	// OnWrite returns the fault of the transaction with this number, counted
	// from 1 since the faults were set. If OnWrite is nil, no transaction has a
	// fault; writes of objects have none.
	OnWrite func(number int) WriteFault
	// ApplyDelay is the delay of AppliedLate writes.
	ApplyDelay time.Duration
	// ReadsPerSecond and WritesPerSecond limit the calls in each second of the
	// clock; calls above the limit are refused. 0 means no limit.
	ReadsPerSecond  int
	WritesPerSecond int
}

// writeFault returns the fault of the write with this number.
func (f Faults) writeFault(number int) WriteFault {
	if f.OnWrite == nil {
		return NoFault
	}
	return f.OnWrite(number)
}

// FaultsRequest is the body of POST /v1/faults.
type FaultsRequest struct {
	Down bool `json:"down,omitempty"`
	// Latency and Delay are in milliseconds; Delay is Faults.ApplyDelay.
	Latency int64 `json:"latency,omitempty"`
	Delay   int64 `json:"delay,omitempty"`
	// LoseEvery, LateEvery and DropEvery give every n-th write the fault
	// AnswerLost, AppliedLate or WriteDropped; 0 means none. The first of them
	// that applies to a write decides.
	LoseEvery       int `json:"loseEvery,omitempty"`
	LateEvery       int `json:"lateEvery,omitempty"`
	DropEvery       int `json:"dropEvery,omitempty"`
	ReadsPerSecond  int `json:"readsPerSecond,omitempty"`
	WritesPerSecond int `json:"writesPerSecond,omitempty"`
}

// Faults converts the request to the faults of a store.
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

// writeFault returns the fault of the write with this number.
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

// isEveryNth reports whether number is a multiple of n; never for n = 0.
func isEveryNth(n, number int) bool {
	return n > 0 && number%n == 0
}
