package main

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/bramleyrack/bramleyrack/placement"
	"github.com/bramleyrack/bramleyrack/settings"
)

type explainCommand struct {
	term                       terminal
	output                     output
	service, place, connection string
	getenv                     func(string) string
}

// explanation says where the packets of a flow go.
type explanation struct {
	Service string `json:"service"`
	Flow    string `json:"flow"`
	// Owner is set when the connection ID names the upstream that owns the flow.
	Owner  *ranked  `json:"owner,omitempty"`
	Ranks  []ranked `json:"ranks"`
	Reason string   `json:"reason"`
}

// ranked is one upstream of the order in which a flow is offered.
type ranked struct {
	Rank     int     `json:"rank"`
	Upstream string  `json:"upstream"`
	Number   uint32  `json:"number"`
	Place    string  `json:"place"`
	Weight   float64 `json:"weight"`
	Leaving  bool    `json:"leaving"`
	Agent    string  `json:"agent"`
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "explain why a flow goes to an upstream" }

func (*explainCommand) Usage() string {
	return `explain --service NAME --connection-id HEX [--place NAME] [-o text|json] FILE
  Shows the order in which a balancer at a place offers a new flow to the upstreams of a service.
  With BRAMLEY_CONNECTION_ID_KEY or BRAMLEY_CONNECTION_ID_KEY_FILE set, a connection ID that an agent
  chose is decoded to the upstream that owns the flow.
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.StringVar(&c.service, "service", "", "`name` of the service")
	f.StringVar(&c.connection, "connection-id", "", "destination connection ID of a packet in `hex` digits")
	f.StringVar(&c.place, "place", "", "`name` of the balancer's place")
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	id, err := hex.DecodeString(c.connection)
	if err != nil || len(id) == 0 {
		return c.term.usage(c.Name(), "--connection-id %q: want hexadecimal digits", c.connection)
	}
	if c.service == "" || f.NArg() != 1 {
		return c.term.usage(c.Name(), "want --service and one file")
	}
	_, tree, err := readTree(f.Arg(0))
	if err != nil {
		return c.term.fail(c.Name(), err)
	}
	e, err := c.explain(tree, id)
	if err != nil {
		return c.term.fail(c.Name(), err)
	}
	c.print(e)
	return subcommands.ExitSuccess
}

func (c *explainCommand) explain(tree *settings.Tree, id []byte) (*explanation, error) {
	service := tree.ServiceByName(c.service)
	if service == nil {
		return nil, errors.NotFoundf("service %q", c.service)
	}
	flow := placement.FlowHash(id)
	e := &explanation{Service: service.Name, Flow: fmt.Sprintf("%016x", flow), Ranks: rank(service, flow, c.place)}
	owner, ok, err := c.decode(id)
	if err != nil {
		return nil, err
	}
	if !ok {
		e.Reason = "no owner in the connection ID: offered in order of rank; an agent that leaves, warms up or holds too many flows passes it on"
		return e, nil
	}
	if owner.Service != service.Number {
		return nil, errors.Errorf("the connection ID belongs to service number %d and would be dropped", owner.Service)
	}
	e.Reason = "the connection ID names its owner"
	if upstream := service.Upstream(owner.Server); upstream != nil {
		r := rankedFrom(0, upstream)
		e.Owner = &r
	} else {
		e.Reason = fmt.Sprintf("the connection ID names upstream number %d, which is not in this tree", owner.Server)
	}
	return e, nil
}

// decode returns the owner that the connection ID names, if the keys are set.
func (c *explainCommand) decode(id []byte) (placement.Owner, bool, error) {
	if c.getenv(secrets.ConnectionIDKey) == "" && c.getenv(secrets.ConnectionIDKey+secrets.FileSuffix) == "" {
		return placement.Owner{}, false, nil
	}
	keys, err := secrets.Load(c.getenv, secrets.PartConnectionID)
	if err != nil {
		return placement.Owner{}, false, err
	}
	codec, err := placement.NewCodec(keys.ConnectionID[0], keys.ConnectionID[1])
	if err != nil {
		return placement.Owner{}, false, err
	}
	owner, ok := codec.Decode(id)
	return owner, ok, nil
}

func rank(service *settings.Service, flow uint64, place string) []ranked {
	candidates := make([]placement.Candidate, 0, len(service.Upstreams))
	for i := range service.Upstreams {
		u := &service.Upstreams[i]
		candidates = append(candidates, placement.Candidate{Number: u.Number, Place: u.Place, Weight: u.Policy.Weight, Leaving: u.Leaving})
	}
	var ranks []ranked
	for i, number := range placement.Rank(nil, flow, place, candidates) {
		ranks = append(ranks, rankedFrom(i+1, service.Upstream(number)))
	}
	return ranks
}

func rankedFrom(rank int, u *settings.Upstream) ranked {
	return ranked{
		Rank:     rank,
		Upstream: u.Name,
		Number:   u.Number,
		Place:    u.Place,
		Weight:   u.Policy.Weight,
		Leaving:  u.Leaving,
		Agent:    u.AgentAddress.String(),
	}
}

func (c *explainCommand) print(e *explanation) {
	if c.output.isJSON() {
		c.term.json(e)
		return
	}
	fmt.Fprintf(c.term.out, "service=%s flow=%s: %s\n", e.Service, e.Flow, e.Reason)
	if e.Owner != nil {
		fmt.Fprintf(c.term.out, "owner: %s (number %d) at %s, agent %s\n", e.Owner.Upstream, e.Owner.Number, e.Owner.Place, e.Owner.Agent)
	}
	rows := [][]string{{"RANK", "UPSTREAM", "NUMBER", "PLACE", "WEIGHT", "LEAVING", "AGENT"}}
	for _, r := range e.Ranks {
		rows = append(rows, []string{fmt.Sprint(r.Rank), r.Upstream, fmt.Sprint(r.Number), r.Place, fmt.Sprint(r.Weight), fmt.Sprint(r.Leaving), r.Agent})
	}
	c.term.table(rows)
}

func newExplainCommand(term terminal) *explainCommand {
	return &explainCommand{term: term, getenv: os.Getenv}
}
