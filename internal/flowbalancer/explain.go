package flowbalancer

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/explain"
	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
)

// ExplainEndpoint returns the endpoint at which operators ask where a flow would go now.
func (b *Balancer) ExplainEndpoint() telemetry.Endpoint {
	return b.questions.Endpoint(nodestatus.Balancer, problem)
}

// answer answers an operator's question. It uses the current view, like the next packet would.
func (l *loop) answer(q explain.Question[flow.Explanation]) {
	now := l.config.Clock.Now()
	l.updateView(now)
	q.Reply(l.director.Explain(now, q.Key))
}

// problem returns the status and text for a flow that can't be explained.
func problem(e flow.Explanation) (status int, text string) {
	switch {
	case e.View == nil:
		return http.StatusServiceUnavailable, "no view received yet; every packet is dropped"
	case e.Service == "":
		return http.StatusNotFound, fmt.Sprintf("version %d of the configuration has no route for %s; it has routes for: %s",
			e.View.Version, e.Flow, strings.Join(e.Routes, " "))
	}
	return 0, ""
}
