package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

// server is a stand-in for a server of the platform. It answers each request with the request's ID.
type server struct {
	d             *deployment
	id, zone      string
	app, outbound netip.AddrPort

	mu  sync.Mutex
	run *serverRun
	// runs holds all incarnations.
	runs []*serverRun
}

// serverRun is one incarnation of a server. Nothing of it remains after a crash.
type serverRun struct {
	s       *server
	born    time.Time
	id      string
	udp     *net.UDPConn
	tcp     net.Listener
	stopped chan struct{}

	mu      sync.Mutex
	seq     int
	flows   map[flowKey]*serverFlow
	busy    int
	waiting []func()
}

type flowKey struct {
	client, service netip.AddrPort
}

type serverFlow struct {
	seq      uint32
	open     bool
	answers  map[uint32][]byte
	finished bool
}

// start starts a new incarnation, which writes its entry at once and then at each heartbeat.
func (s *server) start() error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.app))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", s.app.String())
	if err != nil {
		udp.Close()
		return err
	}
	s.mu.Lock()
	id := fmt.Sprint(s.id, "-", len(s.runs)+1)
	s.mu.Unlock()
	r := &serverRun{s: s, id: id, born: time.Now(), udp: udp, tcp: tcp, stopped: make(chan struct{}), flows: map[flowKey]*serverFlow{}}
	s.mu.Lock()
	s.run = r
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	go r.receive()
	go func() {
		for {
			conn, err := tcp.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	go func() {
		for {
			r.register()
			select {
			case <-r.stopped:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.mu.Lock()
	r := s.run
	s.run = nil
	s.mu.Unlock()
	if r != nil {
		close(r.stopped)
		r.udp.Close()
		r.tcp.Close()
	}
}

// coldLeft returns how long the server stays cold. Servers that started before traffic are warm.
func (r *serverRun) coldLeft() time.Duration {
	if r.born.Before(r.s.d.traffic) {
		return 0
	}
	return max(0, time.Until(r.born.Add(coldStart)))
}

func (r *serverRun) register() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": serviceName, "address": r.s.app.String(), "zone": r.s.zone, "version": "v1", "concurrency": slots,
		"state": "ready", "cold_remaining_ms": r.coldLeft().Milliseconds(), "seq": r.seq, "born": r.born.UnixMilli(),
	}
	r.mu.Unlock()
	r.s.d.store.writeEntry("servers/"+r.id, entry)
}

func (r *serverRun) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := r.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, ok := decode(buffer[:n]); ok {
			r.handle(p)
		}
	}
}

func (r *serverRun) send(p packet) {
	p.checksum = testChecksum
	_, _ = r.udp.WriteToUDPAddrPort(p.encode(), r.s.outbound)
}

func (r *serverRun) handle(p packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := flowKey{client: p.src, service: p.dst}
	f := r.flows[key]
	switch {
	case p.flags&syn != 0:
		if f == nil {
			f = &serverFlow{seq: rand.Uint32(), answers: map[uint32][]byte{}}
			r.flows[key] = f
		}
		r.send(packet{src: key.service, dst: key.client, flags: syn | ack, seq: f.seq, ack: p.seq + 1})
	case f == nil || !f.open && p.ack != f.seq+1:
		p.flags |= returned
		r.send(p)
	case p.flags&rst != 0:
		delete(r.flows, key)
	default:
		if !f.open {
			f.open = true
			r.s.d.noteOpened(key, r)
		}
		r.handleFlow(key, f, p)
	}
}

func (r *serverRun) handleFlow(key flowKey, f *serverFlow, p packet) {
	if p.flags&fin != 0 {
		r.send(packet{src: key.service, dst: key.client, flags: ack, seq: f.seq + 1, ack: p.seq + 1})
		f.finished = true
		return
	}
	if len(p.payload) == 0 {
		return
	}
	answer, known := f.answers[p.seq]
	switch {
	case known && answer != nil:
		r.answer(key, f, p, answer)
		return
	case known:
		r.send(packet{src: key.service, dst: key.client, flags: ack, seq: f.seq + 1, ack: p.seq + uint32(len(p.payload))})
		return
	}
	if r.busy >= slots && len(r.waiting) >= queueLimit {
		f.answers[p.seq] = []byte("busy")
		r.answer(key, f, p, f.answers[p.seq])
		return
	}
	f.answers[p.seq] = nil
	r.execute(func() {
		f.answers[p.seq] = append([]byte("done "), p.payload...)
		r.answer(key, f, p, f.answers[p.seq])
	})
}

// queueLimit is how many requests wait at a server. It rejects those beyond that without running them.
const queueLimit = 8

// execute runs a request in a slot, or queues it until one is free.
func (r *serverRun) execute(done func()) {
	if r.busy >= slots {
		r.waiting = append(r.waiting, done)
		return
	}
	r.busy++
	took := time.Duration(float64(workTime) * (0.5 + rand.Float64()))
	if r.coldLeft() > 0 {
		took = took * 8 / 5
	}
	time.AfterFunc(took, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		select {
		case <-r.stopped:
			return
		default:
		}
		r.busy--
		done()
		if len(r.waiting) > 0 {
			next := r.waiting[0]
			r.waiting = r.waiting[1:]
			r.execute(next)
		}
	})
}

func (r *serverRun) answer(key flowKey, f *serverFlow, p packet, answer []byte) {
	r.send(packet{src: key.service, dst: key.client, flags: ack, seq: f.seq + 1, ack: p.seq + uint32(len(p.payload)), payload: answer})
}
