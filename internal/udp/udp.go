// Package udp reads and writes several datagrams by one system call.
package udp

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Socket reads and writes batches of datagrams. It serves IPv6 as well: batches do not depend on the version
// of IP.
type Socket struct {
	conn  *net.UDPConn
	batch *ipv4.PacketConn
}

// Listen opens a socket with a receive buffer of readBuffer bytes; zero leaves it at the default.
func Listen(address netip.AddrPort, readBuffer int) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	if readBuffer > 0 {
		// The kernel may grant less than what is asked for.
		_ = conn.SetReadBuffer(readBuffer)
	}
	return &Socket{conn: conn, batch: ipv4.NewPacketConn(conn)}, nil
}

// LocalAddr returns the address that the socket is bound to.
func (s *Socket) LocalAddr() netip.AddrPort {
	address := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// ReadBatch waits for datagrams and reads as many as fit into messages. It returns how many it read.
func (s *Socket) ReadBatch(messages []ipv4.Message) (int, error) {
	return s.batch.ReadBatch(messages, 0)
}

// Close ends the socket and unblocks its readers.
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

// Writer collects datagrams and writes them by as few system calls as the kernel allows.
type Writer struct {
	messages []ipv4.Message
	buffers  [][]byte
	used     int
	failed   uint64
}

// NewWriter returns a writer for batches of n datagrams, with a buffer of size bytes for each.
func NewWriter(n, size int) *Writer {
	w := &Writer{messages: make([]ipv4.Message, n), buffers: make([][]byte, n)}
	for i := range w.messages {
		w.buffers[i] = make([]byte, 0, size)
		w.messages[i].Buffers = make([][]byte, 1)
	}
	return w
}

// Next returns the empty buffer of the next datagram, which Add completes.
func (w *Writer) Next() []byte {
	return w.buffers[w.used][:0]
}

// Add appends a datagram to the batch. The datagram must not change before Flush.
func (w *Writer) Add(datagram []byte, to net.Addr) {
	w.messages[w.used].Buffers[0] = datagram
	w.messages[w.used].Addr = to
	w.used++
}

// Full reports whether the batch must be flushed before the next datagram.
func (w *Writer) Full() bool {
	return w.used == len(w.messages)
}

// Flush writes the batch. A datagram that the kernel refuses is skipped, as a network would lose it.
func (w *Writer) Flush(s *Socket) {
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

// Len returns the number of datagrams in the batch.
func (w *Writer) Len() int {
	return w.used
}

// Discard empties the batch.
func (w *Writer) Discard() {
	w.used = 0
}

// TakeFailed returns how many datagrams the kernel did not take since the last call.
func (w *Writer) TakeFailed() uint64 {
	failed := w.failed
	w.failed = 0
	return failed
}
