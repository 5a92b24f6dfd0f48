package sesamecontract

import (
	"sync/atomic"
)

// NotReadError means that this process has not read the contracts since its
// start.
type NotReadError struct {
	// Cause is the error of the latest read; nil before the first.
	Cause error
}

// Error returns a message with the cause, if there is one.
func (e *NotReadError) Error() string {
	if e.Cause == nil {
		return "contracts have not been read yet"
	}
	return "contracts have not been read yet: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotReadError) Unwrap() error {
	return e.Cause
}

// Holder holds the set with the highest number among those offered to it. It
// is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Set]
}

// NewHolder returns a holder without contracts.
func NewHolder() *Holder {
	return &Holder{}
}

// Current returns the set held, or a *NotReadError if there is none yet.
func (h *Holder) Current() (*Set, error) {
	set := h.current.Load()
	if set == nil {
		return nil, &NotReadError{}
	}
	return set, nil
}

// Number returns the number of the set held; 0 if there is none yet.
func (h *Holder) Number() uint64 {
	set := h.current.Load()
	if set == nil {
		return 0
	}
	return set.Number()
}

// Offer replaces the set held if the number of the given one is higher, and
// reports whether it did.
func (h *Holder) Offer(set *Set) bool {
	for {
		held := h.current.Load()
		if held != nil && held.Number() >= set.Number() {
			return false
		}
		if h.current.CompareAndSwap(held, set) {
			return true
		}
	}
}
