package agent_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"

	"github.com/bramleyrack/bramleyrack/client"
	"github.com/bramleyrack/bramleyrack/internal/agent"
	"github.com/bramleyrack/bramleyrack/internal/balancer"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/internal/standin/content"
	"github.com/bramleyrack/bramleyrack/internal/standin/fabric"
	"github.com/bramleyrack/bramleyrack/internal/standin/platform"
	"github.com/bramleyrack/bramleyrack/internal/standin/upstream"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	serviceName   = "orders"
	serviceNumber = 1
	agentCount    = 3
	balancerCount = 3
	slots         = 5
)

// fixedView gives balancers a tree that does not change.
type fixedView struct{ tree *settings.Tree }

func (v fixedView) Current() *settings.Tree { return v.tree }

func (fixedView) Observe(uint64, string) {}

// process is a running part of the path.
type process struct {
	cancel context.CancelFunc
	done   chan error
}

func run(t *testing.T, f func(context.Context) error) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- f(ctx) }()
	t.Cleanup(func() { cancel() })
	return p
}

// stop is a planned stop; it returns when the process has ended.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.cancel()
	if err := <-p.done; err != nil {
		t.Errorf("planned stop: %v", err)
	}
}

// path is a whole deployment of one service in one process, over real sockets.
type path struct {
	address   netip.AddrPort
	fabric    *fabric.Fabric
	routes    []netip.AddrPort
	balancers []*process
	agents    []*process
	upstreams []*upstream.Upstream
	env       map[string]string
}

// freeAddress returns a loopback address whose port is free for both UDP and TCP.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for {
		packet, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		address := packet.LocalAddr().(*net.UDPAddr).AddrPort()
		stream, err := net.Listen("tcp", address.String())
		packet.Close()
		if err == nil {
			stream.Close()
			return address
		}
	}
}

func generateSecrets(t *testing.T) map[string]string {
	t.Helper()
	dir := t.TempDir()
	if err := secrets.Generate(dir); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, secrets.EnvFile))
	if err != nil {
		t.Fatal(err)
	}
	env := map[string]string{}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		env[name] = strings.Trim(value, "'")
	}
	return env
}

func (p *path) getenv(name string) string { return p.env[name] }

func startPath(t *testing.T) *path {
	t.Helper()
	p := &path{address: freeAddress(t), env: generateSecrets(t)}
	keys, err := secrets.Load(p.getenv)
	if err != nil {
		t.Fatal(err)
	}
	store := platform.New(platform.Config{CallsPerSecond: 2000})
	site := httptest.NewServer((&platform.Service{Store: store}).Handler())
	t.Cleanup(site.Close)
	tree := p.publish(t, store)
	p.startBalancers(t, keys, tree)
	p.startFabric(t)
	for i := range agentCount {
		p.startAgent(t, keys, tree, site.URL, i)
	}
	return p
}

