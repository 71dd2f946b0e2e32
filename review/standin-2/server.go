package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// heartbeat is the interval at which a server writes its entry.
const heartbeat = 770 * time.Millisecond

// Retransmission of packets that were not acknowledged.
const (
	firstRetry   = 200 * time.Millisecond
	longestRetry = 1600 * time.Millisecond
	maxRetries   = 8
)

// server stands in for a server of the platform. It answers each HTTP request with the request's id in the body.
type server struct {
	deployment *deployment
	id         string
	service    string
	zone       string
	slots      int
	// app is where the server receives packets, and outbound where it sends its own.
	app, outbound netip.AddrPort
	// work returns how long the request with an id takes.
	work func(id string) time.Duration
	// ackDelay is the time after which the server acknowledges a single packet. Zero means that it acknowledges only every
	// second packet and with its answers.
	ackDelay time.Duration

	mu       sync.Mutex
	running  bool
	draining bool
	born     int64
	writes   int
	flows    map[flowKey]*serverFlow
	busy     int
	queue    []func()
	udp      *net.UDPConn
	health   *http.Server
	stopped  chan struct{}
}

type flowKey struct {
	client, service netip.AddrPort
}

func (k flowKey) String() string {
	return k.client.String() + ">" + k.service.String()
}

// serverFlow is one flow at a server.
type serverFlow struct {
	key flowKey
	// seq is the number of the next byte to send, and received that of the next byte expected.
	seq, received uint32
	first         uint32
	open, ended   bool
	input         []byte
	// unacknowledged counts the packets with data since the last acknowledgment, and later holds data that arrived early.
	unacknowledged int
	later          map[uint32][]byte
	sent           []packet
	retries        int
	retryTimer     *time.Timer
}

// start starts a new incarnation, which knows no flows, and writes its entry.
func (s *server) start() error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.app))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", s.app.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.udp, s.running, s.draining, s.flows, s.busy, s.queue = udp, true, false, map[flowKey]*serverFlow{}, 0, nil
	s.born, s.writes, s.stopped = time.Now().UnixMilli(), 0, make(chan struct{})
	s.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	health, stopped := s.health, s.stopped
	s.mu.Unlock()
	go func() { _ = health.Serve(tcp) }()
	go s.receive(udp)
	s.register()
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(heartbeat):
				s.register()
			}
		}
	}()
	s.deployment.record.event("server %s of %s starts", s.id, s.service)
	return nil
}

// crash ends the server without notice. Its flows are lost.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		return
	}
	s.running = false
	close(s.stopped)
	s.udp.Close()
	_ = s.health.Close()
}

func (s *server) register() {
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.writes++
	entry := map[string]any{
		"service": s.service, "address": s.app.String(), "zone": s.zone, "version": "v1", "concurrency": s.slots,
		"state": state, "cold_remaining_ms": 0, "seq": s.writes, "born": s.born,
	}
	s.mu.Unlock()
	s.deployment.store.put("servers/"+s.id, entry)
}

func (s *server) receive(udp *net.UDPConn) {
	buffer := make([]byte, 4096)
	for {
		n, _, err := udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decodePacket(buffer[:n])
		s.mu.Lock()
		switch {
		case !s.running:
		case !ok || p.sum != senderSum || p.flags&flagBounced != 0:
			s.deployment.record.breaks("server %s got a packet that its sender did not write so", s.id)
		default:
			s.deployment.arrived(flowKey{p.src, p.dst}, s.id)
			s.handle(p)
		}
		s.mu.Unlock()
	}
}

func (s *server) handle(p packet) {
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	switch {
	case p.flags&flagSyn != 0 && p.flags&flagAck == 0:
		if f == nil {
			f = &serverFlow{key: key, seq: rand.Uint32() | 1<<20, received: p.seq + 1, later: map[uint32][]byte{}}
			f.first = f.seq
			f.seq++
			s.flows[key] = f
			s.deployment.record.event("server %s takes the opening packet of %s", s.id, key)
		}
		s.transmit(packet{src: key.service, dst: key.client, flags: flagSyn | flagAck, seq: f.first, ack: p.seq + 1})
	case f == nil || !f.open && p.ack != f.first+1:
		s.deployment.record.event("server %s returns a packet of %s", s.id, key)
		p.flags |= flagBounced
		p.pad = 0
		_, _ = s.udp.WriteToUDPAddrPort(p.encode(), s.outbound)
	case p.flags&flagRst != 0:
		s.end(f)
		delete(s.flows, key)
	default:
		s.handleOpen(f, p)
	}
}

func (s *server) end(f *serverFlow) {
	f.ended, f.sent = true, nil
	if f.retryTimer != nil {
		f.retryTimer.Stop()
	}
}

