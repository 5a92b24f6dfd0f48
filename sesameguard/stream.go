package sesameguard

import "context"

// messageCost is the memory for each byte of a message beyond freeBytes: the
// buffers that it is gathered in, which double as they grow, and what it is
// decoded into.
const messageCost = 8

// Stream is a connection on which messages of another protocol than HTTP come,
// one call after the other. The guard counts the longest message that came on it,
// because the buffer for it is kept.
type Stream struct {
	*conn
	// unanswered is how many bytes have come since the last answer, and longest the
	// most that it was. The guard's mutex protects both.
	unanswered, longest int64
}

// Read reads what the caller sends. It fails with a *NoRoomError, after which the
// connection is to be closed, where there is no room for the message.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal := s.guard.take(context.Background(), s.conn, s.count(int64(n))); refusal != nil {
		return 0, refusal
	}
	return n, err
}

// count notes that n bytes have come and returns what they take.
func (s *Stream) count(n int64) int64 {
	now := s.guard.options.Clock.Now()
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	s.moveBackLocked(now)
	s.unanswered += n
	before := max(s.longest, freeBytes)
	s.longest = max(s.longest, s.unanswered)
	return max(0, s.longest-before) * messageCost
}

// Write writes an answer, for at most the guard's time for answers.
func (s *Stream) Write(p []byte) (int, error) {
	s.guard.mu.Lock()
	s.unanswered = 0
	s.guard.mu.Unlock()
	return s.conn.Write(p)
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
