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

// PoolConfig configures a Pool. Only TLS is required.
type PoolConfig struct {
	// TLS authenticates this process to its peers and verifies their certificates.
	TLS *tls.Config
	// DialTimeout bounds the TCP connect and the TLS handshake of a link. A shorter timeout detects a dead
	// peer sooner; a longer one tolerates a slow network path. Zero means one second.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline. A link on which a call times out is closed
	// and replaced. Zero means two seconds.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused link stays open. Zero means 30 seconds.
	IdleTimeout time.Duration
	// Capacity is the maximum number of idle links. Zero means 64.
	Capacity int
	// Meter counts message bytes by purpose and enforces the control traffic budget of the node. If nil,
	// traffic is neither counted nor limited.
	Meter *traffic.Meter
}

// Pool reuses links to peers. It closes a link on which a call times out or the connection breaks; the next call
// dials a new one.
type Pool struct {
	config PoolConfig
	links  *drpcpool.Pool[string, drpcpool.Conn]
	chart  *statechart.Chart
}

// NewPool returns a pool without links. It panics if the embedded state chart of links is invalid.
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
		Expiration: config.IdleTimeout,
		Capacity:   config.Capacity,
		// KeyCapacity is the maximum number of idle links to one peer.
		KeyCapacity: 4,
	})
	chart, err := statechart.Builtin(statechart.Link)
	if err != nil {
		panic(err)
	}
	return &Pool{config: config, links: links, chart: chart}
}

// Client returns a client of the peer at addr. The first call dials the link.
func (p *Pool) Client(ctx context.Context, addr string) (bramleyv1.DRPCPeerServiceClient, error) {
	if p.config.TLS == nil {
		return nil, errors.New("peer pool has no TLS configuration")
	}
	conn := p.links.Get(ctx, addr, p.dial)
	return bramleyv1.NewDRPCPeerServiceClient(&meteredConn{Conn: conn, pool: p}), nil
}

// Close closes the idle links. It does not close a link that a call is using.
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
		return nil, l.setConn(nil, &DialError{Address: addr, Err: err})
	}
	return l, l.setConn(drpcconn.New(conn), nil)
}

// DialError reports that no link to a peer could be established, so nothing was delivered.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string {
	return "dialing the PeerService of peer " + e.Address + ": " + e.Err.Error()
}

func (e *DialError) Unwrap() error {
	return e.Err
}

// meteredConn applies CallTimeout and the control traffic budget to the calls to one peer, and counts their bytes.
type meteredConn struct {
	drpc.Conn
	pool *Pool
}

// Invoke waits until the budget admits the request; CallTimeout starts after this wait.
func (c *meteredConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	purpose := purposeOf(rpc)
	sent := messageSize(in)
	if err := c.pool.config.Meter.Wait(ctx, purpose, sent); err != nil {
		return errors.Annotatef(err, "waiting for the %s control traffic budget", purpose)
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
