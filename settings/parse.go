package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Finding is one fault of a tree.
type Finding struct {
	// Path is the place in the tree, with dots between the levels.
	Path   string
	Reason string
}

// FindingsError reports every fault of a tree at once.
type FindingsError struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.Path+": "+f.Reason)
	}
	return strings.Join(lines, "\n")
}

type rawPolicy struct {
	Slots          *int     `yaml:"slots"`
	Weight         *float64 `yaml:"weight"`
	QueueLength    *int     `yaml:"queue_length"`
	FlowSlack      *float64 `yaml:"flow_slack"`
	SlowStart      *string  `yaml:"slow_start"`
	DeadAfter      *string  `yaml:"dead_after"`
	ResetAfter     *string  `yaml:"reset_after"`
	FeedHeartbeat  *string  `yaml:"feed_heartbeat"`
	FeedTimeout    *string  `yaml:"feed_timeout"`
	TicketLifetime *string  `yaml:"ticket_lifetime"`
	RecordLifetime *string  `yaml:"record_lifetime"`
	RecordBytes    *int     `yaml:"record_bytes"`
	RetryBudget    *float64 `yaml:"retry_budget"`
	RetryAfter     *string  `yaml:"retry_after"`
	DrainTimeout   *string  `yaml:"drain_timeout"`
}

type rawUpstream struct {
	Number  uint32    `yaml:"number"`
	Agent   string    `yaml:"agent"`
	Peer    string    `yaml:"peer"`
	URL     string    `yaml:"url"`
	Leaving bool      `yaml:"leaving"`
	Policy  rawPolicy `yaml:"policy"`
}

type rawPlaceService struct {
	Policy    rawPolicy              `yaml:"policy"`
	Upstreams map[string]rawUpstream `yaml:"upstreams"`
}

type rawPlace struct {
	Policy   rawPolicy                  `yaml:"policy"`
	Services map[string]rawPlaceService `yaml:"services"`
}

type rawService struct {
	Number  uint32    `yaml:"number"`
	Address string    `yaml:"address"`
	Policy  rawPolicy `yaml:"policy"`
}

type rawTree struct {
	Policy   rawPolicy             `yaml:"policy"`
	Firm     string                `yaml:"firm"`
	Services map[string]rawService `yaml:"services"`
	Places   map[string]rawPlace   `yaml:"places"`
}

type parser struct {
	findings []Finding
}

func (p *parser) add(path, format string, args ...any) {
	p.findings = append(p.findings, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Parse reads and checks a whole tree. The error is a *FindingsError.
func Parse(data []byte, revision uint64) (*Tree, error) {
	var raw rawTree
	if err := yaml.UnmarshalWithOptions(data, &raw, yaml.Strict()); err != nil {
		return nil, &FindingsError{Findings: []Finding{{Path: "$", Reason: err.Error()}}}
	}
	p := &parser{}
	tree := p.tree(&raw, revision)
	if len(p.findings) > 0 {
		return nil, &FindingsError{Findings: p.findings}
	}
	return tree, nil
}

func (p *parser) tree(raw *rawTree, revision uint64) *Tree {
	tree := &Tree{Revision: revision, Firm: raw.Firm}
	tree.Policy = p.policy("policy", DefaultPolicy(), raw.Policy)
	for name, rs := range raw.Services {
		path := "services." + name
		service := Service{Name: name, Number: rs.Number}
		service.Address = p.address(path+".address", rs.Address)
		service.Policy = p.policy(path+".policy", tree.Policy, rs.Policy)
		tree.Services = append(tree.Services, service)
	}
	slices.SortFunc(tree.Services, func(a, b Service) int { return cmp.Compare(a.Number, b.Number) })
	for name, place := range raw.Places {
		tree.Places = append(tree.Places, name)
		p.place(tree, name, &place)
	}
	slices.Sort(tree.Places)
	for i := range tree.Services {
		slices.SortFunc(tree.Services[i].Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Number, b.Number) })
	}
	return tree
}

func (p *parser) place(tree *Tree, name string, raw *rawPlace) {
	for serviceName, ps := range raw.Services {
		path := "places." + name + ".services." + serviceName
		service := tree.ServiceByName(serviceName)
		if service == nil {
			p.add(path, "no such service")
			continue
		}
		base := p.policy("places."+name+".policy", service.Policy, raw.Policy)
		base = p.policy(path+".policy", base, ps.Policy)
		for upstreamName, ru := range ps.Upstreams {
			upath := path + ".upstreams." + upstreamName
			service.Upstreams = append(service.Upstreams, Upstream{
				Name:    upstreamName,
				Place:   name,
				Number:  ru.Number,
				Agent:   p.address(upath+".agent", ru.Agent),
				Peer:    p.address(upath+".peer", ru.Peer),
				URL:     ru.URL,
				Leaving: ru.Leaving,
				Policy:  p.policy(upath+".policy", base, ru.Policy),
			})
		}
	}
}

func (p *parser) address(path, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		p.add(path, "%v", err)
	}
	return address
}

func (p *parser) policy(path string, base Policy, raw rawPolicy) Policy {
	override(&base.Slots, raw.Slots)
	override(&base.Weight, raw.Weight)
	override(&base.QueueLength, raw.QueueLength)
	override(&base.FlowSlack, raw.FlowSlack)
	p.duration(path+".slow_start", &base.SlowStart, raw.SlowStart)
	p.duration(path+".dead_after", &base.DeadAfter, raw.DeadAfter)
	p.duration(path+".reset_after", &base.ResetAfter, raw.ResetAfter)
	p.duration(path+".feed_heartbeat", &base.FeedHeartbeat, raw.FeedHeartbeat)
	p.duration(path+".feed_timeout", &base.FeedTimeout, raw.FeedTimeout)
	p.duration(path+".ticket_lifetime", &base.TicketLifetime, raw.TicketLifetime)
	p.duration(path+".record_lifetime", &base.RecordLifetime, raw.RecordLifetime)
	override(&base.RecordBytes, raw.RecordBytes)
	override(&base.RetryBudget, raw.RetryBudget)
	p.duration(path+".retry_after", &base.RetryAfter, raw.RetryAfter)
	p.duration(path+".drain_timeout", &base.DrainTimeout, raw.DrainTimeout)
	return base
}

func override[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

func (p *parser) duration(path string, target *time.Duration, value *string) {
	if value == nil {
		return
	}
	d, err := time.ParseDuration(*value)
	if err != nil {
		p.add(path, "%v", err)
		return
	}
	*target = d
}
