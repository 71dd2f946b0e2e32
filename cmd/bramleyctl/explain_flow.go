package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/explain"
	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
)

// explainFlowCommand asks running processes where a flow would go now.
type explainFlowCommand struct {
	term     terminal
	output   output
	balancer string
	flow     string
	agents   addressList
	timeout  time.Duration
}

// flowExplanation holds the answers of a balancer and of agents.
type flowExplanation struct {
	Balancer    string            `json:"balancer"`
	Explanation *flow.Explanation `json:"explanation,omitempty"`
	Error       string            `json:"error,omitempty"`
	Agents      []agentAnswer     `json:"agents,omitempty"`
}

// agentAnswer is the answer of one agent, or the error.
type agentAnswer struct {
	Address     string                 `json:"address"`
	Explanation *flow.AgentExplanation `json:"explanation,omitempty"`
	Error       string                 `json:"error,omitempty"`
}

func (*explainFlowCommand) Name() string { return "explain-flow" }
func (*explainFlowCommand) Synopsis() string {
	return "ask a running balancer where a flow with an opaque payload would go now, and why"
}

func (*explainFlowCommand) Usage() string {
	return `explain-flow --balancer IP:PORT --flow CLIENT_IP:PORT,SERVICE_IP:PORT [--agents IP:PORT,...] [-o text|json]
  Asks a balancer, at its operator address, where it would send the opening packet of a flow now: route, service,
  evacuations, and the servers in order of rank with class, reported load, its age and capacity; what the balancer
  knows of the flow; and what it does not know. Nothing is sent for the flow and no state changes. With --agents, also
  asks these agents, at their operator addresses, whether they would take the flow, pass it on or refuse it.
  The flow may also be in the format of the logs, CLIENT>SERVICE. Exits with 1 if a process does not answer.
`
}

func (c *explainFlowCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.StringVar(&c.balancer, "balancer", "", "operator `address` of the balancer")
	f.StringVar(&c.flow, "flow", "", "client and service `endpoints`, separated by a comma")
	f.Var(&c.agents, "agents", "operator `addresses` of agents, separated by commas")
	f.DurationVar(&c.timeout, "timeout", defaultOperatorTimeout, "maximum `duration` of a query")
}

func (c *explainFlowCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	if _, err := netip.ParseAddrPort(c.balancer); err != nil {
		return c.term.usage(c.Name(), "--balancer: %q is not IP:PORT", c.balancer)
	}
	path, err := explainPath(c.flow)
	if err != nil {
		return c.term.usage(c.Name(), "--flow: %v", err)
	}
	if f.NArg() > 0 || c.timeout <= 0 {
		return c.term.usage(c.Name(), "want no other arguments and a positive --timeout")
	}
	result, ok := c.query(ctx, path)
	if c.output.isJSON() {
		c.term.json(result)
	} else {
		c.print(result)
	}
	return exitStatus(ok)
}

// explainPath returns the path and query of the question about a flow.
func explainPath(text string) (string, error) {
	client, service, found := strings.Cut(strings.Replace(text, ">", ",", 1), ",")
	if !found {
		return "", errors.Errorf("%q is not CLIENT_IP:PORT,SERVICE_IP:PORT", text)
	}
	for _, endpoint := range []string{client, service} {
		if address, err := netip.ParseAddrPort(endpoint); err != nil || !address.Addr().Is4() {
			return "", errors.Errorf("%q is not an IPv4 address and port", endpoint)
		}
	}
	return explain.Path + "?" + url.Values{explain.ClientParameter: {client}, explain.ServiceParameter: {service}}.Encode(), nil
}

// query asks the balancer and the agents concurrently. It reports whether all of them answered.
func (c *explainFlowCommand) query(ctx context.Context, path string) (*flowExplanation, bool) {
	client := newOperatorClient(c.timeout)
	result := &flowExplanation{Balancer: c.balancer, Agents: make([]agentAnswer, len(c.agents))}
	addresses := append([]string{c.balancer}, c.agents...)
	forEach(addresses, func(i int) {
		if i == 0 {
			result.Explanation, result.Error = askProcess[flow.Explanation](ctx, client, c.balancer, path, nodestatus.Balancer)
			return
		}
		a := &result.Agents[i-1]
		a.Address = addresses[i]
		a.Explanation, a.Error = askProcess[flow.AgentExplanation](ctx, client, a.Address, path, nodestatus.Agent)
	})
	ok := result.Error == ""
	for _, a := range result.Agents {
		ok = ok && a.Error == ""
	}
	return result, ok
}

// askProcess returns the answer of a process in a role, or the error as text.
func askProcess[E any](ctx context.Context, client *operatorClient, address, path, role string) (*E, string) {
	var answer explain.Answer[E]
	err := client.get(ctx, address, path, &answer)
	switch {
	case err != nil:
		return nil, err.Error()
	case answer.Role != role:
		return nil, fmt.Sprintf("%s is not the operator address of a flow %s: its role is %q", address, role, answer.Role)
	}
	return &answer.Explanation, ""
}

