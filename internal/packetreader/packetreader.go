// Package packetreader joins the sockets of a daemon to the one goroutine that owns its decisions: readers hand
// over batches of datagrams through a bounded ring.
package packetreader

import (
	"context"
	"net"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"

	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/internal/udp"
)

const (
	// BatchSize is the number of datagrams that one system call reads or writes.
	BatchSize = 32
	// batches is how many batches of a socket may be under way.
	batches = 2
)

// Batch is what one system call read from a socket. Release gives its memory back.
type Batch struct {
	// Source is the number of the socket, as the owner gave it.
	Source   int
	Messages []ipv4.Message
	buffer   []ipv4.Message
	free     chan<- *Batch
}

// Release gives the memory of the batch back to its reader. The datagrams must not be used afterwards.
func (b *Batch) Release() {
	b.free <- b
}

// Read hands the datagrams of a socket to the owner until the socket is closed.
func Read(ctx context.Context, socket *udp.Socket, source int, owner chan<- *Batch) error {
	free := make(chan *Batch, batches)
	for range batches {
		free <- &Batch{Source: source, buffer: udp.NewMessages(BatchSize, nodecodec.MaxDatagram), free: free}
	}
	for {
		b := <-free
		n, err := socket.ReadBatch(b.buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// An earlier datagram was not delivered; the socket goes on.
			free <- b
			continue
		}
		b.Messages = b.buffer[:n]
		select {
		case owner <- b:
		case <-ctx.Done():
			return nil
		}
	}
}
