package sesamewire

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// defaultCallTimeout and defaultIdleTimeout apply when DialOptions has zeros.
	defaultCallTimeout = 2 * time.Second
	defaultIdleTimeout = time.Minute
	// maxIdleConns bounds the idle connections kept for one address. A connection
	// carries one call at a time, so parallel calls dial more.
	maxIdleConns = 2
	// network is the network that a DialFunc is called with.
	network = "tcp"
)

// DialError says that no connection to an address could be opened.
type DialError struct {
	// Address is host:port.
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("process at %q cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// DialFunc opens one transport connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialOptions configures a Dialer.
type DialOptions struct {
	// Timeout bounds each call, including the time to dial; 0 means 2 s.
	Timeout time.Duration
	// IdleTimeout is how long an idle connection is kept before it is closed; 0
	// means 1 minute.
	IdleTimeout time.Duration
	// Dial opens a connection; nil means net.Dialer.DialContext.
	Dial DialFunc
}

// Dialer makes RPC clients of other processes. Connections are pooled, and
// dialled again when they break. It is safe for concurrent use.
type Dialer struct {
	timeout time.Duration
	dial    DialFunc
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a dialer; it opens connections on the first calls.
func NewDialer(o DialOptions) *Dialer {
	if o.Timeout == 0 {
		o.Timeout = defaultCallTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return &Dialer{
		timeout: o.Timeout,
		dial:    o.Dial,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  o.IdleTimeout,
			KeyCapacity: maxIdleConns,
		}),
	}
}

// Agent returns a client of the agent at that address (host:port). No connection
// is opened before the first call; a failed dial is a *DialError.
func (d *Dialer) Agent(address string) DRPCAgentClient {
	return NewDRPCAgentClient(d.conn(address))
}

// Keeper returns a client of the Keeper service of the entry at that address,
// which takes the agents' heartbeats and outcomes. It connects as Agent does.
func (d *Dialer) Keeper(address string) DRPCKeeperClient {
	return NewDRPCKeeperClient(d.conn(address))
}

// Peer returns a client of the Peer service of the entry at that address, which
// entries serve for each other. It connects as Agent does.
func (d *Dialer) Peer(address string) DRPCPeerClient {
	return NewDRPCPeerClient(d.conn(address))
}

// Close closes the idle connections.
func (d *Dialer) Close() error {
	return d.pool.Close()
}

// conn returns a connection from the pool, which is dialled at the first call.
func (d *Dialer) conn(address string) drpc.Conn {
	return &retryingConn{
		Conn:    d.pool.Get(context.Background(), address, d.open),
		dialer:  d,
		address: address,
	}
}

// open dials the address, or returns a *DialError.
func (d *Dialer) open(ctx context.Context, address string) (drpcpool.Conn, error) {
	transport, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, &DialError{
			Address: address,
			Cause:   err,
		}
	}
	return drpcconn.New(transport), nil
}

// isConnectionClosed reports whether a call failed because its connection was
// closed. A failed dial is not one of these.
func isConnectionClosed(err error) bool {
	var dial *DialError
	if errors.As(err, &dial) {
		return false
	}
	var transport *net.OpError
	return drpc.ClosedError.Has(err) ||
		errors.As(err, &transport) ||
		errors.Is(err, io.EOF) ||
		errors.Is(err, context.Canceled)
}

// retryingConn gives every call a deadline, and retries once when its pooled
// connection turns out to be closed.
type retryingConn struct {
	drpc.Conn
	dialer  *Dialer
	address string
}

// Invoke makes one call within the timeout. The other side may have closed an
// idle connection, which shows only when it is used. Then the call is made
// again on a new connection, which is safe because every call of this package
// is idempotent.
func (c *retryingConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.dialer.timeout)
	defer cancel()
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err == nil || ctx.Err() != nil || !isConnectionClosed(err) {
		return err
	}
	conn, err := c.dialer.open(ctx, c.address)
	if err != nil {
		return err
	}
	err = conn.Invoke(ctx, rpc, enc, in, out)
	c.dialer.pool.Put(c.address, conn)
	return err
}
