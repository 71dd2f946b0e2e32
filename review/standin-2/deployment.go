package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// ports holds the ports that are the same on all machines.
type ports struct {
	datagram, ready, control, internal, app, outbound, store, operator uint16
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record *record
	store  *store
	ports  ports
	subnet byte
	dir    string
	// root is the repository's root, in which the programs are started.
	root   string
	bounds map[string]any
	done   chan struct{}

	mu      sync.Mutex
	edges   []*process
	sides   []*process
	servers []*server
	clients int
	sentIDs map[string]bool
	runs    map[string]int
	// arrivals holds the packets of clients that reached servers, by flow.
	arrivals map[flowKey][]arrival
}

// process is one process of the system. The platform starts it again when it ends.
type process struct {
	deployment *deployment
	name       string
	// command is the program and its arguments as the deploy file has them, without the operator's address.
	command string
	class   string
	zone    string
	ip      netip.Addr
	server  *server

	mu      sync.Mutex
	cmd     *exec.Cmd
	retired bool
	misses  int
	// bootstrap is set for the first start.
	bootstrap bool
}

// The commands of the deploy file. There, the operator's address is 0.0.0.0:9464 on each machine.
const (
	balancerProgram = "target/bramley-flow-balancer"
	agentProgram    = "target/bramley-flow-agent"
)

func newDeployment(r *record, root, dir string, bounds map[string]any) (*deployment, error) {
	d := &deployment{
		record: r, root: root, dir: dir, bounds: bounds, subnet: byte(20 + os.Getpid()%200), done: make(chan struct{}),
		sentIDs: map[string]bool{}, runs: map[string]int{}, arrivals: map[flowKey][]arrival{},
	}
	if err := d.choosePorts(); err != nil {
		return nil, err
	}
	var err error
	d.store, err = startStore(netip.AddrPortFrom(d.addr(5, 1), d.ports.store).String(), r)
	return d, err
}

// choosePorts looks for a block of ports that is free on this machine.
func (d *deployment) choosePorts() error {
	for base := uint16(21000 + os.Getpid()%50*100); base < 32000; base += 100 {
		free := true
		for i := range uint16(40) {
			l, err := net.Listen("tcp", netip.AddrPortFrom(d.addr(1, 1), base+i).String())
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			d.ports = ports{base, base + 1, base + 2, base + 10, base + 3, base + 4, base + 5, base + 6}
			return nil
		}
	}
	return errors.New("no free ports")
}

// addr returns an address of a class: 1 for edge machines, 3 for side machines, 5 for the store, 7 for clients, and 9 for
// the addresses of routes, to which nothing is sent.
func (d *deployment) addr(class, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.subnet, class, n})
}

// vip returns the address of the route with a number.
func (d *deployment) vip(n byte) netip.AddrPort {
	return netip.AddrPortFrom(d.addr(9, n), 443)
}

func (d *deployment) addEdge(zone string) *process {
	p := &process{deployment: d, class: "edge", zone: zone, command: balancerProgram, bootstrap: true}
	p.ip = d.addr(1, byte(len(d.edges)+1))
	p.name = fmt.Sprintf("edge-%s-%d", zone, len(d.edges)+1)
	d.mu.Lock()
	d.edges = append(d.edges, p)
	d.mu.Unlock()
	return p
}

// addServer adds a server and the process beside it.
func (d *deployment) addServer(service, zone string, slots int, work func(id string) time.Duration) *process {
	n := byte(len(d.sides) + 1)
	p := &process{deployment: d, class: "side", zone: zone, command: agentProgram, bootstrap: true, ip: d.addr(3, n)}
	p.name = fmt.Sprintf("side-%s-%d", zone, n)
	p.server = &server{
		deployment: d, id: fmt.Sprintf("i-%d", n), service: service, zone: zone, slots: slots, work: work, ackDelay: ackDelay(),
		app: netip.AddrPortFrom(p.ip, d.ports.app), outbound: netip.AddrPortFrom(p.ip, d.ports.outbound),
	}
	d.mu.Lock()
	d.sides = append(d.sides, p)
	d.servers = append(d.servers, p.server)
	d.mu.Unlock()
	return p
}

// ackDelay returns the time of ACK_MS, for trials with servers that acknowledge a single packet.
func ackDelay() time.Duration {
	ms, _ := strconv.Atoi(os.Getenv("ACK_MS"))
	return time.Duration(ms) * time.Millisecond
}

func (d *deployment) addClient(zone string) (*client, error) {
	d.clients++
	return newClient(d, zone, d.addr(7, byte(d.clients)))
}

// start starts everything that was added and waits until all edge machines are ready.
func (d *deployment) start() error {
	for _, s := range d.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process{}, d.edges...), d.sides...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	go d.pollReady()
	for range 300 {
		time.Sleep(50 * time.Millisecond)
		ready := 0
		for _, p := range d.edges {
			if p.inRotation() {
				ready++
			}
		}
		if ready == len(d.edges) {
			return nil
		}
	}
	return errors.New("the edge machines are not ready after 15 s")
}

