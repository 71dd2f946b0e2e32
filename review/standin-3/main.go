// Command standin-3 plays a small deployment for the scripts of this review: the platform's store, servers and clients,
// beside the project's own balancers and agents as separate processes on loopback.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	datagramPort, readyPort, internalPort, appPort = 20172, 20167, 20720, 20165
	outboundPort, storePort, operatorPort          = 20162, 20169, 20164
	heartbeat                                      = 770 * time.Millisecond
	workTime                                       = 40 * time.Millisecond
	timeBudget                                     = 1500 * time.Millisecond
	slots                                          = 5
	serviceName                                    = "orders"
	clientZone                                     = "north"
	balancersPerZone                               = 2
	coldStart                                      = 2 * time.Second
	leadTime                                       = 10 * time.Second
)

// deployment is the whole deployment.
type deployment struct {
	subnet    byte
	dir       string
	programs  string
	service   netip.AddrPort
	store     *store
	balancers []*process
	agents    []*process
	servers   []*server
	clients   []*client
	// serverZones holds the zone of each server.
	serverZones []string
	// traffic is when the traffic begins.
	traffic time.Time

	mu     sync.Mutex
	log    *os.File
	began  time.Time
	counts map[string]int
	owners map[flowKey]owner
}

func addrPort(ip netip.Addr, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(ip, port)
}

// process is a balancer or an agent.
type process struct {
	d      *deployment
	name   string
	zone   string
	ip     netip.Addr
	server *server

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	misses int
}

func (d *deployment) addr(class, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.subnet, class, n})
}

func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.log, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) count(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[what]++
}

// settings returns the settings file of a process.
func (p *process) settings() []byte {
	at := func(port uint16) string { return netip.AddrPortFrom(p.ip, port).String() }
	bind := map[string]any{"datagram_addr": at(datagramPort), "ready": at(readyPort)}
	var seeds []string
	for _, b := range p.d.balancers[:min(3, len(p.d.balancers))] {
		seeds = append(seeds, netip.AddrPortFrom(b.ip, 20166).String())
	}
	settings := map[string]any{
		"node_name": p.name, "zone": p.zone, "ip": p.ip.String(), "bind_addrs": bind,
		"internal_port_range": []int{internalPort, internalPort + 15}, "seeds": seeds, "bootstrap": time.Now().Before(p.d.traffic),
		"heartbeat_ms": heartbeat.Milliseconds(), "limits": map[string]any{"link_mbps": 1000},
		"bounds":   map[string]any{"max_flow_s": 60},
		"platform": map[string]any{"address": netip.AddrPortFrom(p.d.addr(5, 1), storePort).String()},
	}
	if p.server != nil {
		bind["outbound"] = p.server.outbound.String()
		settings["app"], settings["service"] = p.server.app.String(), serviceName
	}
	encoded, _ := json.Marshal(settings)
	return encoded
}

// start starts the program of the process with the command of the deploy file, except for the operator address: all
// processes share one machine here.
func (p *process) start() error {
	program := "bramley-flow-balancer"
	if p.server != nil {
		program = "bramley-flow-agent"
	}
	path := filepath.Join(p.d.dir, p.name+".json")
	if err := os.WriteFile(path, p.settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(p.d.programs, program), "--operator", netip.AddrPortFrom(p.ip, operatorPort).String())
	cmd.Env = append(os.Environ(), "BRAMLEYRACK_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill kills the program that was started and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// build starts the deployment and waits until it is ready.
func (d *deployment) build() error {
	var err error
	if d.store, err = startStore(netip.AddrPortFrom(d.addr(5, 1), storePort).String(), d.record); err != nil {
		return err
	}
	d.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": d.service.Addr().String(), "prefix": fmt.Sprintf("/%d/", d.service.Port()), "type": "idempotent",
			"timeout_ms": timeBudget.Milliseconds(), "target_latency_ms": 250, "priority": 1, "service": serviceName, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": serviceName, "cold_start_s": coldStart.Seconds(), "cold_per_s": 0}},
		"limits":   map[string]any{"idle_timeout_ms": 15000},
	})
	for i := range 2 * balancersPerZone {
		zone := []string{"north", "south"}[i%2]
		d.balancers = append(d.balancers, &process{d: d, name: fmt.Sprint("edge-", zone, "-", i/2+1), zone: zone, ip: d.addr(1, byte(i+1)), misses: 2})
	}
	for i, zone := range d.serverZones {
		n := byte(i + 1)
		s := &server{d: d, id: fmt.Sprint("i-", n), zone: zone, app: netip.AddrPortFrom(d.addr(3, n), appPort), outbound: netip.AddrPortFrom(d.addr(3, n), outboundPort)}
		d.servers = append(d.servers, s)
		d.agents = append(d.agents, &process{d: d, name: fmt.Sprint("side-", zone, "-", n), zone: zone, ip: d.addr(3, n), server: s})
	}
	for _, p := range append(slices.Clone(d.balancers), d.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, s := range d.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	for i := range 8 {
		c, err := startClient(d, d.addr(7, byte(i+1)))
		if err != nil {
			return err
		}
		d.clients = append(d.clients, c)
	}
	go d.pollReadiness()
	for limit := time.Now().Add(leadTime); ; time.Sleep(50 * time.Millisecond) {
		if len(d.rotation()) == balancersPerZone && time.Now().After(d.began.Add(4*time.Second)) {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("the balancers are not ready")
		}
	}
}

func (d *deployment) stop() {
	for _, p := range append(slices.Clone(d.balancers), d.agents...) {
		p.kill()
	}
	for _, s := range d.servers {
		s.crash()
	}
}

func main() {
	recordPath := flag.String("record", "record.txt", "file for the record")
	programs := flag.String("programs", "target", "directory of the programs under test")
	logs := flag.String("logs", "", "directory for the logs of the processes; a temporary one if empty")
	seed := flag.Int64("seed", time.Now().UnixNano(), "seed of the stand-ins")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	flag.Parse()
	os.Exit(playFeeds(*recordPath, *programs, *logs, *seed, *trouble))
}

// newDeployment returns a deployment that has not been started, and a function that ends it.
func newDeployment(recordPath, programs, logs string) (d *deployment, end func(), err error) {
	log, err := os.Create(recordPath)
	if err != nil {
		return nil, nil, err
	}
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return nil, nil, err
		}
	}
	d = &deployment{
		subnet: byte(10 + os.Getpid()%200), dir: dir, programs: programs, log: log, began: time.Now(),
		counts: map[string]int{}, traffic: time.Now().Add(time.Hour),
	}
	d.service = netip.AddrPortFrom(d.addr(9, 1), 443)
	end = func() {
		d.stop()
		log.Close()
		if logs == "" {
			os.RemoveAll(dir)
		}
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		end()
		os.Exit(2)
	}()
	return d, end, nil
}
