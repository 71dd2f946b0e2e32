package main

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/explain"
	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
	"github.com/bramleyrack/bramleyrack/registry"
)

const (
	explainedFlow = "100.64.0.1:1025,198.18.0.1:443"
	explainedTime = time.Minute
)

// explainedView is a view with a server in each of two places, of which one is evacuated.
func explainedView() *registry.View {
	content := &registry.Content{
		Configuration: &registry.Configuration{Version: 7, Routes: []registry.Route{
			{Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []registry.Share{{Service: "orders", Weight: 1}}},
		}},
		Evacuations: []registry.Evacuation{{Place: "bog-sur", Revision: 38, Started: explainedTime - 20*time.Second}},
	}
	for _, s := range []struct{ ip, place string }{{"10.0.0.1", "bog-sur"}, {"10.0.0.2", "bog-norte"}} {
		content.Upstreams = append(content.Upstreams, registry.Upstream{
			ID: s.ip, Service: "orders", Place: s.place, Slots: 2, Address: netip.AddrPortFrom(netip.MustParseAddr(s.ip), 8000),
		})
	}
	return &registry.View{Freshness: registry.Freshness{Revision: 40, Changed: 40, Confirmed: explainedTime - 80*time.Millisecond}, Content: content}
}

// serveExplanations answers questions like a flow process in the given role.
func serveExplanations[E any](t *testing.T, role string, answer func(flow.Key) E) string {
	t.Helper()
	questions := explain.NewQuestions[E]()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case q := <-questions:
				q.Reply(answer(q.Key))
			case <-done:
				return
			}
		}
	}()
	return serveOperator(t, questions.Endpoint(role, func(E) (int, string) { return 0, "" }).Handler.ServeHTTP)
}

func explainingBalancer(t *testing.T) string {
	t.Helper()
	d := flow.NewDirector(flow.DefaultDirectorConfig("bog-sur"), 0)
	d.SetView(explainedTime, explainedView())
	d.UpdateStatus(explainedTime-time.Second, flow.AgentStatus{From: flow.IP{10, 0, 0, 2}, Process: 1, Accepting: true, Busy: 1, Slots: 2, Flows: 6})
	return serveExplanations(t, nodestatus.Balancer, func(key flow.Key) flow.Explanation { return d.Explain(explainedTime, key) })
}

func explainingAgent(t *testing.T, server string) string {
	t.Helper()
	address := flow.EndpointOf(netip.MustParseAddrPort(server))
	tracker := flow.NewTracker(flow.DefaultTrackerConfig("orders", address), 0)
	tracker.SetView(explainedView())
	return serveExplanations(t, nodestatus.Agent, func(key flow.Key) flow.AgentExplanation {
		e := tracker.Explain(explainedTime, key)
		e.View = nodestatus.NewView(explainedTime, explainedView())
		return e
	})
}

// TestExplainFlowShowsWhyAPlaceGetsNothing guards against an explanation without the evacuation, the age of the load or
// what is not known.
func TestExplainFlowShowsWhyAPlaceGetsNothing(t *testing.T) {
	balancer, agents := explainingBalancer(t), explainingAgent(t, "10.0.0.1:8000")+","+explainingAgent(t, "10.0.0.2:8000")
	status, out, errOut := runCommand(t, "explain-flow", "--balancer", balancer, "--flow", explainedFlow, "--agents", agents)
	if status != subcommands.ExitSuccess {
		t.Fatalf("exit %d: %s%s", status, out, errOut)
	}
	plain := strings.Join(strings.Fields(out), " ")
	assertContains(t, plain, "revision=40 version=7 age=80ms", "route: service=orders weight=1 (selected)",
		"evacuation: place=bog-sur era=0 revision=38 age=20s, applies to this flow", "outcome: forward to 10.0.0.2, then none",
		"owner: the balancer does not know the flow", "sent no status yet (1): 10.0.0.1",
		"1 - 10.0.0.1 bog-sur unavailable ? ? 0 never 2.00 - availability zone is evacuated", "2 1 10.0.0.2 bog-norte remote 1/2 6 0 1s ago 2.00",
		"10.0.0.1:8000 pass refuse 0/2", "availability zone is evacuated; as last: availability zone is evacuated; no agent is left to try",
		"10.0.0.2:8000 take take 0/2")
	_, out, _ = runCommand(t, "explain-flow", "-o", "json", "--balancer", balancer, "--flow", strings.Replace(explainedFlow, ",", ">", 1))
	var result flowExplanation
	if err := json.Unmarshal([]byte(out), &result); err != nil || result.Explanation == nil || len(result.Explanation.Candidates) != 2 {
		t.Fatalf("%v: %s", err, out)
	}
}

// TestExplainFlowNamesErrors guards against an error of one process that hides the answers of the others.
func TestExplainFlowNamesErrors(t *testing.T) {
	agent := explainingAgent(t, "10.0.0.2:8000")
	failing := serveOperator(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no view received yet", http.StatusServiceUnavailable)
	})
	for balancer, want := range map[string]string{
		agent:                `is not the operator address of a flow balancer: its role is "agent"`,
		failing:              "answered 503: no view received yet",
		freeAddr(t).String(): "refused",
	} {
		status, out, errOut := runCommand(t, "explain-flow", "--balancer", balancer, "--flow", explainedFlow, "--agents", agent)
		if status != exitFailed {
			t.Errorf("exit %d", status)
		}
		assertContains(t, errOut, want)
		assertContains(t, out, "10.0.0.2:8000")
	}
	status, out, _ := runCommand(t, "explain-flow", "--balancer", explainingBalancer(t), "--flow", explainedFlow, "--agents", failing)
	if status != exitFailed {
		t.Errorf("exit %d although an agent did not answer", status)
	}
	assertContains(t, out, "outcome: forward", "answered 503")
}
