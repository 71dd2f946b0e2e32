package flowagent

import (
	"math/rand"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/clock"
	"github.com/bramleyrack/bramleyrack/internal/explain"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
	"github.com/bramleyrack/bramleyrack/registry"
)

// fixedView is a View that never changes.
type fixedView struct {
	view *registry.View
}

func (v fixedView) Current() *registry.View                  { return v.view }
func (fixedView) Updates() <-chan struct{}                   { return nil }
func (fixedView) Observe(registry.Freshness, netip.AddrPort) {}
func newTestLoop(t *testing.T, upstream registry.Upstream) *loop {
	t.Helper()
	view := &registry.View{
		Freshness: registry.Freshness{Revision: 9, Changed: 9},
		Content: &registry.Content{
			Configuration: &registry.Configuration{
				Version: 3, Services: map[string]registry.Service{"orders": {ColdRate: 2.5}},
				Routes: []registry.Route{{Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []registry.Share{{Service: "orders", Weight: 1}}}},
			},
			Upstreams:   []registry.Upstream{upstream},
			Evacuations: []registry.Evacuation{{Place: "a", Revision: 8}},
		},
	}
	return newLoop(&Agent{config: Config{
		View: fixedView{view}, Clock: clock.New(), Server: upstream.Address,
		Tracker: flow.DefaultTrackerConfig("orders", flow.EndpointOf(upstream.Address)),
		Rand:    rand.New(rand.NewSource(1)), Event: func(string, ...any) {},
	}})
}

// TestServerStatusShowsWhyAServerGetsNoFlows guards against a state that operators see only after the next sweep, and
// against a remaining time that does not decrease between two sweeps.
func TestServerStatusShowsWhyAServerGetsNoFlows(t *testing.T) {
	upstream := registry.Upstream{
		ID: "s1", Service: "orders", Place: "a", Slots: 4, Draining: true, WarmAt: time.Hour,
		Address: netip.MustParseAddrPort("127.0.0.1:8000"),
	}
	l := newTestLoop(t, upstream)
	if l.agent.ServerStatus() != nil {
		t.Fatal("got a state before the first view")
	}
	l.updateView(l.config.Clock.Now())
	got := l.agent.ServerStatus()
	if got.Accepting || !got.Draining || !got.Evacuated || got.ColdRate != 2.5 || got.Slots != 4 || got.Service != "orders" {
		t.Fatalf("got %+v", got)
	}
	if got.ColdMs == 0 {
		t.Fatalf("got %+v", got)
	}
	for began := time.Now(); ; {
		later := l.agent.ServerStatus()
		if later.ColdMs < got.ColdMs && later.AgeMs > got.AgeMs {
			return
		}
		if time.Since(began) > time.Minute {
			t.Fatalf("got %+v and a minute later %+v", got, later)
		}
	}
}

// TestAgentExplainsFlows guards against an answer without the agent's view or the reason.
func TestAgentExplainsFlows(t *testing.T) {
	l := newTestLoop(t, registry.Upstream{ID: "s1", Service: "orders", Place: "a", Slots: 4, Address: netip.MustParseAddrPort("127.0.0.1:8000")})
	l.agent.questions = explain.NewQuestions[flow.AgentExplanation]()
	go func() { l.answer(<-l.agent.questions) }()
	recorder := httptest.NewRecorder()
	handler := telemetry.OperatorHandler(l.agent.Ready, l.agent.ExplainEndpoint())
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/explain?client=100.64.0.1:1025&service=198.18.0.1:443", nil))
	for _, want := range []string{
		`"role":"agent"`, `"server":"127.0.0.1:8000"`, `"revision":9,"version":3`, `"route":true`, `"outcome":"pass","reason":"availability zone is evacuated"`,
		`"last_outcome":"refuse"`, `"evacuated":true`, `"cold_rate":2.5`, `"applies":true`,
	} {
		if text := recorder.Body.String(); recorder.Code != http.StatusOK || !strings.Contains(text, want) {
			t.Errorf("%q is missing from %d %s", want, recorder.Code, text)
		}
	}
	if status, text := problem(flow.AgentExplanation{}); status != http.StatusServiceUnavailable || text != "no view received yet" {
		t.Errorf("got %d %s without a view", status, text)
	}
}
