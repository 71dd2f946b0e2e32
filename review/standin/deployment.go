package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Names and sizes of the deployment.
const (
	signals, reports    = "signal-link", "report-desk"
	signalCount         = 7
	reportCount         = 3
	slots               = 7
	maxFlowAge          = 60 * time.Second
	contact             = 4 * time.Second
	defaultIdle         = 15 * time.Second
	readyInterval       = 500 * time.Millisecond
	readyTimeout        = 400 * time.Millisecond
	missesOutOfRotation = 2
	internalPorts       = 16
	stopTimeout         = 6 * time.Second
	startTimeout        = 15 * time.Second
	clientMachine       = 250
)

var zones = []string{"fukuoka-a", "kumamoto-b", "kagoshima-c"}

// ports are the ports of the day, the same on all machines.
type ports struct {
	datagram, ready, control, outbound, app, operator, internal, store uint16
}

// machine is a VM with one process of the system.
type machine struct {
	name, zone, role, program string
	ip                        netip.Addr
	// server is the server on the machine, or nil on an entry VM.
	server  *server
	process *exec.Cmd
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	net      byte
	ports    ports
	dir      string
	store    *store
	record   *record
	machines []*machine
	servers  []*server
	balancer *rotation
	client   *client
	version  int
	// bootstrap is set while the whole system starts for the first time.
	bootstrap bool
}

// host returns a loopback address of the deployment.
func (d *deployment) host(zone, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.net, byte(zone), byte(number)})
}

// newDeployment starts the stand-ins and the system, and waits until the system is ready.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{net: byte(20 + rand.Intn(200)), dir: dir, record: r, bootstrap: true}
	base := uint16(20000 + rand.Intn(20000))
	d.ports = ports{datagram: base, ready: base + 1, control: base + 2, outbound: base + 3, app: base + 4, operator: base + 5, store: base + 6, internal: base + 10}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(d.host(200, 1), d.ports.store).String())
	if err != nil {
		return d, err
	}
	d.store = newStore(listener)
	d.addMachines()
	d.balancer = newRotation(d)
	if d.client, err = newClient(d.host(clientMachine, 1), d.ports.datagram, d.balancer, r); err != nil {
		return d, err
	}
	d.publish(signals, defaultIdle)
	for _, s := range d.servers {
		if err := s.start(); err != nil {
			return d, err
		}
	}
	for _, m := range d.machines {
		if err := d.start(m); err != nil {
			return d, err
		}
	}
	d.bootstrap = false
	return d, d.awaitReady()
}

func (d *deployment) addMachines() {
	for i, zone := range []int{0, 0, 1, 2} {
		d.machines = append(d.machines, &machine{
			name: fmt.Sprintf("edge-%d", i+1), zone: zones[zone], role: "balancer", program: "target/bramley-flow-balancer", ip: d.host(zone+1, i+10),
		})
	}
	for i := range signalCount + reportCount {
		zone, service := i%len(zones), signals
		if i >= signalCount {
			service = reports
		}
		ip := d.host(zone+1, i+40)
		s := &server{
			id: fmt.Sprintf("i-%02d", i+1), service: service, zone: zones[zone], slots: slots, store: d.store, record: d.record,
			app: netip.AddrPortFrom(ip, d.ports.app), outbound: netip.AddrPortFrom(ip, d.ports.outbound),
		}
		d.servers = append(d.servers, s)
		d.machines = append(d.machines, &machine{name: fmt.Sprintf("side-%d", i+1), zone: zones[zone], role: "agent", program: "target/bramley-flow-agent", ip: ip, server: s})
	}
}

// orderAddress is the address of the route for orders, and reportAddress that for reports.
func (d *deployment) orderAddress() netip.AddrPort {
	return netip.AddrPortFrom(d.host(240, 1), 8080)
}

func (d *deployment) reportAddress() netip.AddrPort {
	return netip.AddrPortFrom(d.host(240, 2), 8443)
}

// publish writes a version of the configuration in which a service gets the orders.
func (d *deployment) publish(orders string, idle time.Duration) {
	d.version += 2
	route := func(name string, to netip.AddrPort, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": to.Addr().String(), "prefix": fmt.Sprintf("/%d/", to.Port()), "type": kind, "timeout_ms": 5000,
			"target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false}
	}
	d.store.put("op/config", map[string]any{
		"version":  d.version,
		"routes":   []any{route("orders", d.orderAddress(), "non_idempotent", orders), route("reports", d.reportAddress(), "download", reports)},
		"services": []any{service(signals), service(reports)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idle.Milliseconds()},
	})
	d.record.log("configuration %d confirmed: orders go to %s, idle_timeout_ms %d", d.version, orders, idle.Milliseconds())
}

