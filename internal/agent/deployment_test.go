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

// fixedView is a balancer.View whose settings do not change.
type fixedView struct{ tree *settings.Tree }

func (v fixedView) Current() *settings.Tree { return v.tree }

func (fixedView) Observe(uint64, string) {}

// process is a balancer, an agent or the fabric, running in goroutines of the test.
type process struct {
	cancel context.CancelFunc
	done   chan error
}

func startProcess(t *testing.T, f func(context.Context) error) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- f(ctx) }()
	t.Cleanup(func() { cancel() })
	return p
}

// stop stops the process as an operator would, and waits until it has ended.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.cancel()
	if err := <-p.done; err != nil {
		t.Errorf("process ended with an error: %v", err)
	}
}

// deployment runs one service with its fabric, balancers, agents and upstreams over real sockets in
// the process of the test.
type deployment struct {
	address           netip.AddrPort
	fabric            *fabric.Fabric
	balancerAddresses []netip.AddrPort
	balancers         []*process
	agents            []*process
	upstreams         []*upstream.Upstream
	env               map[string]string
}

// freeAddress returns a loopback address whose port is free for both UDP and TCP. Nothing reserves the
// port, so another process could still take it.
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

func (d *deployment) getenv(name string) string { return d.env[name] }

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{address: freeAddress(t), env: generateSecrets(t)}
	keys, err := secrets.Load(d.getenv)
	if err != nil {
		t.Fatal(err)
	}
	store := platform.New(platform.Config{CallsPerSecond: 2000})
	platformServer := httptest.NewServer((&platform.Service{Store: store}).Handler())
	t.Cleanup(platformServer.Close)
	tree := d.publish(t, store)
	d.startBalancers(t, keys, tree)
	d.startFabric(t)
	for i := range agentCount {
		d.startAgent(t, keys, tree, platformServer.URL, i)
	}
	return d
}

