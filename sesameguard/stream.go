package sesameguard

// Stream is a connection on which messages of another protocol than HTTP come,
// one call after the other.
type Stream struct {
	*conn
}

// Read reads what the caller sends.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		now := s.guard.options.Clock.Now()
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		s.moveBackLocked(now)
	}
	return n, err
}

// BeginCall says that a call has been read to its end. Until EndCall, the
// connection is not closed to make room. It returns false if that has happened
// already.
func (s *Stream) BeginCall() bool {
	return s.beginHandling()
}

// EndCall says that the call has been answered.
func (s *Stream) EndCall() {
	now := s.guard.options.Clock.Now()
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	s.progress = now
	s.listLocked()
}