// settings returns the settings file of a machine's process.
func (d *deployment) settings(m *machine) map[string]any {
	at := func(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }
	bind := map[string]any{"datagram_addr": at(d.ports.datagram), "ready": at(d.ports.ready)}
	s := map[string]any{
		"node_name": m.name, "role": m.role, "ip": m.ip.String(), "zone": m.zone, "region": "kyushu",
		"zones":               map[string]string{zones[0]: "kyushu", zones[1]: "kyushu", zones[2]: "kyushu"},
		"bind_addrs":          bind,
		"internal_port_range": []uint16{d.ports.internal, d.ports.internal + internalPorts - 1},
		"seeds": []string{
			netip.AddrPortFrom(d.machines[0].ip, d.ports.control).String(), netip.AddrPortFrom(d.machines[2].ip, d.ports.control).String(),
			netip.AddrPortFrom(d.machines[3].ip, d.ports.control).String(),
		},
		"bootstrap": d.bootstrap, "discovery": "platform", "heartbeat_ms": heartbeat.Milliseconds(), "hash_mode": "steady", "deploy_mode": "agent",
		"contracts": []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": contact.Milliseconds(), "ack_ms": 5000, "catchup_s": 4, "drain_ms": 3000, "grace_s": 6,
			"config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_stretch_ms": 12000, "recovery_s": 12, "flow_reorder_ms": 2000, "max_flow_s": maxFlowAge.Seconds(),
		},
		"limits": map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"platform": map[string]any{
			"address": netip.AddrPortFrom(d.host(200, 1), d.ports.store).String(), "deploy_mode": "read", "reads_per_s": 2000, "history_s": 20, "max_value_bytes": 1048576,
		},
	}
	if m.server == nil {
		s["machine_class"], s["serves"] = "edge", []string{"edge", "control_plane"}
		bind["control"] = at(d.ports.control)
		return s
	}
	s["machine_class"], s["serves"] = "side", []string{"side"}
	s["service"], s["app"] = m.server.service, m.server.app.String()
	bind["outbound"] = m.server.outbound.String()
	return s
}

// start starts the process of a machine as the deploy file says, with an operator address of its own.
func (d *deployment) start(m *machine) error {
	text, err := json.MarshalIndent(d.settings(m), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, m.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command(m.program, "--operator", netip.AddrPortFrom(m.ip, d.ports.operator).String())
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BRAMLEYRACK_SETTINGS=" + path}
	m.process.Stdout, m.process.Stderr = log, log
	return m.process.Start()
}

// kill kills the process of a machine and waits for its end.
func (m *machine) kill() {
	_ = m.process.Process.Signal(syscall.SIGKILL)
	_ = m.process.Wait()
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	var group sync.WaitGroup
	for _, m := range d.machines {
		if m.process == nil || m.process.Process == nil {
			continue
		}
		_ = m.process.Process.Signal(syscall.SIGTERM)
		timer := time.AfterFunc(stopTimeout, func() { _ = m.process.Process.Kill() })
		group.Go(func() {
			_ = m.process.Wait()
			timer.Stop()
		})
	}
	group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// awaitReady waits until all processes are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range d.machines {
		for !isReady(netip.AddrPortFrom(m.ip, d.ports.ready)) {
			if time.Now().After(deadline) {
				return errors.New(m.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var readyClient = &http.Client{Timeout: readyTimeout}

func isReady(address netip.AddrPort) bool {
	response, err := readyClient.Get("http://" + address.String() + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// rotation stands in for the platform's routers: it forwards each packet by a hash over the entry VMs in rotation.
type rotation struct {
	mu     sync.Mutex
	nodes  []netip.AddrPort
	misses []int
}

func newRotation(d *deployment) *rotation {
	r := &rotation{}
	for _, m := range d.machines {
		if m.server != nil {
			continue
		}
		i, ready := len(r.nodes), netip.AddrPortFrom(m.ip, d.ports.ready)
		r.nodes, r.misses = append(r.nodes, netip.AddrPortFrom(m.ip, d.ports.datagram)), append(r.misses, missesOutOfRotation)
		go func() {
			for ; ; time.Sleep(readyInterval) {
				ok := isReady(ready)
				r.mu.Lock()
				r.misses[i]++
				if ok {
					r.misses[i] = 0
				}
				r.mu.Unlock()
			}
		}()
	}
	return r
}

// pick returns the entry VM for a flow: the one in rotation with the highest hash, so that only the flows of a VM move
// when it leaves. If none is in rotation, all are used.
func (r *rotation) pick(key flowKey) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	var bestHash uint64
	for _, all := range []bool{false, true} {
		for i, node := range r.nodes {
			h := fnv.New64a()
			fmt.Fprintf(h, "%v %v %v", node, key.client, key.service)
			if mixed := mix(h.Sum64()); (all || r.misses[i] < missesOutOfRotation) && (!best.IsValid() || mixed > bestHash) {
				best, bestHash = node, mixed
			}
		}
		if best.IsValid() {
			break
		}
	}
	return best, best.IsValid()
}

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
