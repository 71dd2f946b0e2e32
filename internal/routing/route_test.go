package routing_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

var caller = netip.MustParseAddrPort("127.0.0.1:5000")

func alwaysLive(uint32) placement.Health { return placement.HealthLive }

func neverRefused(uint32) bool { return false }

// settingsTree returns a settings tree with the given number of services and of upstreams for each.
// Upstream numbers are unique across services.
func settingsTree(services, upstreams int) *settings.Tree {
	t := &settings.Tree{Revision: 1}
	for s := range services {
		service := settings.Service{Number: uint32(s + 1)}
		for u := range upstreams {
			number := uint32(s*upstreams + u + 1)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 1)
			service.Upstreams = append(service.Upstreams, settings.Upstream{Number: number, AgentAddress: address, Policy: settings.DefaultPolicy()})
		}
		t.Services = append(t.Services, service)
	}
	return t
}

func newCodec() *placement.Codec {
	codec, err := placement.NewCodec([]byte("0123456789abcdef"), []byte("fedcba9876543210"))
	if err != nil {
		panic(err)
	}
	return codec
}

func build(t *settings.Tree) *routing.Table {
	b := routing.Builder{Health: alwaysLive, Refused: neverRefused}
	return b.Build(0, t, routing.Empty())
}

// ownedPacket returns a packet of a flow that the server owns.
func ownedPacket(codec *placement.Codec, service, server uint32) []byte {
	id := codec.Encode(placement.Owner{Service: service, Server: server}, 1)
	return append([]byte{0x40}, id[:]...)
}

func newFlowPacket() []byte {
	return []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0}
}

func TestRouteDoesNotAllocate(t *testing.T) {
	codec := newCodec()
	router := routing.NewRouter(codec)
	service := build(settingsTree(1, 10)).Service(1)
	for name, packet := range map[string][]byte{"known": ownedPacket(codec, 1, 3), "new": newFlowPacket()} {
		router.Route(service, packet, caller)
		if n := testing.AllocsPerRun(1000, func() { router.Route(service, packet, caller) }); n != 0 {
			t.Errorf("%s: %v allocations, want 0", name, n)
		}
	}
}

func TestSilentAgentGetsNoNewFlows(t *testing.T) {
	codec := newCodec()
	router := routing.NewRouter(codec)
	health := map[uint32]placement.Health{}
	b := routing.Builder{Health: func(server uint32) placement.Health { return health[server] }, Refused: neverRefused}
	first := router.Route(build(settingsTree(1, 3)).Service(1), newFlowPacket(), caller).Agent.Server

	health[first] = placement.HealthSilent
	silent := b.Build(0, settingsTree(1, 3), routing.Empty()).Service(1)
	if got := router.Route(silent, newFlowPacket(), caller).Agent.Server; got == first {
		t.Fatal("a silent agent got a new flow")
	}
	if got := router.Route(silent, ownedPacket(codec, 1, first), caller); got.Kind != routing.KindOwner || got.Agent.Server != first {
		t.Fatalf("route of a flow of a silent agent: got %v, want its owner", got)
	}

	health[first] = placement.HealthGone
	gone := b.Build(0, settingsTree(1, 3), routing.Empty()).Service(1)
	if got := router.Route(gone, ownedPacket(codec, 1, first), caller); got.Kind != routing.KindOrphan || got.Agent.Server == first {
		t.Fatalf("route of a flow of a gone agent: got %v, want an orphan route to another agent", got)
	}
}

func FuzzRoute(f *testing.F) {
	codec := newCodec()
	f.Add(ownedPacket(codec, 1, 3))
	f.Add(ownedPacket(codec, 2, 3))
	f.Add(newFlowPacket())
	f.Add([]byte{})
	service := build(settingsTree(2, 5)).Service(1)
	f.Fuzz(func(t *testing.T, packet []byte) {
		route := routing.NewRouter(codec).Route(service, packet, caller)
		if route.Agent != nil && route.Agent.Service != 1 {
			t.Fatalf("routed to service %d, want 1", route.Agent.Service)
		}
	})
}

func BenchmarkRouteKnown(b *testing.B) {
	for _, services := range []int{1, 100, 6000} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			codec := newCodec()
			router := routing.NewRouter(codec)
			table := build(settingsTree(services, 10))
			packet := ownedPacket(codec, 1, 3)
			b.ReportAllocs()
			for b.Loop() {
				if router.Route(table.Service(1), packet, caller).Kind != routing.KindOwner {
					b.Fatal("not routed to the owner")
				}
			}
		})
	}
}

func BenchmarkRouteNew(b *testing.B) {
	for _, upstreams := range []int{3, 10, 30, 60} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			router := routing.NewRouter(newCodec())
			service := build(settingsTree(1, upstreams)).Service(1)
			packet := newFlowPacket()
			b.ReportAllocs()
			for b.Loop() {
				packet[6]++
				if router.Route(service, packet, caller).Kind != routing.KindNew {
					b.Fatal("not routed as new")
				}
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, services := range []int{10, 600, 6000} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			tree := settingsTree(services, 10)
			builder := routing.Builder{Health: alwaysLive, Refused: neverRefused}
			previous := builder.Build(0, tree, routing.Empty())
			b.ReportAllocs()
			for b.Loop() {
				previous = builder.Build(0, tree, previous)
			}
		})
	}
}
