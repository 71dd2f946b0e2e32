package main

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// client is one client with its own address.
type client struct {
	d      *deployment
	ip     netip.Addr
	socket *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]chan packet
	port  uint16
}

func startClient(d *deployment, ip netip.Addr) (*client, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagramPort)))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(1 << 20)
	c := &client{d: d, ip: ip, socket: socket, flows: map[uint16]chan packet{}, port: 20000}
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
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		flow := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if flow != nil {
			select {
			case flow <- p:
			default:
			}
		}
	}
}

// copyTimes are the times at which a client sends the copies of an opening packet. It gives up after the last one.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// request makes one attempt at a request over a flow of its own and returns its result.
func (c *client) request() string {
	c.mu.Lock()
	c.port++
	port := c.port
	packets := make(chan packet, 32)
	c.flows[port] = packets
	c.mu.Unlock()
	key := flowKey{client: netip.AddrPortFrom(c.ip, port), service: c.d.service}
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
	}()
	seq := uint32(1000)
	start := time.Now()
	var opened packet
	for i, at := range copyTimes[:3] {
		c.d.noteSent(key, uint32(i))
		c.send(key, packet{flags: syn, seq: seq, ack: uint32(i)})
		p, ok := next(packets, start.Add(copyTimes[i+1]))
		_ = at
		if !ok {
			continue
		}
		if p.flags&rst != 0 {
			return "refused"
		}
		opened = p
		break
	}
	if opened.flags == 0 {
		return "not opened"
	}
	seq++
	payload := fmt.Appendf(nil, "ask %s-%d", c.ip, port)
	deadline := start.Add(timeBudget)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		c.send(key, packet{flags: ack, seq: seq, ack: opened.seq + 1, payload: payload})
		again := time.Now().Add(wait)
		for {
			p, ok := next(packets, again)
			if !ok {
				break
			}
			if p.flags&rst != 0 && (p.checksum != 0 || p.seq-(opened.seq+1)+76800 <= 2*76800) {
				return "reset"
			}
			if len(p.payload) > 0 {
				c.send(key, packet{flags: ack | fin, seq: seq + uint32(len(payload)), ack: p.seq + uint32(len(p.payload))})
				return "answered"
			}
		}
	}
	return "timed out"
}

func next(packets <-chan packet, deadline time.Time) (packet, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case p := <-packets:
		return p, true
	case <-timer.C:
		return packet{}, false
	}
}

// send sends a packet to a balancer of the client's zone that is in rotation, chosen by a hash of the flow.
func (c *client) send(key flowKey, p packet) {
	p.src, p.dst, p.checksum = key.client, key.service, testChecksum
	var best *process
	var score uint64
	for _, b := range c.d.rotation() {
		h := fnv.New64a()
		fmt.Fprint(h, p.src, p.dst, b.name)
		if s := h.Sum64(); best == nil || s > score {
			best, score = b, s
		}
	}
	if best != nil {
		_, _ = c.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(best.ip, datagramPort))
	}
}

// pollReadiness checks the readiness of the balancers twice a second. One leaves the rotation after two misses and returns
// with the first good answer.
func (d *deployment) pollReadiness() {
	check := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ; time.Sleep(500 * time.Millisecond) {
		for _, b := range d.balancers {
			go func() {
				r, err := check.Get("http://" + netip.AddrPortFrom(b.ip, readyPort).String() + "/v1/readyz")
				good := err == nil && r.StatusCode == http.StatusOK
				if err == nil {
					r.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				b.misses++
				if good {
					b.misses = 0
				}
			}()
		}
	}
}

// rotation returns the balancers to which the platform's routers send: those in rotation in the clients' zone, or else
// those of the nearest zone.
func (d *deployment) rotation() []*process {
	var own, others []*process
	for _, b := range d.balancers {
		b.mu.Lock()
		ready := b.misses < 2
		b.mu.Unlock()
		switch {
		case ready && b.zone == clientZone:
			own = append(own, b)
		case ready:
			others = append(others, b)
		}
	}
	if len(own) > 0 {
		return own
	}
	return others
}
