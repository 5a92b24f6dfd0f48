package sesamestandin

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addressCounter numbers the addresses of FreeAddress within a process.
var addressCounter atomic.Int32

// FreeAddress returns an address on loopback, as IP:port, on which another
// process may listen. No connection takes it between this choice and its use:
// each address has a host of its own within 127.0.0.0/8, while outgoing
// connections use ports of 127.0.0.1 only. Errors are those of listening.
func FreeAddress() (string, error) {
	n := addressCounter.Add(1)
	// Hosts differ by process, as long as few of them run at a time.
	host := fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%200, n/250, n%250+1)
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", host)
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}
