package sesamesoak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdClients is how many clients of a crowd call an entry at once, and
	// crowdPause how long one waits before it connects again.
	crowdClients = 60
	crowdPause   = 200 * time.Millisecond
	// maxCrowdSpan is the longest time that a crowd stays.
	maxCrowdSpan = 8 * time.Second
)

// unfinishedRequests are what the clients of crowds send: requests that lack their
// end. They stay connected then, and don't read answers.
func unfinishedRequests() []string {
	head := fmt.Sprintf("POST /batch/%016x HTTP/1.1\r\nHost: soak\r\nAuthorization: Bearer key\r\n", 1<<40)
	var fields strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&fields, "f%d:\r\n", i)
	}
	return []string{
		"",
		head,
		head + fields.String(),
		head + fields.String() + "Content-Length: 9\r\n\r\n",
		head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999),
		head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 20_000),
	}
}

// crowdEntries has a crowd call each entry at a random time of faultPeriod, whatever
// happens to the entry meanwhile. It returns when all crowds have left.
func (s *soak) crowdEntries(r *rand.Rand) {
	requests := unfinishedRequests()
	var crowds sync.WaitGroup
	for _, entry := range s.processes[:soakEntries] {
		at := time.Duration(r.IntN(int(faultPeriod)))
		span := time.Duration(r.IntN(int(maxCrowdSpan)))
		for range crowdClients {
			request := requests[r.IntN(len(requests))]
			crowds.Go(func() {
				time.Sleep(at)
				for until := time.Now().Add(span); time.Now().Before(until); {
					sendUnfinished(entry.callerAddress, request, until)
					time.Sleep(crowdPause)
				}
			})
		}
	}
	crowds.Wait()
}

// sendUnfinished sends the request on a connection of its own, and stays connected
// until the entry closes it or the time is over.
func sendUnfinished(address, request string, until time.Time) {
	dialer := net.Dialer{
		Deadline: until,
	}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return // The entry is being restarted.
	}
	defer connection.Close()
	if connection.SetDeadline(until) != nil {
		return
	}
	if _, err := io.WriteString(connection, request); err != nil {
		return // The entry has closed the connection.
	}
	// It returns when the connection is closed, or at the deadline.
	_, _ = io.Copy(io.Discard, connection)
}
