// Command standin-3 plays a small deployment for the scripts of this review: the platform's store, servers and clients,
// beside the project's own balancers and agents as separate processes on loopback.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
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
	serversPerZone, balancersPerZone               = 6, 2
	coldStart                                      = 2 * time.Second
	coldPerSecond                                  = 6.0
	coldOvershoot                                  = 1.5
	coldSlack                                      = 5.0
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
	// serverZones holds the zone of each server, and coldRate the cold_per_s of the service.
	serverZones []string
	coldRate    float64
	// traffic is when the traffic begins.
	traffic time.Time

	mu     sync.Mutex
	log    *os.File
	began  time.Time
	sent   map[flowKey][]time.Time
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

// noteSent notes when a client sent a copy of an opening packet.
func (d *deployment) noteSent(key flowKey, _ uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent[key] = append(d.sent[key], time.Now())
}

func (d *deployment) sentAt(key flowKey, copies uint32) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	times := d.sent[key]
	if int(copies) >= len(times) {
		return time.Time{}, false
	}
	return times[copies], true
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
		"bounds":   map[string]any{"max_flow_s": 60, "cold_overshoot": coldOvershoot, "cold_slack": coldSlack},
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
func (d *deployment) build(rnd *rand.Rand) error {
	var err error
	if d.store, err = startStore(netip.AddrPortFrom(d.addr(5, 1), storePort).String(), rnd, d.record); err != nil {
		return err
	}
	d.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": d.service.Addr().String(), "prefix": fmt.Sprintf("/%d/", d.service.Port()), "type": "idempotent",
			"timeout_ms": timeBudget.Milliseconds(), "target_latency_ms": 250, "priority": 1, "service": serviceName, "max_attempts": 2,
		}},
		"services": []any{map[string]any{"name": serviceName, "cold_start_s": coldStart.Seconds(), "cold_per_s": d.coldRate}},
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

// load sends requests at a steady rate until stop is closed. A client repeats a failed one twice.
func (d *deployment) load(perSecond int, stop <-chan struct{}, group *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c := d.clients[n%len(d.clients)]
		group.Go(func() {
			for range 3 {
				result := c.request()
				d.count(result)
				if result == "answered" {
					return
				}
			}
		})
	}
}

// loseZone cuts the power of the clients' zone: its balancers, agents and servers end, and come back together.
func (d *deployment) loseZone(dark time.Duration, rnd *rand.Rand) error {
	d.record("zone %s loses power for %v", clientZone, dark)
	var group sync.WaitGroup
	var lost []*process
	for _, p := range append(slices.Clone(d.balancers), d.agents...) {
		if p.zone == clientZone {
			lost = append(lost, p)
			group.Go(p.kill)
		}
	}
	for _, s := range d.servers {
		if s.zone == clientZone {
			s.crash()
		}
	}
	group.Wait()
	time.Sleep(dark)
	d.record("zone %s has power again", clientZone)
	var failed error
	var mu sync.Mutex
	for _, p := range lost {
		delay := time.Duration(rnd.Int63n(int64(maxReturn)))
		group.Go(func() {
			time.Sleep(delay)
			var err error
			if p.server != nil {
				err = p.server.start()
			}
			if err == nil {
				err = p.start()
			}
			if err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failed
}

// maxReturn is the time within which all machines of a zone are back. The pages allow 1.5 s.
const maxReturn = 200 * time.Millisecond

// checkCold reports, for each run of a server that was cold, the most requests that it took in one second, of those sent
// and arrived within that second, and whether that breaks the rule.
func (d *deployment) checkCold() (broken bool) {
	limit := coldPerSecond*coldOvershoot + coldSlack
	for _, s := range d.servers {
		s.mu.Lock()
		births, taken := slices.Clone(s.birth), slices.Clone(s.taken)
		s.mu.Unlock()
		for _, born := range births {
			if born.Before(d.traffic) {
				continue
			}
			most, at := 0, born
			for _, first := range taken {
				from := first.sent
				to := from.Add(time.Second)
				if from.Before(born) || to.After(born.Add(coldStart)) {
					continue
				}
				n := 0
				for _, o := range taken {
					if !o.sent.Before(from) && !o.arrived.After(to) {
						n++
					}
				}
				if n > most {
					most, at = n, from
				}
			}
			verdict := "held"
			if float64(most) > limit {
				verdict, broken = "BROKEN", true
			}
			d.record("FAILBACK %s: server %s, cold since its start at %.3f s, took at most %d requests in one second (from %.3f s); limit %.0f",
				verdict, s.id, born.Sub(d.began).Seconds(), most, at.Sub(d.began).Seconds(), limit)
		}
	}
	return broken
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
	lateShare := flag.Float64("late", 0.35, "share of the writes of servers that are done late and not answered")
	dark := flag.Duration("dark", 600*time.Millisecond, "how long the zone is without power")
	feeds := flag.Bool("feeds", false, "play the case of long flows")
	perSecond := flag.Int("rate", 360, "requests a second")
	rounds := flag.Int("rounds", 6, "how often the disruption comes")
	flag.Parse()
	if *feeds {
		os.Exit(playFeeds(*recordPath, *programs, *logs, *seed, *trouble))
	}
	os.Exit(playCold(*recordPath, *programs, *logs, *seed, *trouble, *lateShare, *dark, *perSecond, *rounds))
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
		sent: map[flowKey][]time.Time{}, counts: map[string]int{}, traffic: time.Now().Add(time.Hour),
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

// playCold plays the case of cold servers and returns the exit status: 0 if the rule held, 1 if it was broken, 2 if it
// could not run.
func playCold(recordPath, programs, logs string, seed int64, trouble bool, lateShare float64, dark time.Duration, perSecond, rounds int) int {
	d, end, err := newDeployment(recordPath, programs, logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer end()
	rnd := rand.New(rand.NewSource(seed))
	d.coldRate = coldPerSecond
	for i := range 2 * serversPerZone {
		d.serverZones = append(d.serverZones, []string{"north", "south"}[i%2])
	}
	d.record("seed %d, disruption: %v", seed, trouble)
	if err := d.build(rand.New(rand.NewSource(seed + 1))); err != nil {
		d.record("could not run: %v", err)
		return 2
	}
	d.traffic = time.Now()
	d.record("traffic begins: %d requests a second from zone %s", perSecond, clientZone)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { d.load(perSecond, stop, &group) })
	for range rounds {
		time.Sleep(8*time.Second + time.Duration(rnd.Int63n(int64(heartbeat))))
		if !trouble {
			continue
		}
		d.store.setLate(lateShare)
		d.record("the store does %.0f%% of the servers' writes late", 100*lateShare)
		if err := d.loseZone(dark, rnd); err != nil {
			d.record("could not run: %v", err)
			return 2
		}
		time.Sleep(3600 * time.Millisecond)
		d.store.setLate(0)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	d.mu.Lock()
	counts := fmt.Sprint(d.counts)
	d.mu.Unlock()
	d.record("attempts: %s", counts)
	for _, s := range d.servers {
		s.mu.Lock()
		d.record("server %s in zone %s took %d flows", s.id, s.zone, len(s.taken))
		s.mu.Unlock()
	}
	if d.counts["answered"] == 0 {
		d.record("could not run: nothing was served")
		return 2
	}
	if d.checkCold() {
		return 1
	}
	return 0
}
