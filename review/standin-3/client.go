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