// stop ends all processes.
func (d *deployment) stop() {
	d.mu.Lock()
	all := append(append([]*process{}, d.edges...), d.sides...)
	servers := d.servers
	d.mu.Unlock()
	close(d.done)
	for _, p := range all {
		p.mu.Lock()
		p.retired = true
		cmd := p.cmd
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
		}
	}
	for _, s := range servers {
		s.crash()
	}
}

// settings returns the settings file of a process as the platform writes it.
func (p *process) settings() []byte {
	d := p.deployment
	at := func(port uint16) string { return netip.AddrPortFrom(p.ip, port).String() }
	bind := map[string]any{"datagram_addr": at(d.ports.datagram), "ready": at(d.ports.ready)}
	var seeds []string
	zones := map[string]string{}
	for i, e := range d.edges {
		zones[e.zone] = "region"
		if i < 3 {
			seeds = append(seeds, netip.AddrPortFrom(e.ip, d.ports.control).String())
		}
	}
	s := map[string]any{
		"node_name": p.name, "role": "balancer", "machine_class": p.class, "serves": []string{"edge", "control_plane"}, "ip": p.ip.String(),
		"zone": p.zone, "region": "region", "zones": zones, "bind_addrs": bind,
		"internal_port_range": []uint16{d.ports.internal, d.ports.internal + 15}, "seeds": seeds, "bootstrap": p.bootstrap,
		"loss_counts": false, "data_dir": nil, "discovery": "platform", "entry_mode": "announce",
		"heartbeat_ms": heartbeat.Milliseconds(), "bounds": d.bounds, "hash_mode": "steady", "deploy_mode": "agent",
		"limits": map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"platform": map[string]any{
			"address": netip.AddrPortFrom(d.addr(5, 1), d.ports.store).String(), "deploy_mode": "read", "reads_per_s": 2000,
			"history_s": 20, "max_value_bytes": 1 << 20,
		},
	}
	if p.server == nil {
		bind["control"] = at(d.ports.control)
	} else {
		s["role"], s["serves"] = "agent", []string{"side"}
		bind["outbound"] = p.server.outbound.String()
		s["app"], s["service"] = p.server.app.String(), p.server.service
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return encoded
}

func (p *process) start() error {
	d := p.deployment
	path := filepath.Join(d.dir, p.name+".json")
	if err := os.WriteFile(path, p.settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(d.root, p.command), "--operator", netip.AddrPortFrom(p.ip, d.ports.operator).String())
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYRACK_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.bootstrap = cmd, false
	d.record.event("process %s starts", p.name)
	go func() {
		err := cmd.Wait()
		log.Close()
		p.handleEnd(cmd, err)
	}()
	return nil
}

// handleEnd starts a process again that has ended. One that ends by itself with an error breaks the rule about faults.
func (p *process) handleEnd(cmd *exec.Cmd, err error) {
	p.mu.Lock()
	retired := p.retired
	p.mu.Unlock()
	if retired {
		return
	}
	status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
	p.deployment.record.event("process %s has ended: %v", p.name, err)
	if !status.Signaled() && status.ExitStatus() != 0 {
		p.deployment.record.breaks("process %s ended by itself with status %d", p.name, status.ExitStatus())
	}
	select {
	case <-p.deployment.done:
		return
	case <-time.After(restartDelay):
	}
	if err := p.start(); err != nil {
		p.deployment.record.event("process %s does not start: %v", p.name, err)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deployment.record.event("process %s gets the signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// pollReady checks the readiness of the edge machines twice a second. After two misses, a machine is out of rotation.
func (d *deployment) pollReady() {
	c := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range d.edges {
		p.misses = 2
	}
	for {
		for _, p := range d.edges {
			ready := false
			if r, err := c.Get("http://" + netip.AddrPortFrom(p.ip, d.ports.ready).String() + "/v1/readyz"); err == nil {
				ready = r.StatusCode == http.StatusOK
				r.Body.Close()
			}
			p.mu.Lock()
			p.misses++
			if ready {
				p.misses = 0
			}
			p.mu.Unlock()
		}
		select {
		case <-d.done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (p *process) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.misses < 2
}

// route forwards a client's packet to an edge machine in the client's zone, as the platform's routers do with the hash
// mode steady. Without one in rotation there, it uses those of the other zones.
func (d *deployment) route(c *client, p packet) {
	var best *process
	var score uint64
	for _, sameZone := range []bool{true, false} {
		for _, e := range d.edges {
			if (e.zone == c.zone) != sameZone || !e.inRotation() {
				continue
			}
			h := fnv.New64a()
			fmt.Fprint(h, p.src, p.dst, e.name)
			if s := h.Sum64(); best == nil || s > score {
				best, score = e, s
			}
		}
		if best != nil {
			break
		}
	}
	if best != nil {
		_, _ = c.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(best.ip, d.ports.datagram))
	}
}

// sent records that a client has sent a request.
func (d *deployment) sent(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sentIDs[id] = true
}

// ran records that a server has run a request.
func (d *deployment) ran(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
	if !d.sentIDs[id] {
		d.record.breaks("request %s was run, and no client sent it", id)
	}
}

// arrived records that a packet of a client has reached a server.
func (d *deployment) arrived(key flowKey, server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals[key] = append(d.arrivals[key], arrival{server, time.Now()})
}

func (d *deployment) arrivalsOf(key flowKey) []arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrivals[key]
}
