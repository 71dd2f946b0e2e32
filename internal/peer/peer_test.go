package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/peer"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
)

type heartbeatServer struct {
	bramleyv1.DRPCPeerServiceUnimplementedServer
}

func (*heartbeatServer) Heartbeat(_ context.Context, in *bramleyv1.HeartbeatRequest) (*bramleyv1.HeartbeatResponse, error) {
	return &bramleyv1.HeartbeatResponse{Revision: in.GetRevision() + 1}, nil
}

// authority is the certificate authority of one group of peers.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{t: t, key: key, cert: cert, pool: pool}
}

func (a *authority) config() *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool,
		ClientCAs:    a.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serve starts a server and returns its address and a function that stops it and waits for its end.
func serve(t *testing.T, config *tls.Config) (string, func()) {
	listener := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- peer.ServeListener(ctx, listener, config, &heartbeatServer{}) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func heartbeat(t *testing.T, pool *peer.Pool, addr string) (*bramleyv1.HeartbeatResponse, error) {
	client, err := pool.Client(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	return client.Heartbeat(t.Context(), &bramleyv1.HeartbeatRequest{Revision: 6})
}

func TestCallIsCounted(t *testing.T) {
	group := newAuthority(t)
	meter := &traffic.Meter{}
	pool := peer.NewPool(peer.PoolConfig{TLS: group.config(), Meter: meter})
	defer pool.Close()
	addr, _ := serve(t, group.config())
	response, err := heartbeat(t, pool, addr)
	if err != nil || response.GetRevision() != 7 {
		t.Fatalf("got %v, %v", response, err)
	}
	if meter.Bytes()["liveness"] == 0 {
		t.Fatal("no bytes counted")
	}
}

func TestPeerOfAnotherAuthorityIsRefusedAndCounted(t *testing.T) {
	addr, stop := serve(t, newAuthority(t).config())
	untrusted := newAuthority(t).config()
	untrusted.InsecureSkipVerify = true
	pool := peer.NewPool(peer.PoolConfig{TLS: untrusted})
	defer pool.Close()
	before := peer.RefusedLinks()
	if _, err := heartbeat(t, pool, addr); err == nil {
		t.Fatal("a peer with a certificate of another CA got an answer")
	}
	stop()
	if got := peer.RefusedLinks() - before; got != 1 {
		t.Fatalf("got %d refused links, want 1", got)
	}
}

func TestServerWithoutMutualTLSDoesNotStart(t *testing.T) {
	config := newAuthority(t).config()
	config.ClientAuth = tls.NoClientCert
	if err := peer.ServeListener(t.Context(), listen(t), config, &heartbeatServer{}); err == nil {
		t.Fatal("the server started without verifying client certificates")
	}
}

func TestUnreachablePeerReturnsDialError(t *testing.T) {
	listener := listen(t)
	listener.Close()
	pool := peer.NewPool(peer.PoolConfig{TLS: newAuthority(t).config()})
	_, err := heartbeat(t, pool, listener.Addr().String())
	var dial *peer.DialError
	if !errors.As(err, &dial) {
		t.Fatalf("got %v", err)
	}
}

// TestSilentLinkIsReplaced guards against reusing a dead connection that still looks open. A relay between two
// peers drops all data of the first link after its first answer; new links work.
func TestSilentLinkIsReplaced(t *testing.T) {
	group := newAuthority(t)
	target, _ := serve(t, group.config())
	relay := &droppingRelay{target: target, silent: make(chan struct{}), listener: listen(t)}
	go relay.run()
	defer relay.listener.Close()
	pool := peer.NewPool(peer.PoolConfig{TLS: group.config()})
	defer pool.Close()
	addr := relay.listener.Addr().String()
	if _, err := heartbeat(t, pool, addr); err != nil {
		t.Fatal(err)
	}
	close(relay.silent)
	if _, err := heartbeat(t, pool, addr); err == nil {
		t.Fatal("a call over the silent link succeeded")
	}
	if _, err := heartbeat(t, pool, addr); err != nil {
		t.Fatalf("the silent link was not replaced: %v", err)
	}
}

// droppingRelay relays connections to target. Once the silent channel is closed, it drops the data of the first
// connection and keeps both ends open.
type droppingRelay struct {
	target   string
	silent   chan struct{}
	listener net.Listener
}

func (r *droppingRelay) run() {
	for first := true; ; first = false {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			return
		}
		silent := r.silent
		if !first {
			silent = nil
		}
		go copyUntil(in, out, silent)
		go copyUntil(out, in, silent)
	}
}

func copyUntil(from, to net.Conn, silent chan struct{}) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
