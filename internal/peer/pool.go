package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
	"github.com/bramleyrack/bramleyrack/statechart"
)

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	// TLS proves this process to its peers and verifies them.
	TLS *tls.Config
	// DialTimeout bounds the dial and handshake of a link. A short one finds a dead peer sooner, a
	// long one bears a slow path. Zero means one second.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline; a link without an answer by then is
	// closed and replaced. Zero means two seconds.
	CallTimeout time.Duration
	// IdleTimeout closes a link that no call has used for so long. Zero means 30 seconds.
	IdleTimeout time.Duration
	// Capacity is how many idle links are kept. Zero means 64.
	Capacity int
	// Meter counts the bytes of messages by purpose and keeps the node's budget; nil does neither.
	Meter *traffic.Meter
}

// Pool keeps links to peers. A link that makes no progress is closed, and the next call dials anew.
type Pool struct {
	config PoolConfig
	links  *drpcpool.Pool[string, drpcpool.Conn]
	chart  *statechart.Chart
}

// NewPool returns a pool without links. It panics if the embedded link chart is not valid.
func NewPool(config PoolConfig) *Pool {
	if config.DialTimeout == 0 {
		config.DialTimeout = time.Second
	}
	if config.CallTimeout == 0 {
		config.CallTimeout = 2 * time.Second
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = 30 * time.Second
	}
	if config.Capacity == 0 {
		config.Capacity = 64
	}
	links := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  config.IdleTimeout,
		Capacity:    config.Capacity,
		KeyCapacity: 4,
	})
	chart, err := statechart.Builtin(statechart.Link)
	if err != nil {
		panic(err)
	}
	return &Pool{config: config, links: links, chart: chart}
}

// Client returns a client of the peer at the address. The link is dialed by the first call.
func (p *Pool) Client(ctx context.Context, addr string) (bramleyv1.DRPCPeerServiceClient, error) {
	if p.config.TLS == nil {
		return nil, errors.New("peer pool needs a TLS configuration")
	}
	conn := p.links.Get(ctx, addr, p.dial)
	return bramleyv1.NewDRPCPeerServiceClient(&meteredConn{Conn: conn, pool: p}), nil
}

// Close closes the idle links.
func (p *Pool) Close() error {
	return p.links.Close()
}

func (p *Pool) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	dialer := tls.Dialer{NetDialer: &net.Dialer{}, Config: p.config.TLS}
	l := newLink(p.chart)
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, l.opened(nil, &DialError{Address: addr, Err: err})
	}
	return l, l.opened(drpcconn.New(conn), nil)
}

// DialError says that no link to a peer could be made, so that nothing was delivered.
type DialError struct {
	Address string
	Err     error
}

// Error describes the failed dial.
func (e *DialError) Error() string {
	return "dialing peer " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Err
}

// meteredConn bounds, shapes and counts the calls of one link.
type meteredConn struct {
	drpc.Conn
	pool *Pool
}

// Invoke makes one call. A call that fails without an answer closes its link.
func (c *meteredConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	purpose := purposeOf(rpc)
	sent := messageSize(in)
	if err := c.pool.config.Meter.Wait(ctx, purpose, sent); err != nil {
		return errors.Annotatef(err, "waiting for the control budget of %s", purpose)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.pool.config.CallTimeout)
		defer cancel()
	}
	c.pool.config.Meter.Add(purpose, sent)
	if err := c.Conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		return err
	}
	c.pool.config.Meter.Add(purpose, messageSize(out))
	return nil
}

func messageSize(message drpc.Message) int {
	m, ok := message.(proto.Message)
	if !ok {
		return 0
	}
	return proto.Size(m)
}

func purposeOf(rpc string) traffic.Purpose {
	switch rpc {
	case "/bramley.v1.PeerService/Heartbeat":
		return traffic.Liveness
	case "/bramley.v1.PeerService/Fetch", "/bramley.v1.PeerService/Announce":
		return traffic.Configuration
	case "/bramley.v1.PeerService/HandOver":
		return traffic.HandOver
	case "/bramley.v1.PeerService/Status":
		return traffic.Status
	default:
		return traffic.Requests
	}
}
