package sesamesoak_test

import (
	"fmt"
	"time"

	"github.com/sesamestack/sesamestack/platform/emulator"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

// evacuationBound is the platform's: nothing may be started in a zone later than
// this after its evacuation was acknowledged.
const evacuationBound = 5 * time.Second

// evacuateRepeatedly uses the zone and evacuates it in turn, each for the next of
// the spans. Its last one is an evacuation, after which the zone is taken back.
func (s *soak) evacuateRepeatedly(zone int, spans []time.Duration) error {
	for i, span := range spans {
		if err := s.setEvacuated(zone, i%2 == 1); err != nil {
			return err
		}
		time.Sleep(span)
	}
	return s.setEvacuated(zone, false)
}

// setEvacuated evacuates the zone or takes it back, as operators do, whose calls
// don't fail.
func (s *soak) setEvacuated(zone int, evacuated bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.evacuatedAt, zone)
	if err := emulator.SetEvacuated(s.t.Context(), s.rows, fmt.Sprintf("zone-%d", zone), evacuated); err != nil {
		return err
	}
	if evacuated {
		s.evacuatedAt[zone] = time.Now()
	}
	return nil
}

// mayStart reports whether a run may be started on the target as far as
// evacuations matter. That holds for all agents, since those that are cut off from
// the store start nothing from an old view.
func (s *soak) mayStart(target *sesamestandin.LeasedTarget) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, evacuated := s.evacuatedAt[s.zones[target.ID()]]
	return !evacuated || time.Since(at) <= evacuationBound
}
