package flowbalancer

import (
	"context"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/registry"
)

// testView is a View that a test sets.
type testView struct {
	atomic.Pointer[registry.View]
}

func (v *testView) Current() *registry.View                  { return v.Load() }
func (*testView) Updates() <-chan struct{}                   { return nil }
func (*testView) Observe(registry.Freshness, netip.AddrPort) {}

// TestRunningBalancerExplainsFlows guards against an endpoint that the event loop does not serve, and against errors
// that do not name their cause.
func TestRunningBalancerExplainsFlows(t *testing.T) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	view := &testView{}
	b, err := New(Config{
		View: view, Clock: clock.New(), ClientAddress: loopback, PeerAddress: loopback, Director: flow.DefaultDirectorConfig("a"),
		Seeds: func() []netip.AddrPort { return nil }, Rand: rand.New(rand.NewSource(1)), Event: func(string, ...any) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	handler := telemetry.OperatorHandler(b.Ready, b.ExplainEndpoint())
	check := func(service string, status int, wants ...string) {
		t.Helper()
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/explain?client=100.64.0.1:1025&service="+service, nil))
		for _, want := range wants {
			if text := recorder.Body.String(); recorder.Code != status || !strings.Contains(text, want) {
				t.Fatalf("%s: got %d %s, want %d and %q", service, recorder.Code, text, status, want)
			}
		}
	}
	check("198.18.0.1:443", http.StatusServiceUnavailable, "no view received yet")
	view.Store(&registry.View{Freshness: registry.Freshness{Revision: 9, Changed: 9}, Content: &registry.Content{
		Configuration: &registry.Configuration{Version: 3, Routes: []registry.Route{
			{Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []registry.Share{{Service: "orders", Weight: 1}}},
		}},
		Upstreams:   []registry.Upstream{{ID: "s", Service: "orders", Place: "b", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:8000")}},
		Evacuations: []registry.Evacuation{{Place: "b", Revision: 8}},
	}})
	check("198.18.0.1:443", http.StatusOK, `"role":"balancer"`, `"outcome":"refuse"`, `"place":"b","era":0,"revision":8,"age_ms":null,"applies":true`,
		`"class":"unavailable","reason":"availability zone is evacuated","reported":null`, "agents that have sent no status yet (1): 10.0.0.1")
	check("198.18.0.2:443", http.StatusNotFound, "version 3 of the configuration has no route for 100.64.0.1:1025", "it has routes for: 198.18.0.1:443")
}
