package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// inboundLength is how many datagrams may wait for the QUIC transport.
const inboundLength = 4096

// inboundPacket is a caller's packet without its header, in a buffer of the pool.
type inboundPacket struct {
	payload *[]byte
	caller  netip.AddrPort
}

// sender sends a packet back to a caller.
type sender interface {
	sendToCaller(payload []byte, caller netip.AddrPort) error
}

// virtualConn is the net.PacketConn that the QUIC transport reads and writes.
// Its remote addresses are those of the callers, whichever balancer carries the packets.
type virtualConn struct {
	local    net.Addr
	inbound  chan inboundPacket
	sender   sender
	pool     sync.Pool
	closed   chan struct{}
	close    sync.Once
	deadline readDeadline
}

func newVirtualConn(local net.Addr, s sender) *virtualConn {
	return &virtualConn{
		local:    local,
		inbound:  make(chan inboundPacket, inboundLength),
		pool:     sync.Pool{New: func() any { b := make([]byte, 0, maxDatagram); return &b }},
		sender:   s,
		closed:   make(chan struct{}),
		deadline: readDeadline{expired: make(chan struct{})},
	}
}

// deliver queues a copy of a packet for the transport and reports false when the queue is full.
func (c *virtualConn) deliver(payload []byte, caller netip.AddrPort) bool {
	buffer := c.pool.Get().(*[]byte)
	*buffer = append((*buffer)[:0], payload...)
	select {
	case c.inbound <- inboundPacket{payload: buffer, caller: caller}:
		return true
	default:
		c.pool.Put(buffer)
		return false
	}
}

// ReadFrom returns the next packet of any caller.
func (c *virtualConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.inbound:
		n := copy(b, *p.payload)
		c.pool.Put(p.payload)
		return n, net.UDPAddrFromAddrPort(p.caller), nil
	case <-c.deadline.wait():
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a packet to a caller through a live balancer.
func (c *virtualConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("not a UDP address")
	}
	if err := c.sender.sendToCaller(b, udp.AddrPort()); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close unblocks the reader.
func (c *virtualConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address of the service.
func (c *virtualConn) LocalAddr() net.Addr { return c.local }

// SetDeadline sets the read deadline; writes never block.
func (c *virtualConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline unblocks the reader at time t; the zero time removes the deadline.
func (c *virtualConn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return nil
}

// SetWriteDeadline does nothing, since writes never block.
func (c *virtualConn) SetWriteDeadline(time.Time) error { return nil }

// readDeadline closes its channel when the deadline passes.
type readDeadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func (d *readDeadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *readDeadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timer = nil
	d.renew()
	if t.IsZero() {
		return
	}
	expired := d.expired
	if wait := time.Until(t); wait > 0 {
		d.timer = time.AfterFunc(wait, func() { d.expire(expired) })
		return
	}
	closeOnce(expired)
}

func (d *readDeadline) expire(c chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	closeOnce(c)
}

// renew replaces a channel that has been closed.
func (d *readDeadline) renew() {
	select {
	case <-d.expired:
		d.expired = make(chan struct{})
	default:
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
