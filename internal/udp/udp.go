// Package udp reads and writes batches of datagrams with one system call each.
package udp

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Socket reads and writes batches of datagrams. It supports IPv6 as well: the batch calls of package ipv4 don't depend
// on the IP version.
type Socket struct {
	conn       *net.UDPConn
	packetConn *ipv4.PacketConn
}

// Listen opens a socket. The size of its receive buffer is in bytes; zero means the system default.
func Listen(address netip.AddrPort, receiveBuffer int) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	if receiveBuffer > 0 {
		// The error is ignored, because the size is only a request: the kernel may grant less.
		_ = conn.SetReadBuffer(receiveBuffer)
	}
	return &Socket{conn: conn, packetConn: ipv4.NewPacketConn(conn)}, nil
}

// LocalAddr returns the address that the socket is bound to. An IPv4-mapped IPv6 address is returned as IPv4.
func (s *Socket) LocalAddr() netip.AddrPort {
	address := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// ReadBatch blocks until datagrams arrive, reads as many as fit into messages, and returns their number.
func (s *Socket) ReadBatch(messages []ipv4.Message) (int, error) {
	return s.packetConn.ReadBatch(messages, 0)
}

// Close closes the socket and unblocks pending reads, which return an error.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// NewMessages returns a batch of n messages with a buffer of size bytes each.
func NewMessages(n, size int) []ipv4.Message {
	messages := make([]ipv4.Message, n)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, size)}
	}
	return messages
}

// Writer collects datagrams and writes them with as few system calls as the kernel allows.
type Writer struct {
	messages []ipv4.Message
	buffers  [][]byte
	used     int
	failed   uint64
}

// NewWriter returns a Writer for batches of up to n datagrams, with a buffer of size bytes for each.
func NewWriter(n, size int) *Writer {
	w := &Writer{messages: make([]ipv4.Message, n), buffers: make([][]byte, n)}
	for i := range w.messages {
		w.buffers[i] = make([]byte, 0, size)
		w.messages[i].Buffers = make([][]byte, 1)
	}
	return w
}

// Next returns an empty buffer for the next datagram, which the caller then passes to Add.
func (w *Writer) Next() []byte {
	return w.buffers[w.used][:0]
}

// Add appends a datagram to the batch. The datagram must not change before Flush.
func (w *Writer) Add(datagram []byte, to net.Addr) {
	w.messages[w.used].Buffers[0] = datagram
	w.messages[w.used].Addr = to
	w.used++
}

// Full reports whether the batch must be flushed before the next call of Next or Add.
func (w *Writer) Full() bool {
	return w.used == len(w.messages)
}

// Flush writes the batch to s. It skips a datagram that the kernel rejects, as if the network had lost it, and counts
// it for TakeFailed.
func (w *Writer) Flush(s *Socket) {
	pending := w.messages[:w.used]
	w.used = 0
	for len(pending) > 0 {
		n, err := s.packetConn.WriteBatch(pending, 0)
		if err != nil || n == 0 {
			w.failed++
			n = max(n, 0) + 1
		}
		pending = pending[n:]
	}
}

// Len returns the number of datagrams in the batch.
func (w *Writer) Len() int {
	return w.used
}

// Discard empties the batch without writing it.
func (w *Writer) Discard() {
	w.used = 0
}

// ResetFailed returns the number of datagrams that the kernel rejected since the last call.
func (w *Writer) ResetFailed() uint64 {
	failed := w.failed
	w.failed = 0
	return failed
}
