package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"time"
)

// outcome is how the attempt to open a flow or to send a request has ended.
type outcome string

const (
	answered  outcome = "answered"
	timedOut  outcome = "timed out"
	wasReset  outcome = "reset by the system"
	srvReset  outcome = "reset by the server"
	notOpened outcome = "not opened"
)

// copyTimes are when a client sends the copies of its opening packet, and then gives up.
var copyTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// resetWindow is how far the number of a reset may be from the client's last acknowledgment.
const resetWindow = 76800

// client stands in for a client with an address of its own.
type client struct {
	deployment *deployment
	zone       string
	ip         netip.Addr
	socket     *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]chan packet
	lastPort uint16
}

func newClient(d *deployment, zone string, ip netip.Addr) (*client, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, d.ports.datagram)))
	if err != nil {
		return nil, err
	}
	c := &client{deployment: d, zone: zone, ip: ip, socket: socket, flows: map[uint16]chan packet{}, lastPort: 40000}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decodePacket(buffer[:n])
		if !ok || p.sum != senderSum && (p.sum != 0 || p.flags != flagRst) {
			c.deployment.record.breaks("client %s got a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		packets := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if packets != nil {
			select {
			case packets <- p:
			default:
			}
		}
	}
}

// clientFlow is one flow of a client.
type clientFlow struct {
	client  *client
	key     flowKey
	packets chan packet
	// seq is the number of the next byte to send, and ack that of the next byte expected.
	seq, ack       uint32
	unacknowledged int
	// transmitted holds when the packets of the latest request were sent.
	transmitted []time.Time
}

// open opens a flow from a new port.
func (c *client) open(to netip.AddrPort) (*clientFlow, outcome) {
	c.mu.Lock()
	c.lastPort++
	f := &clientFlow{client: c, packets: make(chan packet, 256), seq: rand.Uint32()}
	f.key = flowKey{netip.AddrPortFrom(c.ip, c.lastPort), to}
	c.flows[c.lastPort] = f.packets
	c.mu.Unlock()
	start := time.Now()
	for copies, end := range copyTimes {
		f.send(packet{flags: flagSyn, seq: f.seq, ack: uint32(copies)})
		for {
			p, got := f.next(start.Add(end))
			if !got {
				break
			}
			if p.flags&flagRst != 0 {
				f.forget()
				return nil, notOpened
			}
			if p.flags&(flagSyn|flagAck) == flagSyn|flagAck && p.ack == f.seq+1 {
				f.seq, f.ack = f.seq+1, p.seq+1
				return f, answered
			}
		}
	}
	f.forget()
	return nil, notOpened
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst, p.sum = f.key.client, f.key.service, senderSum
	f.client.deployment.route(f.client, p)
}

// next returns the next packet of the flow, or false if none arrives before a time.
func (f *clientFlow) next(deadline time.Time) (packet, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case p := <-f.packets:
		return p, true
	case <-timer.C:
		return packet{}, false
	}
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.key.client.Port())
}

// ask sends a request and waits for the answer for as long as the client's time budget.
func (f *clientFlow) ask(id string, budget time.Duration) outcome {
	request := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", f.key.service.Addr(), requestIDHeader, id)
	f.client.deployment.sent(id)
	f.client.deployment.record.event("client sends request %s on %s", id, f.key)
	deadline := time.Now().Add(budget)
	var input []byte
	acknowledged := false
	f.transmitted = nil
	for wait := firstRetry; time.Now().Before(deadline); wait = min(2*wait, longestRetry) {
		if !acknowledged {
			f.transmitted = append(f.transmitted, time.Now())
			f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack, data: request})
		}
		retry := time.Now().Add(wait)
		if retry.After(deadline) {
			retry = deadline
		}
		for {
			p, got := f.next(retry)
			if !got {
				break
			}
			switch {
			case p.flags&flagRst != 0 && p.sum == senderSum:
				f.forget()
				return srvReset
			case p.flags&flagRst != 0:
				if p.seq-f.ack+resetWindow > 2*resetWindow {
					continue
				}
				f.forget()
				return wasReset
			}
			acknowledged = acknowledged || p.ack == f.seq+uint32(len(request))
			if len(p.data) == 0 {
				continue
			}
			if p.seq == f.ack {
				f.ack += uint32(len(p.data))
				input = append(input, p.data...)
			}
			f.acknowledge()
			if bytes.HasSuffix(input, []byte("answer to "+id)) && bytes.Contains(input, []byte(stampHeader)) {
				f.seq += uint32(len(request))
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
				return answered
			}
		}
	}
	return timedOut
}

// acknowledge acknowledges every second packet.
func (f *clientFlow) acknowledge() {
	if f.unacknowledged++; f.unacknowledged >= 2 {
		f.unacknowledged = 0
		f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
	}
}
