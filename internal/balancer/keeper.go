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

// keepInterval is the time between two looks at the settings and at the progress of agents.
const keepInterval = 100 * time.Millisecond

// listenInterval is the time between two tries to open a socket that could not be opened.
const listenInterval = time.Second

// keeper owns the table, the sockets towards callers and the liveness of agents.
type keeper struct {
	balancer *Balancer
	start    func(*forwarder)
	liveness *placement.Liveness
	builder  routing.Builder
	tree     *settings.Tree
	progress []placement.Progress
	healths  []placement.Health
	writer   *udp.Writer
	probe    uint64
	cutOff   bool
	// listened is the last time at which the sockets were matched with the services.
	listened time.Duration
	// refusals holds the agents whose address refused a connection.
	refusals chan uint32
	dials    sync.WaitGroup
	// dialed is the last time at which silent agents were dialed.
	dialed time.Duration
	// bound holds the address that each socket was opened for.
	bound map[uint32]netip.AddrPort
}

func newKeeper(b *Balancer, start func(*forwarder)) *keeper {
	liveness := placement.NewLiveness(b.config.Liveness, b.now())
	return &keeper{
		balancer: b,
		start:    start,
		liveness: liveness,
		builder:  routing.Builder{Health: liveness.Health, Refused: liveness.Refused, Retention: b.config.Retention},
		writer:   udp.NewWriter(b.config.BatchSize, datagram.MaxDatagram),
		refusals: make(chan uint32, refusalCapacity),
		bound:    map[uint32]netip.AddrPort{},
	}
}

// run keeps the table until the context ends, then closes every socket.
func (k *keeper) run(ctx context.Context) error {
	defer k.close()
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		k.keep(k.balancer.now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (k *keeper) keep(now time.Duration) {
	k.checkLiveness(now)
	k.takeRefusals()
	k.dialSilent(now)
	tree := k.balancer.config.View.Current()
	if tree == nil {
		return
	}
	agents := k.balancer.table.Load().Agents()
	changed := k.changed(agents)
	if tree != k.tree || len(changed) > 0 {
		k.rebuild(now, tree)
	}
	k.report(changed)
	if tree != k.tree {
		k.tree = tree
		k.listened = 0
		k.balancer.config.Event("settings_in_force", "revision", tree.Revision)
	}
	if k.listened == 0 || now-k.listened >= listenInterval {
		k.listened = now
		k.listen(tree)
	}
}

func (k *keeper) rebuild(now time.Duration, tree *settings.Tree) {
	previous := k.balancer.table.Load()
	k.balancer.table.Store(k.builder.Build(now, tree, previous))
}

// checkLiveness steps the liveness of all agents.
func (k *keeper) checkLiveness(now time.Duration) {
	agents := k.balancer.table.Load().Agents()
	k.progress = k.progress[:0]
	k.healths = k.healths[:0]
	for _, a := range agents {
		k.progress = append(k.progress, placement.Progress{
			Server:         a.Server,
			Place:          a.Place,
			Forwarded:      a.Progress.Forwarded.Load(),
			Returned:       a.Progress.Returned.Load(),
			ReportedSilent: time.Duration(a.Progress.ReportedSilent.Load()),
		})
		k.healths = append(k.healths, k.liveness.Health(a.Server))
	}
	k.ping(k.liveness.Step(now, k.progress))
	k.reportCutOff()
}

func (k *keeper) reportCutOff() {
	if cutOff := k.liveness.CutOff(); cutOff != k.cutOff {
		k.cutOff = cutOff
		k.balancer.config.Event("cut_off", "cut_off", cutOff)
	}
}

// changed returns the agents whose health is not what it was before this look.
func (k *keeper) changed(agents []*routing.Agent) []uint32 {
	var changed []uint32
	for i, a := range agents {
		if k.liveness.Health(a.Server) != k.healths[i] {
			changed = append(changed, a.Server)
		}
	}
	return changed
}

// report logs changes of health once they are in force.
func (k *keeper) report(servers []uint32) {
	for _, server := range servers {
		health := k.liveness.Health(server)
		k.balancer.config.Event("agent_health", "server", server, "health", health.String(), "refused", k.liveness.Refused(server))
	}
}

// ping asks agents for a sign of life.
func (k *keeper) ping(servers []uint32) {
	t := k.balancer.table.Load()
	for _, a := range t.Agents() {
		if !slices.Contains(servers, a.Server) {
			continue
		}
		k.probe++
		header := bramleyv1.DatagramHeader{
			Kind:     bramleyv1.DatagramKind_DATAGRAM_KIND_PING,
			Service:  a.Service,
			Server:   a.Server,
			Revision: t.Revision,
			Balancer: datagram.EncodeAddr(k.balancer.AgentAddress()),
			Probe:    k.probe,
		}
		if k.writer.Full() {
			k.writer.Flush(k.balancer.agents)
		}
		k.writer.Add(datagram.Append(k.writer.Next(), &header, nil), a.UDP)
		a.Progress.Forwarded.Add(1)
		k.balancer.counts.probes.Add(1)
	}
	k.writer.Flush(k.balancer.agents)
	k.balancer.counts.takeFailed(k.writer)
}

// listen opens a socket for each service in force and closes those of other ones.
func (k *keeper) listen(tree *settings.Tree) {
	before := *k.balancer.listeners.Load()
	after := map[uint32]*udp.Socket{}
	for i := range tree.Services {
		service := &tree.Services[i]
		address := k.address(service)
		if s := before[service.Number]; s != nil && k.bound[service.Number] == address {
			after[service.Number] = s
			continue
		}
		if s := k.open(service, address); s != nil {
			after[service.Number] = s
		}
	}
	k.balancer.listeners.Store(&after)
	for number, s := range before {
		if after[number] != s {
			s.Close()
		}
	}
}

func (k *keeper) address(service *settings.Service) netip.AddrPort {
	if address, ok := k.balancer.config.Bind[service.Name]; ok {
		return address
	}
	return service.Address
}

func (k *keeper) open(service *settings.Service, address netip.AddrPort) *udp.Socket {
	s, err := udp.Listen(address, k.balancer.config.ReadBuffer)
	if err != nil {
		k.balancer.config.Event("listen_failed", "service", service.Name, "address", address, "error", err)
		return nil
	}
	k.bound[service.Number] = address
	k.start(newForwarder(k.balancer, service.Number, s))
	k.balancer.config.Event("service_received", "service", service.Name, "address", s.LocalAddr())
	return s
}

func (k *keeper) close() {
	k.dials.Wait()
	k.balancer.agents.Close()
	for _, s := range *k.balancer.listeners.Load() {
		s.Close()
	}
}

// ignoreClosed hides the error of a socket that was closed on purpose.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
