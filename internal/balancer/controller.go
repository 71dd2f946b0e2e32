package balancer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/datagram"
	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

// reconcileInterval is the time between two checks of the settings and of the agents' liveness. The
// default liveness configuration assumes one step every 100 ms.
const reconcileInterval = 100 * time.Millisecond

// listenInterval is the time between two attempts to open the sockets that could not be opened.
const listenInterval = time.Second

// controller owns the routing table, the caller-facing sockets and the liveness of agents. It is not
// safe for concurrent use.
type controller struct {
	balancer       *Balancer
	start          func(*forwarder)
	liveness       *placement.Liveness
	builder        routing.Builder
	tree           *settings.Tree
	progress       []placement.Progress
	previousHealth []placement.Health
	writer         *udp.Writer
	lastProbe      uint64
	// cutOff is set while the balancer is cut off, according to its last cut_off event.
	cutOff bool
	// lastListen is when the sockets were last reconciled with the services. Zero makes it due.
	lastListen time.Duration
	// refusals holds the agents whose address refused a connection.
	refusals chan uint32
	dials    sync.WaitGroup
	// lastDial is when silent agents were last dialed.
	lastDial time.Duration
	// boundAddresses holds the configured address of each open socket by service number. It may
	// differ from the local address, which never has port zero.
	boundAddresses map[uint32]netip.AddrPort
}

func newController(b *Balancer, start func(*forwarder)) *controller {
	liveness := placement.NewLiveness(b.config.Liveness, b.now())
	return &controller{
		balancer:       b,
		start:          start,
		liveness:       liveness,
		builder:        routing.Builder{Health: liveness.Health, Refused: liveness.Refused, Retention: b.config.Retention},
		writer:         udp.NewWriter(b.config.BatchSize, datagram.MaxDatagram),
		refusals:       make(chan uint32, refusalQueueLength),
		boundAddresses: map[uint32]netip.AddrPort{},
	}
}

// run maintains the table until ctx ends, then closes every socket.
func (c *controller) run(ctx context.Context) error {
	defer c.close()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		c.reconcile(c.balancer.now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *controller) reconcile(now time.Duration) {
	c.checkLiveness(now)
	c.recordRefusals()
	c.dialSilent(now)
	tree := c.balancer.config.View.Current()
	if tree == nil {
		return
	}
	agents := c.balancer.table.Load().Agents()
	changed := c.changedHealth(agents)
	if tree != c.tree || len(changed) > 0 {
		c.rebuild(now, tree)
	}
	c.reportHealth(changed)
	if tree != c.tree {
		c.tree = tree
		c.lastListen = 0
		c.balancer.config.Event("settings_in_force", "revision", tree.Revision)
	}
	if c.lastListen == 0 || now-c.lastListen >= listenInterval {
		c.lastListen = now
		c.reconcileSockets(tree)
	}
}

func (c *controller) rebuild(now time.Duration, tree *settings.Tree) {
	previous := c.balancer.table.Load()
	c.balancer.table.Store(c.builder.Build(now, tree, previous))
}

// checkLiveness updates the liveness of all agents and pings those that are due.
func (c *controller) checkLiveness(now time.Duration) {
	agents := c.balancer.table.Load().Agents()
	c.progress = c.progress[:0]
	c.previousHealth = c.previousHealth[:0]
	for _, a := range agents {
		c.progress = append(c.progress, placement.Progress{
			Server:         a.Server,
			Place:          a.Place,
			Forwarded:      a.Progress.Forwarded.Load(),
			Returned:       a.Progress.Returned.Load(),
			ReportedSilent: time.Duration(a.Progress.ReportedSilent.Load()),
		})
		c.previousHealth = append(c.previousHealth, c.liveness.Health(a.Server))
	}
	c.ping(c.liveness.Step(now, c.progress))
	c.reportCutOff()
}

func (c *controller) reportCutOff() {
	if cutOff := c.liveness.CutOff(); cutOff != c.cutOff {
		c.cutOff = cutOff
		c.balancer.config.Event("cut_off", "cut_off", cutOff)
	}
}

// changedHealth returns the agents whose health has changed since checkLiveness saved it.
func (c *controller) changedHealth(agents []*routing.Agent) []uint32 {
	var changed []uint32
	for i, a := range agents {
		if c.liveness.Health(a.Server) != c.previousHealth[i] {
			changed = append(changed, a.Server)
		}
	}
	return changed
}

// reportHealth logs changes of health. It is called after the table reflects them.
func (c *controller) reportHealth(servers []uint32) {
	for _, server := range servers {
		health := c.liveness.Health(server)
		c.balancer.config.Event("agent_health", "server", server, "health", health.String(), "refused", c.liveness.Refused(server))
	}
}

// ping sends a probe to each of the agents. Probes count as forwarded, since they demand an answer.
func (c *controller) ping(servers []uint32) {
	t := c.balancer.table.Load()
	for _, a := range t.Agents() {
		if !slices.Contains(servers, a.Server) {
			continue
		}
		c.lastProbe++
		header := bramleyv1.DatagramHeader{
			Kind:     bramleyv1.DatagramKind_DATAGRAM_KIND_PING,
			Service:  a.Service,
			Server:   a.Server,
			Revision: t.Revision,
			Balancer: datagram.EncodeAddr(c.balancer.AgentAddress()),
			Probe:    c.lastProbe,
		}
		if c.writer.Full() {
			c.writer.Flush(c.balancer.agents)
		}
		c.writer.Add(datagram.Append(c.writer.Next(), &header, nil), a.UDP)
		a.Progress.Forwarded.Add(1)
		c.balancer.counts.probes.Add(1)
	}
	c.writer.Flush(c.balancer.agents)
	c.balancer.counts.addWriteFailures(c.writer)
}

// reconcileSockets opens a caller-facing socket for each service in the settings and closes those
// whose service was removed or has another address now.
func (c *controller) reconcileSockets(tree *settings.Tree) {
	before := *c.balancer.listeners.Load()
	after := map[uint32]*udp.Socket{}
	for i := range tree.Services {
		service := &tree.Services[i]
		address := c.bindAddress(service)
		if s := before[service.Number]; s != nil && c.boundAddresses[service.Number] == address {
			after[service.Number] = s
			continue
		}
		if s := c.openSocket(service, address); s != nil {
			after[service.Number] = s
		}
	}
	c.balancer.listeners.Store(&after)
	for number, s := range before {
		if after[number] != s {
			s.Close()
		}
	}
}

func (c *controller) bindAddress(service *settings.Service) netip.AddrPort {
	if address, ok := c.balancer.config.Bind[service.Name]; ok {
		return address
	}
	return service.Address
}

func (c *controller) openSocket(service *settings.Service, address netip.AddrPort) *udp.Socket {
	s, err := udp.Listen(address, c.balancer.config.ReadBuffer)
	if err != nil {
		c.balancer.config.Event("listen_failed", "service", service.Name, "address", address, "error", err)
		return nil
	}
	c.boundAddresses[service.Number] = address
	c.start(newForwarder(c.balancer, service.Number, s))
	c.balancer.config.Event("service_received", "service", service.Name, "address", s.LocalAddr())
	return s
}

func (c *controller) close() {
	c.dials.Wait()
	c.balancer.agents.Close()
	for _, s := range *c.balancer.listeners.Load() {
		s.Close()
	}
}

// ignoreClosed discards the error of a socket that was closed on purpose.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