func (s *server) handleOpen(f *serverFlow, p packet) {
	if !f.open {
		f.open = true
		s.deployment.record.event("server %s holds the open flow %s", s.id, f.key)
	}
	for len(f.sent) > 0 && int32(p.ack-(f.sent[0].seq+uint32(len(f.sent[0].data)))) >= 0 {
		f.sent, f.retries = f.sent[1:], 0
	}
	switch {
	case p.flags&flagFin != 0 && f.ended:
		s.transmit(packet{src: f.key.service, dst: f.key.client, flags: flagAck, seq: f.seq, ack: p.seq + 1})
	case p.flags&flagFin != 0:
		s.end(f)
		s.transmit(packet{src: f.key.service, dst: f.key.client, flags: flagAck | flagFin, seq: f.seq, ack: p.seq + 1})
	case len(p.data) == 0:
	case f.ended:
		s.transmit(packet{src: f.key.service, dst: f.key.client, flags: flagRst, seq: f.seq, ack: p.seq})
	default:
		s.handleData(f, p)
	}
}

// handleData takes the data of a packet and acknowledges every second packet.
func (s *server) handleData(f *serverFlow, p packet) {
	f.unacknowledged++
	if int32(p.seq-f.received) >= 0 {
		f.later[p.seq] = p.data
	}
	for data, ok := f.later[f.received]; ok; data, ok = f.later[f.received] {
		delete(f.later, f.received)
		f.input = append(f.input, data...)
		f.received += uint32(len(data))
	}
	switch {
	case f.unacknowledged >= 2:
		s.acknowledge(f)
	case s.ackDelay > 0:
		born := s.born
		time.AfterFunc(s.ackDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.running && s.born == born && !f.ended && f.unacknowledged > 0 {
				s.acknowledge(f)
			}
		})
	}
	for {
		id, rest, ok := nextRequest(f.input)
		if !ok {
			return
		}
		f.input = rest
		s.enqueue(f, id)
	}
}

func (s *server) acknowledge(f *serverFlow) {
	f.unacknowledged = 0
	s.transmit(packet{src: f.key.service, dst: f.key.client, flags: flagAck, seq: f.seq, ack: f.received})
}

// nextRequest cuts the first complete request without a body from the input.
func nextRequest(input []byte) (id string, rest []byte, ok bool) {
	head, rest, ok := bytes.Cut(input, []byte("\r\n\r\n"))
	if !ok {
		return "", input, false
	}
	for line := range bytes.Lines(head) {
		if name, value, found := bytes.Cut(line, []byte(": ")); found && string(name) == requestIDHeader {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id, rest, true
}

// requestIDHeader and stampHeader are the headers of the wire.
const (
	requestIDHeader = "X-Bramleyrack-Request-Id"
	stampHeader     = "X-Bramleyrack-Server-Stamp"
)

// enqueue runs a request at once, or later if all slots are busy.
func (s *server) enqueue(f *serverFlow, id string) {
	run := func() {
		s.busy++
		s.deployment.record.event("server %s runs request %s of %s", s.id, id, f.key)
		s.deployment.ran(id)
		born := s.born
		time.AfterFunc(s.work(id), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.running || s.born != born {
				return
			}
			s.busy--
			s.answer(f, id)
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	if s.busy >= s.slots {
		s.queue = append(s.queue, run)
		return
	}
	run()
}

func (s *server) answer(f *serverFlow, id string) {
	if f.ended {
		return
	}
	body := "answer to " + id
	data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", stampHeader, s.id, len(body), body)
	p := packet{src: f.key.service, dst: f.key.client, flags: flagAck, seq: f.seq, data: data}
	f.seq += uint32(len(data))
	f.sent = append(f.sent, p)
	f.unacknowledged = 0
	s.deployment.record.event("server %s answers request %s", s.id, id)
	s.sendUnacknowledged(f, firstRetry)
}

// sendUnacknowledged sends all packets that were not acknowledged, and again after a growing time.
func (s *server) sendUnacknowledged(f *serverFlow, wait time.Duration) {
	if f.ended || len(f.sent) == 0 || f.retries > maxRetries {
		return
	}
	for _, p := range f.sent {
		p.ack = f.received
		s.transmit(p)
	}
	f.retries++
	born := s.born
	f.retryTimer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.running && s.born == born {
			s.sendUnacknowledged(f, min(2*wait, longestRetry))
		}
	})
}

// transmit sends a packet of the server's own through the agent.
func (s *server) transmit(p packet) {
	p.sum = senderSum
	_, _ = s.udp.WriteToUDPAddrPort(p.encode(), s.outbound)
}

// holds reports whether the server lives and holds an open flow.
func (s *server) holds(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return s.running && f != nil && f.open && !f.ended
}
