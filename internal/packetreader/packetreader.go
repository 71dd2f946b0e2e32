// Package packetreader passes batches of datagrams from the sockets of a daemon to its event loop, the single goroutine
// that makes all decisions. The number of batches is bounded; their memory is reused.
package packetreader

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"

	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/internal/udp"
)

const (
	// BatchSize is the largest number of datagrams that one system call reads or writes.
	BatchSize = 32
	// batchesPerSocket is the number of batches per socket: one is handled while the other is filled.
	batchesPerSocket = 2
)

// Batch holds the datagrams that one system call read from a socket. The receiver must call Release when it is done.
type Batch struct {
	// Source is the number of the socket that was passed to Read.
	Source   int
	Messages []ipv4.Message
	// ReadAt is when the datagrams were read.
	ReadAt time.Duration
	buffer []ipv4.Message
	free   chan<- *Batch
}

// Release returns the batch to its reader for reuse. The datagrams must not be used afterwards.
func (b *Batch) Release() {
	b.free <- b
}

// Read sends the datagrams of a socket to out, in batches, until the socket is closed. The end of ctx alone does not
// interrupt a read. now is the clock of the process.
func Read(ctx context.Context, socket *udp.Socket, source int, now func() time.Duration, out chan<- *Batch) error {
	free := make(chan *Batch, batchesPerSocket)
	for range batchesPerSocket {
		free <- &Batch{Source: source, buffer: udp.NewMessages(BatchSize, nodecodec.MaxDatagram), free: free}
	}
	for {
		b := <-free
		n, err := socket.ReadBatch(b.buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// The error reports that an earlier datagram was not delivered; the socket remains usable.
			free <- b
			continue
		}
		b.Messages, b.ReadAt = b.buffer[:n], now()
		select {
		case out <- b:
		case <-ctx.Done():
			return nil
		}
	}
}
