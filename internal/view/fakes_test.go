package view

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
)

var (
	errOutage      = errors.New("platform is down")
	errUnreachable = errors.New("peer is unreachable")
)

// fakePlatform is an in-memory platform with one published value, a list of VMs, injectable faults
// and call counters.
type fakePlatform struct {
	mu              sync.Mutex
	revision        uint64
	value           []byte
	stale           *bramleyv1.GetResponse
	outage          bool
	vms             []*bramleyv1.VM
	changed         chan struct{}
	calls           int
	currentSecond   time.Time
	callsThisSecond int
	peakPerSecond   int
	waiting         int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{changed: make(chan struct{})}
}

func (p *fakePlatform) publish(value string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.value = []byte(value)
	p.wake()
	return p.revision
}

func (p *fakePlatform) setFault(outage bool, stale *bramleyv1.GetResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage, p.stale = outage, stale
	p.wake()
}

func (p *fakePlatform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// countCall counts a call. A pending watch counts in every second that it waits.
func (p *fakePlatform) countCall() {
	if second := time.Now().Truncate(time.Second); second != p.currentSecond {
		p.currentSecond, p.callsThisSecond = second, p.waiting
	}
	p.calls++
	p.callsThisSecond++
	p.peakPerSecond = max(p.peakPerSecond, p.callsThisSecond)
}

func (p *fakePlatform) answer() (*bramleyv1.GetResponse, error) {
	if p.outage {
		return nil, errOutage
	}
	if p.stale != nil {
		return p.stale, nil
	}
	return &bramleyv1.GetResponse{Revision: p.revision, Value: p.value}, nil
}

func (p *fakePlatform) Get(context.Context, string) (*bramleyv1.GetResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countCall()
	return p.answer()
}

func (p *fakePlatform) Watch(ctx context.Context, _ string, after uint64) (*bramleyv1.GetResponse, error) {
	p.mu.Lock()
	p.countCall()
	p.waiting++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.waiting--
	}()
	for {
		p.mu.Lock()
		response, err := p.answer()
		changed := p.changed
		p.mu.Unlock()
		if err != nil || response.GetRevision() > after {
			return response, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *fakePlatform) ListVMs(_ context.Context, place string) ([]*bramleyv1.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countCall()
	if p.outage {
		return nil, errOutage
	}
	var vms []*bramleyv1.VM
	for _, vm := range p.vms {
		if vm.GetPlace() == place {
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

// fleet is a set of views that call each other in memory.
type fleet struct {
	t           *testing.T
	platform    *fakePlatform
	mu          sync.Mutex
	views       map[string]*View
	cancels     map[string]context.CancelFunc
	partitioned func(from, to string) bool
	frozen      map[string]chan struct{}
	started     uint64
	seeds       []string
	// assumedSize is the number of processes that each view assumes to share the platform's budget.
	assumedSize int
	// calls counts the calls to the platform by process.
	calls   map[string]int
	reverts int
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t:           t,
		platform:    newFakePlatform(),
		views:       make(map[string]*View),
		cancels:     make(map[string]context.CancelFunc),
		frozen:      make(map[string]chan struct{}),
		assumedSize: 100,
		calls:       make(map[string]int),
		partitioned: func(string, string) bool { return false },
	}
}

// start starts a view at an address in a place and, if listed is set, adds its VM to the platform's
// list.
func (f *fleet) start(address, place string, listed bool) *View {
	f.started++
	if listed {
		f.platform.mu.Lock()
		f.platform.vms = append(f.platform.vms, &bramleyv1.VM{Name: address, Place: place, Address: address})
		f.platform.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	v, err := Start(ctx, Config{
		Identity:  &bramleyv1.Identity{Vm: address, Place: place, PeerAddress: address, Incarnation: f.started},
		Platform:  &processPlatform{fakePlatform: f.platform, fleet: f, self: address},
		Peers:     &processPeers{fleet: f, self: address},
		Seeds:     f.seeds,
		FleetSize: f.assumedSize,
		Meter:     &traffic.Meter{},
		Event:     f.eventLogger(address),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views[address] = v
	f.cancels[address] = cancel
	return v
}

// eventLogger returns the event logger of a process. It counts revisions applied below an earlier one of the
// same process. It also blocks the event loop of a frozen view.
func (f *fleet) eventLogger(address string) func(string, ...any) {
	var highest uint64
	return func(op string, kv ...any) {
		if op != "revision_in_force" {
			return
		}
		revision := kv[1].(uint64)
		if revision < highest {
			f.mu.Lock()
			f.reverts++
			f.mu.Unlock()
		}
		highest = revision
		f.waitWhileFrozen(f.t.Context(), address)
	}
}

func (f *fleet) kill(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[address]()
	delete(f.views, address)
}

func (f *fleet) freeze(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[address] = make(chan struct{})
}

func (f *fleet) unfreeze(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.frozen[address])
	delete(f.frozen, address)
}

// waitWhileFrozen blocks while the process at the address is frozen.
func (f *fleet) waitWhileFrozen(ctx context.Context, address string) error {
	f.mu.Lock()
	frozen := f.frozen[address]
	f.mu.Unlock()
	if frozen == nil {
		return ctx.Err()
	}
	select {
	case <-frozen:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// behind returns the addresses of the views whose current revision is not the given one.
func (f *fleet) behind(revision uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, v := range f.views {
		if v.Revision() != revision {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// waitForRevision advances the time until all views hold the revision, and returns how long that
// took.
func (f *fleet) waitForRevision(revision uint64, limit time.Duration) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for len(f.behind(revision)) > 0 {
		if time.Since(begin) > limit {
			f.t.Fatalf("revision %d not applied everywhere after %v: %d of %d views behind: %v",
				revision, limit, len(f.behind(revision)), len(f.views), f.behind(revision))
		}
		f.advance(10 * time.Millisecond)
	}
	return time.Since(begin)
}

// advance lets time pass in the synctest bubble.
func (f *fleet) advance(d time.Duration) {
	<-time.After(d)
}

// stop ends all views, so that the synctest bubble can end, and fails the test if any process
// reverted.
func (f *fleet) stop() {
	f.mu.Lock()
	for _, cancel := range f.cancels {
		cancel()
	}
	views := f.views
	f.mu.Unlock()
	for _, v := range views {
		<-v.Done()
	}
	if f.reverts > 0 {
		f.t.Errorf("views reverted to an older revision %d times", f.reverts)
	}
}

// processPlatform is the platform as seen by one process.
type processPlatform struct {
	*fakePlatform
	fleet *fleet
	self  string
}

func (p *processPlatform) reach(ctx context.Context) error {
	if err := p.fleet.waitWhileFrozen(ctx, p.self); err != nil {
		return err
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.calls[p.self]++
	if p.fleet.partitioned(p.self, "platform") {
		return errOutage
	}
	return nil
}

func (p *processPlatform) Get(ctx context.Context, key string) (*bramleyv1.GetResponse, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.fakePlatform.Get(ctx, key)
}

func (p *processPlatform) Watch(ctx context.Context, key string, after uint64) (*bramleyv1.GetResponse, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.fakePlatform.Watch(ctx, key, after)
}

func (p *processPlatform) ListVMs(ctx context.Context, place string) ([]*bramleyv1.VM, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.fakePlatform.ListVMs(ctx, place)
}

// processPeers returns clients for the other views on behalf of one process.
type processPeers struct {
	fleet *fleet
	self  string
}

func (p *processPeers) Client(_ context.Context, addr string) (bramleyv1.DRPCPeerServiceClient, error) {
	return &link{fleet: p.fleet, from: p.self, to: addr}, nil
}

type link struct {
	bramleyv1.DRPCPeerServiceClient
	fleet    *fleet
	from, to string
}

const linkLatency = time.Millisecond

func (l *link) reach(ctx context.Context) (*View, error) {
	for _, end := range []string{l.from, l.to} {
		if err := l.fleet.waitWhileFrozen(ctx, end); err != nil {
			return nil, err
		}
	}
	sleep(ctx, linkLatency)
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	v := l.fleet.views[l.to]
	if v == nil || l.fleet.partitioned(l.from, l.to) {
		return nil, fmt.Errorf("%s to %s: %w", l.from, l.to, errUnreachable)
	}
	return v, nil
}

func (l *link) Heartbeat(ctx context.Context, in *bramleyv1.HeartbeatRequest) (*bramleyv1.HeartbeatResponse, error) {
	v, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	return v.Heartbeat(ctx, in)
}

func (l *link) Fetch(ctx context.Context, in *bramleyv1.FetchRequest) (*bramleyv1.FetchResponse, error) {
	v, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	return v.Fetch(ctx, in)
}

func (l *link) Announce(ctx context.Context, in *bramleyv1.AnnounceRequest) (*bramleyv1.AnnounceResponse, error) {
	v, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	return v.Announce(ctx, in)
}
