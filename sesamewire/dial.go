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
	defaultCallTimeout = 2 * time.Second
	defaultIdleTimeout = time.Minute
	// maxIdleConns bounds the unused connections to one address. A connection
	// carries one call at a time, so parallel calls dial more.
	maxIdleConns = 2
	network      = "tcp"
)

// DialError says that an address could not be reached.
type DialError struct {
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

// DialOptions configures a Dialer; zero values mean defaults.
type DialOptions struct {
	// Timeout bounds each call, the dial included.
	Timeout time.Duration
	// IdleTimeout closes a connection that was unused for so long.
	IdleTimeout time.Duration
	// Dial opens a connection; net.Dialer by default.
	Dial DialFunc
}

// Dialer makes clients of other processes. Connections are reused, and dialled
// again after they break. It is safe for concurrent use.
type Dialer struct {
	timeout time.Duration
	dial    DialFunc
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a dialer without connections.
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

// Agent returns a client of the agent at that address. Nothing is dialled
// before the first call; a failed dial is a *DialError.
func (d *Dialer) Agent(address string) DRPCAgentClient {
	return NewDRPCAgentClient(d.conn(address))
}

// Keeper returns a client of the entry at that address, in its keeper's role.
func (d *Dialer) Keeper(address string) DRPCKeeperClient {
	return NewDRPCKeeperClient(d.conn(address))
}

// Peer returns a client of the entry at that address, in its peer's role.
func (d *Dialer) Peer(address string) DRPCPeerClient {
	return NewDRPCPeerClient(d.conn(address))
}

// Close closes the unused connections.
func (d *Dialer) Close() error {
	return d.pool.Close()
}

func (d *Dialer) conn(address string) drpc.Conn {
	return &retryingConn{
		Conn:    d.pool.Get(context.Background(), address, d.open),
		dialer:  d,
		address: address,
	}
}

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

// isConnectionClosed reports whether a call failed because its connection was closed.
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

// retryingConn gives every call a deadline.
type retryingConn struct {
	drpc.Conn
	dialer  *Dialer
	address string
}

// Invoke makes one call within the timeout. An unused connection may have been
// closed by the other side, which shows only when it is used; every call of
// this package is idempotent, so it is made again on a new connection.
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
