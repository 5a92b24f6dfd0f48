package sesamecontract

import (
	"sync/atomic"
)

// NotReadError says that this process has not read the contracts since its
// start.
type NotReadError struct {
	// Cause is the failure of the newest try; nil before the first.
	Cause error
}

// Error names the cause.
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

// Holder keeps the set with the highest number that was offered. It is safe
// for concurrent use.
type Holder struct {
	current atomic.Pointer[Set]
}

// NewHolder returns a holder without contracts.
func NewHolder() *Holder {
	return &Holder{}
}

// Current returns the set held, or a *NotReadError before the first.
func (h *Holder) Current() (*Set, error) {
	set := h.current.Load()
	if set == nil {
		return nil, &NotReadError{}
	}
	return set, nil
}

// Number returns the number of the set held; 0 before the first.
func (h *Holder) Number() uint64 {
	set := h.current.Load()
	if set == nil {
		return 0
	}
	return set.Number()
}

// Offer takes the set if its number is higher than that of the set held, and
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
