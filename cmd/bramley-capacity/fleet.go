package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/peer"
	"github.com/bramleyrack/bramleyrack/internal/platformclient"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	standin "github.com/bramleyrack/bramleyrack/internal/standin/platform"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
	"github.com/bramleyrack/bramleyrack/internal/view"
)

const (
	fleetPlace = "place-0"
	// fleetTimeout bounds the time until a published tree is in force in every member.
	fleetTimeout = 30 * time.Second
	pollInterval = time.Millisecond
)

// fleet is a set of members in this process, with real peer connections and a simulated platform. Each member is the
// view of one node.
type fleet struct {
	cancel         context.CancelFunc
	store          *standin.Store
	views          []*view.View
	meters         []*traffic.Meter
	linkBytes      byteCounter
	peers          []string
	extraUpstreams int
	service        uint32
	finished       sync.WaitGroup
}

// The services that the members of a fleet can belong to. Agents of ownService exchange heartbeats
// with one another. Processes with noService exchange them only with their neighbors in the relay
// tree.
const (
	ownService = 1
	noService  = 0
)

// startFleet starts size members that belong to the given service. The settings tree of the fleet also
// contains extraUpstreams upstreams of another service, which are not running.
func startFleet(size, extraUpstreams int, service uint32) (*fleet, error) {
	keys, err := newPeerKeys()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel, store: standin.New(standin.Config{}), extraUpstreams: extraUpstreams, service: service}
	url, err := f.servePlatform(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	listeners := make([]net.Listener, 0, size)
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return nil, errors.Trace(err)
		}
		listeners = append(listeners, listener)
		f.peers = append(f.peers, listener.Addr().String())
	}
	for i, address := range f.peers {
		f.store.SetVM(&bramleyv1.VM{Name: fmt.Sprint("vm-", i), Place: fleetPlace, Address: address}, false)
	}
	for i := range listeners {
		if err := f.startView(ctx, i, listeners[i], url, keys); err != nil {
			cancel()
			return nil, err
		}
	}
	return f, nil
}

// newPeerKeys generates the keys and certificates of the peers for this run.
func newPeerKeys() (*secrets.Keys, error) {
	dir, err := os.MkdirTemp("", "bramley-capacity")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	if err := secrets.Generate(dir); err != nil {
		return nil, errors.Trace(err)
	}
	files := map[string]string{
		secrets.PeerCA + secrets.FileSuffix:          filepath.Join(dir, "peer-ca.pem"),
		secrets.PeerCertificate + secrets.FileSuffix: filepath.Join(dir, "peer.pem"),
		secrets.PeerKey + secrets.FileSuffix:         filepath.Join(dir, "peer.key"),
	}
	return secrets.Load(func(name string) string { return files[name] }, secrets.PartPeer)
}

func (f *fleet) servePlatform(ctx context.Context) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: (&standin.Service{Store: f.store}).Handler()}
	f.finished.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { server.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (f *fleet) startView(ctx context.Context, i int, listener net.Listener, url string, keys *secrets.Keys) error {
	meter := &traffic.Meter{}
	pool := peer.NewPool(peer.PoolConfig{TLS: keys.PeerClient, Meter: meter})
	v, err := view.Start(ctx, view.Config{
		Identity: &bramleyv1.Identity{
			Vm: fmt.Sprint("vm-", i), Place: fleetPlace, Role: bramleyv1.VMRole_VM_ROLE_UPSTREAM,
			Service: f.service, Server: uint32(i + 1), Incarnation: uint64(i + 1), PeerAddress: f.peers[i],
		},
		Platform:  platformclient.New(platformclient.Config{URL: url, Meter: meter}),
		Peers:     pool,
		FleetSize: len(f.peers),
		Meter:     meter,
		Load:      func() *bramleyv1.Load { return &bramleyv1.Load{Flows: 2000, BusySlots: 3, Slots: 5} },
	})
	if err != nil {
		return errors.Trace(err)
	}
	f.views = append(f.views, v)
	f.meters = append(f.meters, meter)
	counted := &countingListener{Listener: listener, counter: &f.linkBytes}
	f.finished.Go(func() { _ = peer.ServeListener(ctx, counted, keys.PeerServer, &fleetService{View: v}) })
	context.AfterFunc(ctx, func() { pool.Close() })
	return nil
}

// fleetService serves the calls of peers from a view.
type fleetService struct {
	*view.View
}

// Status returns the identity, state and load of the member.
func (s *fleetService) Status(context.Context, *bramleyv1.StatusRequest) (*bramleyv1.StatusResponse, error) {
	return s.View.Status(), nil
}

// tree returns a settings tree whose upstreams are the members of the fleet and the extra upstreams.
func (f *fleet) tree(slots int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "firm: synthetic\npolicy: {slots: %d}\nservices:\n", slots)
	text.WriteString("  own: {number: 1, address: \"10.255.0.1:8443\"}\n  others: {number: 2, address: \"10.255.0.2:8443\"}\n")
	fmt.Fprintf(&text, "places:\n  %s:\n    services:\n      own:\n        upstreams:\n", fleetPlace)
	for i, address := range f.peers {
		fmt.Fprintf(&text, "          own-%d: {number: %d, agent: \"127.1.%d.%d:9001\", peer: %q, url: \"http://127.0.0.1:9201\"}\n",
			i, i+1, i/250, i%250+1, address)
	}
	if f.extraUpstreams > 0 {
		text.WriteString("      others:\n        upstreams:\n")
	}
	for i := range f.extraUpstreams {
		host := fmt.Sprintf("10.%d.%d.%d", i/62500, i/250%250, i%250+1)
		fmt.Fprintf(&text, "          server-%d: {number: %d, agent: \"%s:9001\", peer: \"%s:9101\", url: \"http://%s:9201\"}\n",
			i, i+10001, host, host, host)
	}
	return []byte(text.String())
}

// publish publishes a settings tree and returns the time until it is in force in every member. The number of
// slots is what differs between revisions.
func (f *fleet) publish(slots int) (time.Duration, error) {
	begin := time.Now()
	revision, err := f.store.Publish("tree", f.tree(slots))
	if err != nil {
		return 0, errors.Trace(err)
	}
	for !f.inForce(revision) {
		if time.Since(begin) > fleetTimeout {
			return 0, errors.Errorf("revision %d is not in force in every member after %v", revision, fleetTimeout)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(begin), nil
}

func (f *fleet) inForce(revision uint64) bool {
	for _, v := range f.views {
		if v.Revision() != revision {
			return false
		}
	}
	return true
}

// configurationBytes returns the bytes that all members have sent and received to distribute revisions.
func (f *fleet) configurationBytes() float64 {
	total := uint64(0)
	for _, m := range f.meters {
		total += m.Bytes()[traffic.Configuration.String()]
	}
	return float64(total)
}

func (f *fleet) stop() {
	f.cancel()
	for _, v := range f.views {
		<-v.Done()
	}
	f.finished.Wait()
}