func (c *explainFlowCommand) print(r *flowExplanation) {
	if r.Error != "" {
		fmt.Fprintf(c.term.err, "bramleyctl %s: %s\n", c.Name(), r.Error)
	} else {
		c.printBalancer(r.Explanation)
	}
	if len(r.Agents) == 0 {
		return
	}
	rows := [][]string{{"AGENT", "SERVER", "ANSWER", "AS LAST", "BUSY", "EXPECTED", "BUDGET", "REQUEST", "STATE", "REVISION", "AGE", "REASON"}}
	for i := range r.Agents {
		rows = append(rows, r.Agents[i].tableRow())
	}
	c.term.table(rows)
}

func (c *explainFlowCommand) printBalancer(e *flow.Explanation) {
	out := c.term.out
	fmt.Fprintf(out, "flow %s\nview: era=%d revision=%d version=%d age=%s\n", e.Flow, e.View.Era, e.View.Revision, e.View.Version, durationText(e.View.AgeMs))
	for _, share := range e.Services {
		selected := ""
		if share.Service == e.Service {
			selected = " (selected)"
		}
		fmt.Fprintf(out, "route: service=%s weight=%d%s\n", share.Service, share.Weight, selected)
	}
	for _, evacuation := range e.Evacuations {
		fmt.Fprintln(out, evacuationText(evacuation))
	}
	fmt.Fprintf(out, "outcome: %s", e.Outcome)
	if len(e.Agents) > 0 {
		fmt.Fprintf(out, " to %s, then %s", e.Agents[0], orNone(strings.Join(e.Agents[1:], " ")))
	}
	if e.Reason != "" {
		fmt.Fprintf(out, ": %s", e.Reason)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, ownerText(e.Owner))
	for _, unknown := range e.Unknown {
		fmt.Fprintln(out, "not known:", unknown)
	}
	rows := [][]string{{"RANK", "POSITION", "AGENT", "PLACE", "CLASS", "BUSY", "FLOWS", "SENT", "REPORTED", "CAPACITY", "COLD", "REASON"}}
	for i := range e.Candidates {
		rows = append(rows, candidateRow(&e.Candidates[i]))
	}
	c.term.table(rows)
	if n := e.Servers - len(e.Candidates); n > 0 {
		fmt.Fprintf(out, "and %d servers of lower rank\n", n)
	}
}

func evacuationText(e flow.ExplainedEvacuation) string {
	age, applies := "unknown", "applies to this flow"
	if e.AgeMs != nil {
		age = durationText(*e.AgeMs)
	}
	if !e.Applies {
		applies = "does not apply to this flow yet"
	}
	return fmt.Sprintf("evacuation: place=%s era=%d revision=%d age=%s, %s", e.Place, e.Era, e.Revision, age, applies)
}

func ownerText(o *flow.Ownership) string {
	switch {
	case o == nil:
		return "owner: the balancer does not know the flow"
	case o.Owner != "":
		return fmt.Sprintf("owner: %s, last packet %s ago; packets of the open flow go there", o.Owner, durationText(o.SeenMs))
	case o.Searching:
		return "owner: being searched for"
	}
	return "owner: no agent has answered the opening packet yet"
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func candidateRow(a *flow.ExplainedCandidate) []string {
	position, busy, flows, reported, cold := "-", "?", "?", "never", "-"
	if a.Position > 0 {
		position = fmt.Sprint(a.Position)
	}
	if load := a.Reported; load != nil {
		busy, flows, reported = fmt.Sprintf("%d/%d", load.Busy, load.Slots), fmt.Sprint(load.Flows), durationText(load.AgeMs)+" ago"
	}
	if a.ColdMs > 0 {
		cold = durationText(a.ColdMs)
	}
	return []string{fmt.Sprint(a.Rank), position, a.Agent, a.Place, a.Class, busy, flows, fmt.Sprint(a.SentFlows), reported, fmt.Sprintf("%.2f", a.Capacity), cold, a.Reason}
}

// requestText describes what a request on an open flow would meet.
func requestText(r *flow.ExplainedRequest) string {
	if r.Outcome == flow.OutcomeTake {
		return r.Outcome
	}
	return fmt.Sprintf("%s behind %d for %.0fms, limit %s", r.Outcome, r.Ahead, r.ExpectedMs, durationText(int64(r.LimitMs)))
}

func (a *agentAnswer) tableRow() []string {
	e := a.Explanation
	if e == nil {
		return []string{a.Address, "-", "error", "-", "-", "-", "-", "-", "-", "-", "-", a.Error}
	}
	reason := e.Reason
	if e.LastReason != "" && e.LastReason != e.Reason {
		reason = strings.TrimPrefix(reason+"; as last: "+e.LastReason, "; ")
	}
	if !e.Route {
		reason = strings.TrimPrefix(reason+"; its configuration has no route for the flow to its service", "; ")
	}
	outcome := e.Outcome
	if e.Holds {
		outcome += ", holds the flow"
	}
	return []string{
		a.Address, e.Server, outcome, e.LastOutcome, fmt.Sprintf("%d/%d", e.State.Busy, e.State.Slots),
		fmt.Sprintf("%.1fms", e.ExpectedMs), fmt.Sprintf("%.1fms", e.BudgetMs), requestText(&e.Request), serverStates(&e.State),
		fmt.Sprint(e.View.ID()), durationText(e.View.AgeMs), reason,
	}
}
