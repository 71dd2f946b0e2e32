package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of a server's entry.
	heartbeat = 770 * time.Millisecond
	// work is how long a request runs, and ackDelay after what time a server acknowledges a packet that it has not
	// answered.
	work     = 50 * time.Millisecond
	ackDelay = 40 * time.Millisecond
)

// flowKey identifies a flow by its two ends.
type flowKey struct {
	client, service netip.AddrPort
}

// server stands in for a server of the platform. It runs until the end of the case and never has a fault.
type server struct {
	id, service, zone string
	slots             int
	app, outbound     netip.AddrPort
	store             *store
	record            *record
	udp               *net.UDPConn
	born              int64

	mu    sync.Mutex
	seq   int
	flows map[flowKey]*serverFlow
}

// serverFlow is a flow that a server holds. expected is the number of the next byte from the client.
type serverFlow struct {
	seq, expected uint32
	open, ended   bool
	// last is the last answer, which is sent again if the client repeats its request.
	last *packet
}

func (s *server) start() error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.app))
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	tcp, err := net.Listen("tcp4", s.app.String())
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	s.udp, s.flows, s.born = udp, map[flowKey]*serverFlow{}, time.Now().UnixMilli()
	go func() { _ = http.Serve(tcp, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	go s.receive()
	go func() {
		for {
			s.register()
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	s.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.app.String(), "zone": s.zone, "version": "v1", "concurrency": s.slots,
		"state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": s.born,
	})
}

func (s *server) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := decode(buffer[:n])
		if !valid || p.flags&flagBounced != 0 {
			s.record.breach("UNASKED", "server %s got a packet that no client wrote so", s.id)
			continue
		}
		s.handle(p, append([]byte(nil), buffer[:n]...))
	}
}

func (s *server) send(raw []byte) {
	_, _ = s.udp.WriteToUDPAddrPort(raw, s.outbound)
}

func (s *server) reply(f *serverFlow, key flowKey, flags byte, payload []byte) *packet {
	p := &packet{src: key.service, dst: key.client, flags: flags, seq: f.seq, ack: f.expected, payload: payload}
	s.send(p.encode())
	return p
}

func (s *server) handle(p packet, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := flowKey{client: p.src, service: p.dst}
	f := s.flows[key]
	switch {
	case p.flags&flagSyn != 0:
		if f == nil {
			f = &serverFlow{seq: rand.Uint32(), expected: p.seq + 1}
			s.flows[key] = f
		}
		if !f.open {
			s.reply(f, key, flagSyn|flagAck, nil)
		}
	case f == nil || !f.open && p.ack != f.seq+1:
		raw[20] |= flagBounced
		s.send(raw)
	case p.flags&flagRst != 0:
		delete(s.flows, key)
	default:
		s.handleOpen(f, key, p)
	}
}

// handleOpen handles a packet of an open flow, or the one that opens it.
func (s *server) handleOpen(f *serverFlow, key flowKey, p packet) {
	if !f.open {
		f.open = true
		f.seq++
		s.record.opened(key, s)
	}
	switch {
	case p.flags&flagFin != 0:
		f.ended = true
		f.expected = p.seq + uint32(len(p.payload)) + 1
		s.reply(f, key, flagAck|flagFin, nil)
	case len(p.payload) == 0:
	case f.ended:
		s.reply(f, key, flagRst, nil)
	case p.seq != f.expected:
		// A repeated packet is acknowledged at once, with the answer if there is one.
		if f.last != nil {
			s.send(f.last.encode())
		} else {
			s.reply(f, key, flagAck, nil)
		}
	default:
		f.expected += uint32(len(p.payload))
		f.last = nil
		s.run(f, key, p)
	}
}

// run runs a request.
func (s *server) run(f *serverFlow, key flowKey, p packet) {
	id := strings.TrimPrefix(string(p.payload), "order ")
	s.record.ran(id, s)
	time.AfterFunc(ackDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if f.last == nil {
			s.reply(f, key, flagAck, nil)
		}
	})
	time.AfterFunc(work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f.last = s.reply(f, key, flagAck, []byte("done "+id))
		f.seq += uint32(len(f.last.payload))
	})
}
