package agent_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bramleyrack/bramleyrack/internal/agent"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/placement"
)

// recordingGenerator generates connection IDs and records them in ids.
type recordingGenerator struct {
	codec *placement.Codec
	ids   chan quic.ConnectionID
	nonce uint64
}

func (g *recordingGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	g.nonce++
	plain := g.codec.Encode(placement.Owner{}, g.nonce)
	id := quic.ConnectionIDFromBytes(plain[:])
	g.ids <- id
	return id, nil
}

func (g *recordingGenerator) ConnectionIDLen() int { return placement.ConnectionIDLength }

// When the owner of a flow has crashed, the keep-alives of the caller are too small for the QUIC
// transport of another agent to answer. The caller must accept the stateless reset that such an agent
// computes from the shared key instead.
func TestSmallPacketOfLostFlowIsReset(t *testing.T) {
	env := generateSecrets(t)
	getenv := func(name string) string { return env[name] }
	keys, err := secrets.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	trust, err := secrets.LoadCallerTLS(getenv)
	if err != nil {
		t.Fatal(err)
	}
	resetKey := quic.StatelessResetKey{1, 2, 3}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	codec, err := placement.NewCodec(make([]byte, 16), nil)
	if err != nil {
		t.Fatal(err)
	}
	ids := &recordingGenerator{codec: codec, ids: make(chan quic.ConnectionID, 16)}
	owner := &quic.Transport{Conn: socket, ConnectionIDGenerator: ids, StatelessResetKey: &resetKey}
	listener, err := owner.Listen(serverTLS(keys), nil)
	if err != nil {
		t.Fatal(err)
	}
	trust.NextProtos = []string{testProtocol}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn, err := quic.DialAddr(ctx, socket.LocalAddr().String(), trust, &quic.Config{})
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept(ctx)
	if err != nil {
		t.Fatal(err)
	}
	awaitHandshake(ctx, t, accepted)

	const keepAliveSize = 39
	resetter := agent.NewResetter(resetKey)
	for len(ids.ids) > 0 {
		id := <-ids.ids
		packet := resetter.Answer(id.Bytes(), keepAliveSize)
		if len(packet) >= keepAliveSize {
			t.Fatalf("reset of %d bytes is not smaller than the packet of %d bytes", len(packet), keepAliveSize)
		}
		if _, err := socket.WriteTo(packet, accepted.RemoteAddr()); err != nil {
			t.Fatal(err)
		}
	}
	<-conn.Context().Done()
	var resetError *quic.StatelessResetError
	if err := context.Cause(conn.Context()); !errors.As(err, &resetError) {
		t.Fatalf("connection ended with %v, want a stateless reset", err)
	}
}

func TestPacketsTooSmallAreNotReset(t *testing.T) {
	r := agent.NewResetter(quic.StatelessResetKey{})
	if packet := r.Answer([]byte{1}, agent.MinReset); packet != nil {
		t.Fatalf("got reset %x for a packet of the minimum reset size", packet)
	}
}

const testProtocol = "test"

func serverTLS(keys *secrets.Keys) *tls.Config {
	config := keys.Server.Clone()
	config.NextProtos = []string{testProtocol}
	return config
}

// awaitHandshake waits until the handshake of an accepted connection is complete.
func awaitHandshake(ctx context.Context, t *testing.T, accepted *quic.Conn) {
	t.Helper()
	select {
	case <-accepted.HandshakeComplete():
	case <-ctx.Done():
		t.Fatal("handshake did not complete")
	}
}
