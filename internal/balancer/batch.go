package balancer

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/bramleyrack/bramleyrack/internal/datagram"
)

// socket reads and writes several datagrams by one system call. It serves IPv6 as well: batches do
// not depend on the version of IP.
type socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
}

func listen(address netip.AddrPort, readBuffer int) (*socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// The kernel may grant less than what is asked for.
	_ = conn.SetReadBuffer(readBuffer)
	return &socket{conn: conn, batch: ipv4.NewPacketConn(conn)}, nil
}

func (s *socket) localAddr() netip.AddrPort {
	address := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// newMessages returns a batch with a buffer for each message.
func newMessages(n int) []ipv4.Message {
	messages := make([]ipv4.Message, n)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, datagram.MaxDatagram)}
	}
	return messages
}

// writer collects datagrams and writes them by as few system calls as the kernel allows.
type writer struct {
	messages []ipv4.Message
	buffers  [][]byte
	used     int
	// failed counts datagrams that the kernel did not take.
	failed uint64
}

func newWriter(n int) *writer {
	w := &writer{messages: make([]ipv4.Message, n), buffers: make([][]byte, n)}
	for i := range w.messages {
		w.buffers[i] = make([]byte, 0, datagram.MaxDatagram)
		w.messages[i].Buffers = make([][]byte, 1)
	}
	return w
}

// next returns the empty buffer of the next datagram, which add completes.
func (w *writer) next() []byte {
	return w.buffers[w.used][:0]
}

// add appends a datagram to the batch. The datagram must not change before flush.
func (w *writer) add(datagram []byte, to net.Addr) {
	w.messages[w.used].Buffers[0] = datagram
	w.messages[w.used].Addr = to
	w.used++
}

// full reports whether the batch must be flushed before the next datagram.
func (w *writer) full() bool {
	return w.used == len(w.messages)
}

// flush writes the batch. A datagram that the kernel refuses is skipped, as a network would lose it.
func (w *writer) flush(s *socket) {
	rest := w.messages[:w.used]
	w.used = 0
	for len(rest) > 0 {
		n, err := s.batch.WriteBatch(rest, 0)
		if err != nil || n == 0 {
			w.failed++
			n = max(n, 0) + 1
		}
		rest = rest[n:]
	}
}
