package sesameattempt

import (
	"context"
	"sync"

	"github.com/sesamestack/sesamestack/sesamewire"
)

// fakeAgent gives the guarantees of an agent: an attempt opens only when
// prepared and not stopped, and starts once however often Open is repeated. It
// counts the starts.
type fakeAgent struct {
	sesamewire.DRPCAgentClient
	mu sync.Mutex
	// prepared, opened and tombstones have the numbers of the attempts that
	// were prepared, opened and stopped.
	prepared   map[uint32]bool
	opened     map[uint32]bool
	tombstones map[uint32]bool
	starts     int
	// interrupted makes Stop report opened tasks as stopped before their end,
	// not as done.
	interrupted bool
}

// newFakeAgent returns an agent that has seen no attempt.
func newFakeAgent() *fakeAgent {
	return &fakeAgent{
		prepared:   map[uint32]bool{},
		opened:     map[uint32]bool{},
		tombstones: map[uint32]bool{},
	}
}

// Prepare accepts every attempt that was not stopped.
func (a *fakeAgent) Prepare(_ context.Context, in *sesamewire.PrepareRequest) (*sesamewire.PrepareReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tombstones[in.GetId().GetAttempt()] {
		return &sesamewire.PrepareReply{
			Refusal: sesamewire.Refusal_REFUSAL_TOMBSTONE,
		}, nil
	}
	a.prepared[in.GetId().GetAttempt()] = true
	return &sesamewire.PrepareReply{}, nil
}

// Open starts a prepared attempt once, and refuses one that was stopped.
func (a *fakeAgent) Open(_ context.Context, in *sesamewire.OpenRequest) (*sesamewire.OpenReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt := in.GetId().GetAttempt()
	if a.tombstones[attempt] || !a.prepared[attempt] {
		return &sesamewire.OpenReply{
			Refusal: sesamewire.Refusal_REFUSAL_UNPREPARED,
		}, nil
	}
	if !a.opened[attempt] {
		a.opened[attempt] = true
		a.starts++
	}
	return &sesamewire.OpenReply{}, nil
}

// Stop reports how far the attempt came, and refuses its later calls.
func (a *fakeAgent) Stop(_ context.Context, in *sesamewire.StopRequest) (*sesamewire.StopReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt := in.GetId().GetAttempt()
	a.tombstones[attempt] = true
	progress := sesamewire.Progress_PROGRESS_NEVER
	if a.opened[attempt] {
		progress = sesamewire.Progress_PROGRESS_DONE
	}
	if a.opened[attempt] && a.interrupted {
		progress = sesamewire.Progress_PROGRESS_STOPPED
	}
	return &sesamewire.StopReply{
		Progress: progress,
	}, nil
}