func (d *deployment) publish(t *testing.T, store *platform.Store) *settings.Tree {
	t.Helper()
	var upstreams strings.Builder
	for i := range agentCount {
		u := upstream.New(upstream.Config{Service: serviceName, Number: uint32(i + 1), Slots: slots, ServiceTime: 5 * time.Millisecond, ColdFactor: 1, Health: upstream.HealthAccurate})
		server := httptest.NewServer(u.Handler())
		t.Cleanup(server.Close)
		d.upstreams = append(d.upstreams, u)
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
%s`, slots, serviceName, serviceNumber, d.address, serviceName, upstreams.String())
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

func (d *deployment) startBalancers(t *testing.T, keys *secrets.Keys, tree *settings.Tree) {
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
		d.balancerAddresses = append(d.balancerAddresses, address)
		d.balancers = append(d.balancers, startProcess(t, b.Run))
	}
}

func (d *deployment) startFabric(t *testing.T) {
	t.Helper()
	d.fabric = fabric.New(1, nil)
	d.setRoutes(d.balancerAddresses)
	startProcess(t, func(ctx context.Context) error {
		return d.fabric.Run(ctx, []fabric.Service{{Name: serviceName, Address: d.address}})
	})
}

func (d *deployment) setRoutes(balancers []netip.AddrPort) {
	d.fabric.SetRoutes(fabric.Routes{serviceName: balancers})
}

func (d *deployment) startAgent(t *testing.T, keys *secrets.Keys, tree *settings.Tree, platformURL string, i int) {
	t.Helper()
	u := tree.Service(serviceNumber).Upstreams[i]
	config := agent.Config{
		VM:         "server-" + u.Name,
		Place:      u.Place,
		Platform:   platformURL,
		Service:    serviceName,
		Upstream:   u.Name,
		PeerListen: u.PeerAddress,
		Keys:       keys,
	}
	d.agents = append(d.agents, startProcess(t, func(ctx context.Context) error { return agent.Run(ctx, config) }))
}

func (d *deployment) client(t *testing.T) *client.Client {
	t.Helper()
	trust, err := secrets.LoadCallerTLS(d.getenv)
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.New(client.Config{Address: d.address.String(), TLS: trust})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// starts returns how often each request that is not idempotent was started, summed over all upstreams.
func (d *deployment) starts() map[string]int {
	counts := map[string]int{}
	for _, u := range d.upstreams {
		for _, r := range u.Report().Runs {
			if !r.Idempotent {
				counts[r.RequestID]++
			}
		}
	}
	return counts
}

// sendOrders sends requests that are not idempotent until stop is closed and verifies their answers.
// It adds the answers to progress as they arrive and returns their number.
func sendOrders(ctx context.Context, t *testing.T, c *client.Client, worker int, progress *atomic.Int64, stop <-chan struct{}) int {
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
		progress.Add(1)
	}
}

// awaitCount waits until counter has grown by n.
func awaitCount(ctx context.Context, t *testing.T, counter *atomic.Int64, n int64) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	goal := counter.Load() + n
	for counter.Load() < goal {
		select {
		case <-ctx.Done():
			t.Fatal("requests made no progress before the timeout")
		case <-ticker.C:
		}
	}
}

// Stopping a balancer and then the agent that owns a feed, while requests are running, must interrupt
// no request, lose no event of the feed and run no request twice.
func TestPlannedStopsInterruptNothing(t *testing.T) {
	d := startDeployment(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	owner := make(chan uint32, 1)
	feedEnd := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { readFeed(ctx, t, d.client(t), owner, feedEnd) })

	stop := make(chan struct{})
	var progress atomic.Int64
	var answered atomic.Int64
	for worker := range 4 {
		c := d.client(t)
		work.Go(func() { answered.Add(int64(sendOrders(ctx, t, c, worker, &progress, stop))) })
	}
	awaitCount(ctx, t, &progress, 20)
	d.setRoutes(d.balancerAddresses[1:])
	d.balancers[0].stop(t)
	awaitCount(ctx, t, &progress, 20)
	d.agents[<-owner-1].stop(t)
	awaitCount(ctx, t, &progress, 50)
	close(stop)
	close(feedEnd)
	work.Wait()

	starts := d.starts()
	if int64(len(starts)) != answered.Load() {
		t.Errorf("%d requests ran but %d were answered", len(starts), answered.Load())
	}
	for id, n := range starts {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// readFeed reads a feed until end is closed. It sends the number of the feed's first upstream to owner
// and verifies that no event is missing and that the feed has moved without a reconnect.
func readFeed(ctx context.Context, t *testing.T, c *client.Client, owner chan<- uint32, end <-chan struct{}) {
	feed, err := c.Subscribe(ctx, "route 7")
	if err != nil {
		t.Errorf("subscribe: %v", err)
		return
	}
	defer feed.Close()
	last := uint64(0)
	reconnects := uint64(0)
	for {
		event, err := feed.Next(ctx)
		if err != nil {
			t.Errorf("feed: %v", err)
			return
		}
		if last == 0 {
			owner <- event.GetUpstream()
			reconnects = feed.Reconnects()
		}
		if last != 0 && event.GetSequence() != last+1 {
			t.Errorf("event %d follows event %d", event.GetSequence(), last)
		}
		last = event.GetSequence()
		select {
		case <-end:
			if feed.Moves() == 0 || feed.Reconnects() != reconnects {
				t.Errorf("feed moved %d times, want at least 1, and reconnected %d times, want 0", feed.Moves(), feed.Reconnects()-reconnects)
			}
			return
		default:
		}
	}
}

// Calls to the address of a service must be answered by an upstream of that service, whichever
// balancer forwards each packet.
func TestCallsReachTheService(t *testing.T) {
	d := startDeployment(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := d.client(t)
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
			t.Fatalf("call was answered by unknown upstream %d", answer.GetUpstream())
		}
	}
}
