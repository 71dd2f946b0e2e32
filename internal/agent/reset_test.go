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

// recordedIDs generates and remembers connection IDs.
type recordedIDs struct {
	codec *placement.Codec
	ids   chan quic.ConnectionID
	nonce uint64
}

func (g *recordedIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	g.nonce++
	plain := g.codec.Encode(placement.Owner{}, g.nonce)
	id := quic.ConnectionIDFromBytes(plain[:])
	g.ids <- id
	return id, nil
}

func (g *recordedIDs) ConnectionIDLen() int { return placement.ConnectionIDLength }

// A caller whose owner died without a word takes the reset that another agent computes from the
// shared key, although its keep-alive is too small for the transport to answer.
func TestSmallPacketOfALostFlowIsReset(t *testing.T) {
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
	reset := quic.StatelessResetKey{1, 2, 3}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	codec, err := placement.NewCodec(make([]byte, 16), nil)
	if err != nil {
		t.Fatal(err)
	}
	ids := &recordedIDs{codec: codec, ids: make(chan quic.ConnectionID, 16)}
	owner := &quic.Transport{Conn: socket, ConnectionIDGenerator: ids, StatelessResetKey: &reset}
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

	const keepAlive = 39
	resetter := agent.NewResetter(reset)
	for len(ids.ids) > 0 {
		id := <-ids.ids
		packet := resetter.Answer(id.Bytes(), keepAlive)
		if len(packet) >= keepAlive {
			t.Fatalf("a reset of %d bytes answers %d", len(packet), keepAlive)
		}
		if _, err := socket.WriteTo(packet, accepted.RemoteAddr()); err != nil {
			t.Fatal(err)
		}
	}
	<-conn.Context().Done()
	var lost *quic.StatelessResetError
	if err := context.Cause(conn.Context()); !errors.As(err, &lost) {
		t.Fatalf("the connection ended with %v", err)
	}
}

func TestPacketsTooSmallAreNotReset(t *testing.T) {
	r := agent.NewResetter(quic.StatelessResetKey{})
	if packet := r.Answer([]byte{1}, agent.MinReset); packet != nil {
		t.Fatalf("got %x", packet)
	}
}

const testProtocol = "test"

func serverTLS(keys *secrets.Keys) *tls.Config {
	config := keys.Server.Clone()
	config.NextProtos = []string{testProtocol}
	return config
}

// awaitHandshake waits until the owner has confirmed the handshake.
func awaitHandshake(ctx context.Context, t *testing.T, accepted *quic.Conn) {
	t.Helper()
	select {
	case <-accepted.HandshakeComplete():
	case <-ctx.Done():
		t.Fatal("no handshake")
	}
}
