package balancer

import (
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleyrack/bramleyrack/internal/datagram"
	"github.com/bramleyrack/bramleyrack/internal/routing"
	"github.com/bramleyrack/bramleyrack/internal/udp"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	relayPacketBytes = 1200
	relayBatch       = 32
	relaySenders     = 2
)

// relayBench floods a socket and counts what a relay reads from it and forwards to a sink.
type relayBench struct {
	in, out, sink *udp.Socket
}

func newRelayBench(b *testing.B) *relayBench {
	open := func() *udp.Socket {
		s, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"), defaultReadBuffer)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { s.Close() })
		return s
	}
	return &relayBench{in: open(), out: open(), sink: open()}
}

// flood sends packets to the relay until the benchmark has forwarded enough.
func (r *relayBench) flood(packet []byte, done *atomic.Bool) *sync.WaitGroup {
	var senders sync.WaitGroup
	to := net.UDPAddrFromAddrPort(r.in.LocalAddr())
	for range relaySenders {
		senders.Go(func() {
			s, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0)
			if err != nil {
				return
			}
			defer s.Close()
			w := udp.NewWriter(relayBatch, datagram.MaxDatagram)
			for !done.Load() {
				for !w.Full() {
					w.Add(packet, to)
				}
				w.Flush(s)
			}
		})
	}
	return &senders
}

func (r *relayBench) run(b *testing.B, packet []byte, step func() int) {
	var done atomic.Bool
	senders := r.flood(packet, &done)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	step()
	b.ResetTimer()
	start := threadTime(b)
	forwarded := 0
	for forwarded < b.N {
		forwarded += step()
	}
	spent := threadTime(b) - start
	b.StopTimer()
	b.ReportMetric(float64(spent.Nanoseconds())/float64(forwarded), "cpu-ns/packet")
	b.ReportMetric(float64(forwarded)/spent.Seconds(), "packets/cpu-s")
	done.Store(true)
	senders.Wait()
}

// threadTime is the processor time of this thread, which other load on the machine does not distort.
func threadTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkBareRelay forwards packets as they come, by the same system calls as a balancer.
func BenchmarkBareRelay(b *testing.B) {
	r := newRelayBench(b)
	messages := udp.NewMessages(relayBatch, datagram.MaxDatagram)
	w := udp.NewWriter(relayBatch, datagram.MaxDatagram)
	to := net.UDPAddrFromAddrPort(r.sink.LocalAddr())
	r.run(b, make([]byte, relayPacketBytes), func() int {
		n, err := r.in.ReadBatch(messages)
		if err != nil {
			b.Fatal(err)
		}
		for i := range messages[:n] {
			w.Add(messages[i].Buffers[0][:messages[i].N], to)
		}
		w.Flush(r.out)
		return n
	})
}

// BenchmarkForward forwards packets of a known flow, and of new flows.
func BenchmarkForward(b *testing.B) {
	codec, err := placement.NewCodec([]byte("0123456789abcdef"), nil)
	if err != nil {
		b.Fatal(err)
	}
	id := codec.Encode(placement.Owner{Service: 1, Server: 1}, 1)
	known := append([]byte{0x40}, id[:]...)
	known = append(known, make([]byte, relayPacketBytes-len(known))...)
	first := append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, relayPacketBytes-6)...)
	for name, packet := range map[string][]byte{"known": known, "new": first} {
		b.Run(name, func(b *testing.B) {
			r := newRelayBench(b)
			f := newBenchForwarder(r, codec)
			messages := udp.NewMessages(relayBatch, datagram.MaxDatagram)
			r.run(b, packet, func() int {
				n, err := r.in.ReadBatch(messages)
				if err != nil {
					b.Fatal(err)
				}
				f.forward(messages[:n])
				return n
			})
		})
	}
}

// newBenchForwarder returns a forwarder of a service whose ten upstreams are all the sink.
func newBenchForwarder(r *relayBench, codec *placement.Codec) *forwarder {
	service := settings.Service{Number: 1}
	for number := uint32(1); number <= 10; number++ {
		upstream := settings.Upstream{Number: number, AgentAddress: r.sink.LocalAddr(), Policy: settings.DefaultPolicy()}
		service.Upstreams = append(service.Upstreams, upstream)
	}
	builder := routing.Builder{Health: func(uint32) placement.Health { return placement.HealthLive }, Refused: func(uint32) bool { return false }}
	tree := &settings.Tree{Revision: 1, Services: []settings.Service{service}}
	balancer := &Balancer{
		config: withDefaults(Config{Codec: codec, BatchSize: relayBatch}),
		agents: r.out,
		counts: &counters{},
	}
	balancer.table.Store(builder.Build(0, tree, routing.Empty()))
	f := newForwarder(balancer, 1, r.in)
	f.header.Balancer = datagram.EncodeAddr(r.out.LocalAddr())
	return f
}
