package registry_test

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

var sheets = netip.MustParseAddrPort("198.18.0.1:443")

// routed returns a configuration that directs the new flows of an address to services of equal weight.
func routed(version uint64, services ...string) *registry.Configuration {
	c := configuration(version)
	route := registry.Route{Address: sheets}
	for _, service := range services {
		route.Shares = append(route.Shares, registry.Share{Service: service, Weight: 1})
	}
	c.Routes = append(c.Routes, route)
	return c
}

// readRegistry returns a registry that read a configuration at the given time.
func readRegistry(at time.Duration, c *registry.Configuration) *registry.Registry {
	r := registry.New(registry.DefaultConfig(1))
	r.Replace(registry.Snapshot{Revision: registry.Revision(c.Version), Confirmed: at, Configuration: c})
	return r
}

func wantFormer(t *testing.T, r *registry.Registry, services ...string) {
	t.Helper()
	var got []string
	for _, former := range r.View().Former {
		if former.Address != sheets {
			t.Errorf("former share of address %v", former.Address)
		}
		got = append(got, former.Service)
	}
	if !reflect.DeepEqual(got, services) {
		t.Fatalf("former services %v, want %v", got, services)
	}
}

func wantRoutesKnownSince(t *testing.T, r *registry.Registry, want time.Duration) {
	t.Helper()
	if got := r.Freshness().RoutesKnownSince; got != want {
		t.Fatalf("routes are known since %v, want %v", got, want)
	}
}

func TestFormerServicesOfARouteAreRemembered(t *testing.T) {
	r := readRegistry(time.Minute, routed(5, "a"))
	// One watch may return several configurations. Balancers that read them in between placed flows by each.
	changes := registry.Changes{
		After: 5, Revision: 8, Confirmed: 2 * time.Minute,
		Superseded: []*registry.Configuration{routed(6, "b", "c")}, Configuration: routed(8, "d"),
	}
	if _, err := r.Apply(changes); err != nil {
		t.Fatal(err)
	}
	wantFormer(t, r, "a", "b", "c")
	wantRoutesKnownSince(t, r, time.Minute)
	back := registry.Changes{After: 8, Revision: 9, Confirmed: 2*time.Minute + time.Second, Configuration: routed(9, "b")}
	if _, err := r.Apply(back); err != nil {
		t.Fatal(err)
	}
	wantFormer(t, r, "a", "c", "d")
	if _, err := r.Apply(registry.Changes{After: 9, Revision: 9, Confirmed: 3*time.Minute + 500*time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	r.Expire()
	wantFormer(t, r, "d")
}

func TestNewProcessLearnsFormerServicesFromAPeer(t *testing.T) {
	peer := readRegistry(time.Minute, routed(5, "a"))
	if _, err := peer.Apply(registry.Changes{After: 5, Revision: 6, Confirmed: 2 * time.Minute, Configuration: routed(6, "b")}); err != nil {
		t.Fatal(err)
	}
	fromPeer := registry.New(registry.DefaultConfig(2))
	fromPeer.Merge(peer.Since(0))
	wantFormer(t, fromPeer, "a")
	wantRoutesKnownSince(t, fromPeer, time.Minute)

	// This process has read a newer revision from the store before it hears from the peer.
	fromStore := readRegistry(2*time.Minute, routed(6, "b"))
	fromStore.Replace(registry.Snapshot{Revision: 7, Confirmed: 2*time.Minute + time.Second, Configuration: routed(6, "b")})
	peer.Observe(registry.Freshness{Revision: 6, Changed: 6, Confirmed: 2*time.Minute + time.Second, ContinuousSince: time.Minute})
	if !fromStore.LacksHistoryOf(peer.Freshness()) {
		t.Fatal("the new process does not ask for the history")
	}
	fromStore.Merge(peer.Since(0))
	wantFormer(t, fromStore, "a")
	wantRoutesKnownSince(t, fromStore, time.Minute)
	if fromStore.LacksHistoryOf(peer.Freshness()) || fromStore.Freshness().Revision != 7 {
		t.Fatal("the history was not adopted, or the newer revision was replaced")
	}
}

// TestConfigurationsMissedInAnOutageEndTheKnownHistory covers a process that reads the store again after it has lost
// its place in the changes. It may have missed configurations by which others placed flows.
func TestConfigurationsMissedInAnOutageEndTheKnownHistory(t *testing.T) {
	r := readRegistry(time.Minute, routed(5, "a"))
	r.Replace(registry.Snapshot{Revision: 7, Confirmed: 2 * time.Minute, Configuration: routed(5, "a")})
	wantRoutesKnownSince(t, r, time.Minute)
	r.Replace(registry.Snapshot{Revision: 9, Confirmed: 3 * time.Minute, Configuration: routed(9, "b")})
	wantRoutesKnownSince(t, r, 3*time.Minute)
	wantFormer(t, r, "a")
}

func TestHistoryOfAPeerThatWasCutOffIsNotTakenAsComplete(t *testing.T) {
	peer := readRegistry(time.Minute, routed(5, "a"))
	r := readRegistry(3*time.Minute, routed(9, "c"))
	if r.LacksHistoryOf(peer.Freshness()) {
		t.Fatal("the history of a peer that was last confirmed before is asked for")
	}
	r.Merge(peer.Since(0))
	wantRoutesKnownSince(t, r, 3*time.Minute)
	wantFormer(t, r, "a")
}

// TestFirstConfigurationHasNoFormerRoutes covers the loss of all processes while the first configuration is in force: every
// route of the past is known at once.
func TestFirstConfigurationHasNoFormerRoutes(t *testing.T) {
	r := registry.New(registry.DefaultConfig(1))
	r.Replace(registry.Snapshot{Revision: 9, Confirmed: time.Hour, Configuration: routed(5, "a"), FirstConfiguration: true})
	wantRoutesKnownSince(t, r, time.Hour-registry.DefaultConfig(1).RouteRetention)
}

// TestConfigurationChangedAfterTheFirstReadIsNotTakenAsFirst covers a process that knows another configuration already.
func TestConfigurationChangedAfterTheFirstReadIsNotTakenAsFirst(t *testing.T) {
	r := readRegistry(time.Hour, routed(5, "a"))
	r.Replace(registry.Snapshot{Revision: 9, Confirmed: 2 * time.Hour, Configuration: routed(6, "b"), FirstConfiguration: true})
	wantRoutesKnownSince(t, r, 2*time.Hour)
}