func (p *path) publish(t *testing.T, store *platform.Store) *settings.Tree {
	t.Helper()
	var upstreams strings.Builder
	for i := range agentCount {
		u := upstream.New(upstream.Config{Service: serviceName, Number: uint32(i + 1), Slots: slots, Work: 5 * time.Millisecond, ColdFactor: 1, Health: upstream.HealthTrue})
		server := httptest.NewServer(u.Handler())
		t.Cleanup(server.Close)
		p.upstreams = append(p.upstreams, u)
		fmt.Fprintf(&upstreams, "          orders-%d: {number: %d, agent: %q, peer: %q, url: %q}\n", i+1, i+1, freeAddress(t), freeAddress(t), server.URL)
	}
	text := fmt.Sprintf(`firm: agencia
policy: {slots: %d}
services:
  %s: {number: %d, address: %q}
places:
  bog-norte:
    services:
      %s:
        upstreams:
%s`, slots, serviceName, serviceNumber, p.address, serviceName, upstreams.String())
	revision, err := store.Publish("tree", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	tree, err := settings.Parse([]byte(text), revision)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func (p *path) startBalancers(t *testing.T, keys *secrets.Keys, tree *settings.Tree) {
	t.Helper()
	codec, err := placement.NewCodec(keys.ConnectionID[0], keys.ConnectionID[1])
	if err != nil {
		t.Fatal(err)
	}
	for range balancerCount {
		address := freeAddress(t)
		b, err := balancer.New(balancer.Config{
			View:        fixedView{tree},
			Codec:       codec,
			AgentListen: freeAddress(t),
			Bind:        map[string]netip.AddrPort{serviceName: address},
		})
		if err != nil {
			t.Fatal(err)
		}
		p.routes = append(p.routes, address)
		p.balancers = append(p.balancers, run(t, b.Run))
	}
}

func (p *path) startFabric(t *testing.T) {
	t.Helper()
	p.fabric = fabric.New(1, nil)
	p.route(p.routes)
	run(t, func(ctx context.Context) error {
		return p.fabric.Run(ctx, []fabric.Service{{Name: serviceName, Address: p.address}})
	})
}

func (p *path) route(balancers []netip.AddrPort) {
	p.fabric.SetRoutes(fabric.Routes{serviceName: balancers})
}

func (p *path) startAgent(t *testing.T, keys *secrets.Keys, tree *settings.Tree, site string, i int) {
	t.Helper()
	u := tree.Service(serviceNumber).Upstreams[i]
	config := agent.Config{
		VM:         "server-" + u.Name,
		Place:      u.Place,
		Platform:   site,
		Service:    serviceName,
		Upstream:   u.Name,
		PeerListen: u.PeerAddress,
		Keys:       keys,
	}
	p.agents = append(p.agents, run(t, func(ctx context.Context) error { return agent.Run(ctx, config) }))
}

func (p *path) client(t *testing.T) *client.Client {
	t.Helper()
	trust, err := secrets.LoadCallerTLS(p.getenv)
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.New(client.Config{Address: p.address.String(), TLS: trust})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// starts counts the starts of each request over all upstreams.
func (p *path) starts() map[string]int {
	counts := map[string]int{}
	for _, u := range p.upstreams {
		for _, r := range u.Report().Runs {
			if !r.Idempotent {
				counts[r.RequestID]++
			}
		}
	}
	return counts
}

// orders runs requests that are not idempotent until stop is closed, and returns how many were answered.
func orders(ctx context.Context, t *testing.T, c *client.Client, worker int, done *atomic.Int64, stop <-chan struct{}) int {
	answered := 0
	for n := 0; ; n++ {
		select {
		case <-stop:
			return answered
		default:
		}
		body := content.Body{Service: serviceName, Item: fmt.Sprintf("%d of worker %d", n, worker)}.Encode()
		answer, err := c.Call(ctx, "order", false, body)
		if err != nil {
			t.Errorf("order %s: %v", body, err)
			return answered
		}
		if want := content.Answer("order", body); !bytes.Equal(answer.GetBody(), want) {
			t.Errorf("order %s got the answer %q, want %q", body, answer.GetBody(), want)
		}
		answered++
		done.Add(1)
	}
}

// awaitCount waits until the counter has grown by n.
func awaitCount(ctx context.Context, t *testing.T, counter *atomic.Int64, n int64) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	goal := counter.Load() + n
	for counter.Load() < goal {
		select {
		case <-ctx.Done():
			t.Fatal("the load made no progress")
		case <-ticker.C:
		}
	}
}

// Planned stops of a balancer and of the agent that owns the feed cut no request, lose no event of
// the feed, and run nothing twice.
func TestPlannedStopsBreakNothing(t *testing.T) {
	p := startPath(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	owner := make(chan uint32, 1)
	feedEnd := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { follow(ctx, t, p.client(t), owner, feedEnd) })

	stop := make(chan struct{})
	var done atomic.Int64
	var answered atomic.Int64
	for worker := range 4 {
		c := p.client(t)
		work.Go(func() { answered.Add(int64(orders(ctx, t, c, worker, &done, stop))) })
	}
	awaitCount(ctx, t, &done, 20)
	p.route(p.routes[1:])
	p.balancers[0].stop(t)
	awaitCount(ctx, t, &done, 20)
	p.agents[<-owner-1].stop(t)
	awaitCount(ctx, t, &done, 50)
	close(stop)
	close(feedEnd)
	work.Wait()

	starts := p.starts()
	if int64(len(starts)) != answered.Load() {
		t.Errorf("%d requests ran and %d were answered", len(starts), answered.Load())
	}
	for id, n := range starts {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// follow reads a feed until end is closed, names its first owner, and checks that no event is missing.
func follow(ctx context.Context, t *testing.T, c *client.Client, owner chan<- uint32, end <-chan struct{}) {
	feed, err := c.Subscribe(ctx, "route 7")
	if err != nil {
		t.Errorf("subscribe: %v", err)
		return
	}
	defer feed.Close()
	last := uint64(0)
	broken := uint64(0)
	for {
		event, err := feed.Next(ctx)
		if err != nil {
			t.Errorf("feed: %v", err)
			return
		}
		if last == 0 {
			owner <- event.GetUpstream()
			broken = feed.Reconnects()
		}
		if last != 0 && event.GetSequence() != last+1 {
			t.Errorf("event %d follows %d", event.GetSequence(), last)
		}
		last = event.GetSequence()
		select {
		case <-end:
			if feed.Moves() == 0 || feed.Reconnects() != broken {
				t.Errorf("the feed moved %d times and broke %d times", feed.Moves(), feed.Reconnects()-broken)
			}
			return
		default:
		}
	}
}

// A call that reaches a service at its address is answered by an upstream of that service, whichever
// balancer carries each packet.
func TestCallsReachTheService(t *testing.T) {
	p := startPath(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := p.client(t)
	var answers []*bramleyv1.CallResponse
	for range 10 {
		body := content.Body{Service: serviceName, Item: "plant 4"}.Encode()
		answer, err := c.Call(ctx, "sheet", true, body)
		if err != nil {
			t.Fatal(err)
		}
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		if answer.GetUpstream() < 1 || answer.GetUpstream() > agentCount {
			t.Fatalf("answered by upstream %d", answer.GetUpstream())
		}
	}
}
