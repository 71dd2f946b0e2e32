package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// inboundQueueLength is the number of packets that may wait for the QUIC transport.
const inboundQueueLength = 4096

// inboundPacket is a packet of a caller without the datagram header, in a buffer from the pool.
type inboundPacket struct {
	payload *[]byte
	caller  netip.AddrPort
}

type sender interface {
	sendToCaller(payload []byte, caller netip.AddrPort) error
}

// virtualConn is the net.PacketConn of the QUIC transport. Its remote addresses are those of the
// callers, whichever balancer forwards the packets.
type virtualConn struct {
	local     net.Addr
	inbound   chan inboundPacket
	sender    sender
	pool      sync.Pool
	closed    chan struct{}
	closeOnce sync.Once
	deadline  readDeadline
}

func newVirtualConn(local net.Addr, s sender) *virtualConn {
	return &virtualConn{
		local:    local,
		inbound:  make(chan inboundPacket, inboundQueueLength),
		pool:     sync.Pool{New: func() any { b := make([]byte, 0, packetBufferSize); return &b }},
		sender:   s,
		closed:   make(chan struct{}),
		deadline: readDeadline{expired: make(chan struct{})},
	}
}

// deliver queues a copy of a packet for the QUIC transport and reports whether the queue had room.
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

// ReadFrom reads the next packet of any caller into b and returns the caller's address.
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

// WriteTo sends a packet to the caller at addr through a balancer.
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

// Close unblocks pending reads with net.ErrClosed.
func (c *virtualConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address of the agent's UDP socket.
func (c *virtualConn) LocalAddr() net.Addr { return c.local }

// SetDeadline sets the read deadline. Writes need none, since they never block.
func (c *virtualConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time at which pending reads are unblocked. The zero time removes the
// deadline.
func (c *virtualConn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return nil
}

// SetWriteDeadline does nothing, since writes never block.
func (c *virtualConn) SetWriteDeadline(time.Time) error { return nil }

// readDeadline is a deadline that can be moved. Its channel expired is closed when it passes.
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
	closeIfOpen(expired)
}

func (d *readDeadline) expire(c chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	closeIfOpen(c)
}

// renew replaces the channel if it is closed. The caller must hold mu.
func (d *readDeadline) renew() {
	select {
	case <-d.expired:
		d.expired = make(chan struct{})
	default:
	}
}

// closeIfOpen closes c unless it is closed already. Concurrent calls must be serialized.
func closeIfOpen(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
