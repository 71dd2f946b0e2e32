package flowagent

import (
	"net/http"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/explain"
	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
)

// ExplainEndpoint returns the endpoint at which operators ask whether the server would get a flow now.
func (a *Agent) ExplainEndpoint() telemetry.Endpoint {
	return a.questions.Endpoint(nodestatus.Agent, problem)
}

// answer answers an operator's question. It uses the current view, like the next packet would.
func (l *loop) answer(q explain.Question[flow.AgentExplanation]) {
	now := l.config.Clock.Now()
	l.updateView(now)
	view := l.config.View.Current()
	e := l.tracker.Explain(now, q.Key)
	e.View = nodestatus.NewView(now, view)
	q.Reply(e)
}

// problem returns the status and text for a flow that can't be explained. An agent without a route for the flow still
// has an answer, since it may learn of the route from a balancer.
func problem(e flow.AgentExplanation) (status int, text string) {
	if e.View == nil {
		return http.StatusServiceUnavailable, "no view received yet"
	}
	return 0, ""
}
