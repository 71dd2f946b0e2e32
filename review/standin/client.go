package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// openTimeout is when a client gives up an attempt to open a flow, and timeBudget when it gives up a request.
	openTimeout = 1400 * time.Millisecond
	timeBudget  = 5 * time.Second
	// resetWindow is how far the number of a reset of the system may be from the client's last acknowledgment.
	resetWindow = 76800
)

// client stands in for clients at one address.
type client struct {
	ip     netip.Addr
	router *rotation
	record *record
	socket *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
}

// clientFlow is one flow of a client.
type clientFlow struct {
	client   *client
	key      flowKey
	seq, ack uint32
	packets  chan packet
	openedAt time.Time
	// lastUsed is when the flow was last used by either end.
	lastUsed time.Time
	orders   int
}

func newClient(ip netip.Addr, port uint16, router *rotation, record *record) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, fmt.Errorf("client %s: %w", ip, err)
	}
	c := &client{ip: ip, router: router, record: record, socket: socket, port: 40000, flows: map[uint16]*clientFlow{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := decode(buffer[:n])
		if !valid && (p.flags != flagRst || p.sum != 0 || len(p.payload) > 0) || p.flags&flagBounced != 0 {
			c.record.breach("MIXED", "client %s got a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil || f.key.service != p.src {
			continue
		}
		select {
		case f.packets <- p:
		default:
		}
	}
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.key.client, f.key.service
	if to, ok := f.client.router.pick(f.key); ok {
		_, _ = f.client.socket.WriteToUDPAddrPort(p.encode(), to)
	}
}

// next returns the next packet of the flow until a time.
func (f *clientFlow) next(until time.Time) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case p := <-f.packets:
		return p, true
	case <-timer.C:
		return packet{}, false
	}
}

// open opens a flow from a new port. It returns nil if the attempt fails.
func (c *client) open(to netip.AddrPort) *clientFlow {
	c.mu.Lock()
	c.port++
	f := &clientFlow{client: c, key: flowKey{client: netip.AddrPortFrom(c.ip, c.port), service: to}, seq: uint32(c.port) << 8, packets: make(chan packet, 64)}
	c.flows[c.port] = f
	c.mu.Unlock()
	start := time.Now()
	for copies, after := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		f.send(packet{flags: flagSyn, seq: f.seq, ack: uint32(copies)})
		p, got := f.next(start.Add(after))
		switch {
		case !got:
			continue
		case p.flags&flagRst != 0:
			c.record.log("open %v: reset", f.key)
			return nil
		}
		f.seq++
		f.ack = p.seq + 1
		f.openedAt, f.lastUsed = time.Now(), time.Now()
		return f
	}
	c.record.log("open %v: no answer", f.key)
	return nil
}

// order sends an order over the flow and waits for the answer until its time budget. It repeats packets that are not
// acknowledged. outcome is "done", "reset by the system", "reset by the server" or "no answer".
func (f *clientFlow) order() (outcome string) {
	f.orders++
	id := fmt.Sprintf("%v#%d", f.key.client, f.orders)
	idle := time.Since(f.lastUsed)
	f.client.record.sent(id)
	payload := []byte("order " + id)
	deadline := time.Now().Add(timeBudget)
	outcome = "no answer"
	wait := 200 * time.Millisecond
	for acknowledged := false; time.Now().Before(deadline) && outcome == "no answer"; wait = min(2*wait, 1600*time.Millisecond) {
		if !acknowledged {
			f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack, payload: payload})
		}
		retryAt := time.Now().Add(wait)
		for outcome == "no answer" {
			p, got := f.next(retryAt)
			if !got {
				break
			}
			acknowledged = acknowledged || p.flags&flagAck != 0 && p.ack == f.seq+uint32(len(payload))
			outcome = f.evaluate(p, id, payload)
		}
	}
	f.client.record.outcome(f, id, idle, outcome)
	f.lastUsed = time.Now()
	return outcome
}

func (f *clientFlow) evaluate(p packet, id string, payload []byte) string {
	switch {
	case p.flags&flagRst != 0 && p.sum == 0:
		if p.seq-f.ack+resetWindow > 2*resetWindow {
			return "no answer"
		}
		return "reset by the system"
	case p.flags&flagRst != 0:
		return "reset by the server"
	case len(p.payload) == 0 || p.seq != f.ack:
		return "no answer"
	case string(p.payload) != "done "+id:
		f.client.record.breach("MIXED", "order %s got the answer %q", id, p.payload)
		return "foreign answer"
	}
	f.seq += uint32(len(payload))
	f.ack = p.seq + uint32(len(p.payload))
	f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
	return "done"
}
