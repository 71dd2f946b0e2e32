package client_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleyrack/bramleyrack/client"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/request"
)

// scriptedService is a CallService whose answers come from functions that the test sets.
type scriptedService struct {
	bramleyv1connect.UnimplementedCallServiceHandler
	mu          sync.Mutex
	tickets     []string
	remoteAddrs []string
	// unansweredCall is the number of the call that gets no answer, counted from 1.
	unansweredCall int32
	call           func(n int32, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error)
	streams        atomic.Int32
	feed           func(n int32, req *bramleyv1.SubscribeRequest, out *connect.ServerStream[bramleyv1.FeedEvent]) error
	download       func(n int32, req *bramleyv1.DownloadRequest, out *connect.ServerStream[bramleyv1.DownloadChunk]) error
}

func (s *scriptedService) Call(ctx context.Context, req *connect.Request[bramleyv1.CallRequest]) (*connect.Response[bramleyv1.CallResponse], error) {
	n := s.record(req.Msg, req.Peer().Addr)
	if s.unansweredCall == n {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := s.call(n, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// record stores the ticket and remote address of a call and returns the number of calls so far.
func (s *scriptedService) record(req *bramleyv1.CallRequest, remoteAddr string) int32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets = append(s.tickets, string(req.GetTicket()))
	s.remoteAddrs = append(s.remoteAddrs, remoteAddr)
	return int32(len(s.tickets))
}

func (s *scriptedService) wantTickets(t *testing.T, want ...string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(s.tickets, want) {
		t.Fatalf("calls carried tickets %q, want %q", s.tickets, want)
	}
}

func (s *scriptedService) Subscribe(ctx context.Context, req *connect.Request[bramleyv1.SubscribeRequest], out *connect.ServerStream[bramleyv1.FeedEvent]) error {
	if err := s.feed(s.streams.Add(1), req.Msg, out); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *scriptedService) Download(_ context.Context, req *connect.Request[bramleyv1.DownloadRequest], out *connect.ServerStream[bramleyv1.DownloadChunk]) error {
	return s.download(s.streams.Add(1), req.Msg, out)
}

func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// serve runs the service over HTTP/3 on the loopback interface and returns a client for it.
func serve(t *testing.T, service *scriptedService) *client.Client {
	t.Helper()
	cert, pool := certificate(t)
	mux := http.NewServeMux()
	mux.Handle(bramleyv1connect.NewCallServiceHandler(service))
	server := &http3.Server{
		Handler:   mux,
		TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{cert}}),
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(conn) }()
	t.Cleanup(func() {
		_ = server.Close()
		_ = conn.Close()
	})
	c, err := client.New(client.Config{
		Address:     conn.LocalAddr().String(),
		TLS:         &tls.Config{RootCAs: pool},
		FeedTimeout: 500 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func answerTo(req *bramleyv1.CallRequest, next string) *bramleyv1.CallResponse {
	digest := sha256.Sum256(req.GetBody())
	return &bramleyv1.CallResponse{
		RequestId:  req.GetRequestId(),
		Body:       req.GetBody(),
		Digest:     digest[:],
		NextTicket: []byte(next),
	}
}

func refusalError(outcome bramleyv1.Outcome, next string) error {
	return request.RefusalError(&bramleyv1.Refusal{Outcome: outcome, NextTicket: []byte(next), Reason: "test"})
}

func TestCallUsesTicketOfPreviousAnswer(t *testing.T) {
	service := &scriptedService{call: func(_ int32, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
		if len(req.GetTicket()) == 0 {
			return nil, refusalError(bramleyv1.Outcome_OUTCOME_NOT_RUN, "one")
		}
		return answerTo(req, "two"), nil
	}}
	c := serve(t, service)
	for range 2 {
		if _, err := c.Call(t.Context(), "order", false, []byte("body")); err != nil {
			t.Fatal(err)
		}
	}
	service.wantTickets(t, "", "one", "two")
}

func TestOutcomesAreTypedErrors(t *testing.T) {
	want := map[bramleyv1.Outcome]error{
		bramleyv1.Outcome_OUTCOME_ALREADY_RUN: client.ErrAlreadyRun,
		bramleyv1.Outcome_OUTCOME_FAILED:      client.ErrFailed,
		bramleyv1.Outcome_OUTCOME_UNKNOWN:     client.ErrUnknown,
		bramleyv1.Outcome_OUTCOME_NOT_RUN:     client.ErrNotRun,
	}
	for outcome, expected := range want {
		c := serve(t, &scriptedService{call: func(_ int32, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
			return nil, refusalError(outcome, "next")
		}})
		if _, err := c.Call(t.Context(), "order", false, nil); !errors.Is(err, expected) {
			t.Errorf("outcome %v: got error %v", outcome, err)
		}
	}
}

func TestUnknownOutcomeKeepsTicket(t *testing.T) {
	service := &scriptedService{call: func(n int32, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
		switch n {
		case 1:
			return nil, refusalError(bramleyv1.Outcome_OUTCOME_NOT_RUN, "one")
		case 2:
			return nil, refusalError(bramleyv1.Outcome_OUTCOME_UNKNOWN, "other")
		case 3:
			return nil, refusalError(bramleyv1.Outcome_OUTCOME_NOT_DELIVERED, "other")
		}
		return answerTo(req, "two"), nil
	}}
	c := serve(t, service)
	if _, err := c.Call(t.Context(), "order", false, nil); err != nil {
		t.Fatal(err)
	}
	service.wantTickets(t, "", "one", "one", "one")
}

func TestAnswerToAnotherRequestIsRejected(t *testing.T) {
	c := serve(t, &scriptedService{call: func(n int32, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
		answer := answerTo(req, "")
		if n == 1 {
			answer.RequestId = "another"
		}
		return answer, nil
	}})
	answer, err := c.Call(t.Context(), "sheet", true, []byte("mine"))
	if err != nil || string(answer.GetBody()) != "mine" {
		t.Fatalf("got answer %v, error %v", answer, err)
	}
}

func TestStalledFeedReopens(t *testing.T) {
	c := serve(t, &scriptedService{feed: func(_ int32, req *bramleyv1.SubscribeRequest, out *connect.ServerStream[bramleyv1.FeedEvent]) error {
		return out.Send(&bramleyv1.FeedEvent{Topic: req.GetTopic(), Sequence: req.GetAfter() + 1})
	}})
	feed, err := c.Subscribe(t.Context(), "route")
	if err != nil {
		t.Fatal(err)
	}
	defer feed.Close()
	for want := uint64(1); want <= 3; want++ {
		event, err := feed.Next(t.Context())
		if err != nil || event.GetSequence() != want {
			t.Fatalf("got event %v, error %v; want sequence %d", event, err, want)
		}
	}
	if feed.Reconnects() < 2 {
		t.Fatalf("got %d reconnects, want at least 2", feed.Reconnects())
	}
}

func TestInterruptedDownloadResumes(t *testing.T) {
	object := []byte("certificate of the batch")
	digest := sha256.Sum256(object)
	c := serve(t, &scriptedService{download: func(n int32, req *bramleyv1.DownloadRequest, out *connect.ServerStream[bramleyv1.DownloadChunk]) error {
		chunk := &bramleyv1.DownloadChunk{RequestId: req.GetRequestId(), Offset: req.GetOffset()}
		if n == 1 {
			chunk.Data = object[:5]
			_ = out.Send(chunk)
			return connect.NewError(connect.CodeUnavailable, errors.New("cut"))
		}
		chunk.Data = object[req.GetOffset():]
		chunk.Last = true
		chunk.Length = uint64(len(object))
		chunk.Digest = digest[:]
		return out.Send(chunk)
	}})
	data, err := c.Download(t.Context(), "batch")
	if err != nil || string(data) != string(object) {
		t.Fatalf("got data %q, error %v", data, err)
	}
}

// connections returns the number of connections that calls arrived on.
func (s *scriptedService) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(slices.Compact(slices.Sorted(slices.Values(s.remoteAddrs))))
}

func TestConnectionIsReplacedAfterDeadline(t *testing.T) {
	service := &scriptedService{unansweredCall: 2, call: func(_ int32, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
		return answerTo(req, "next"), nil
	}}
	c := serve(t, service)
	for call := range 3 {
		timeout := time.Minute
		if call == 1 {
			timeout = time.Second
		}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		_, err := c.Call(ctx, "order", false, nil)
		cancel()
		if lost := call == 1; errors.Is(err, client.ErrUnknown) != lost {
			t.Fatalf("call %d: got error %v", call, err)
		}
	}
	if got := service.connections(); got != 2 {
		t.Fatalf("got %d connections, want 2", got)
	}
}

func TestConnectionIsReplacedAfterAnswerWithoutTicket(t *testing.T) {
	service := &scriptedService{call: func(_ int32, req *bramleyv1.CallRequest) (*bramleyv1.CallResponse, error) {
		return answerTo(req, ""), nil
	}}
	c := serve(t, service)
	for range 2 {
		if _, err := c.Call(t.Context(), "order", false, nil); err != nil {
			t.Fatal(err)
		}
	}
	if got := service.connections(); got != 2 {
		t.Fatalf("got %d connections, want 2", got)
	}
}
