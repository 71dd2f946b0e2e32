package settings

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

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

// parser turns the raw form of a tree into the typed one and collects findings on the way.
type parser struct {
	findings []Finding
	// services, upstreams and addresses hold the path that uses each value first.
	services  map[uint32]string
	upstreams map[uint32]string
	addresses map[netip.AddrPort]string
}

func (p *parser) add(path, format string, args ...any) {
	p.findings = append(p.findings, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Parse reads and checks a whole tree. The error is a *FindingsError with every finding, sorted by
// path. The outcome depends on the arguments alone, so that every process decides alike.
func Parse(data []byte, revision uint64) (*Tree, error) {
	root, err := body(data)
	if err != nil {
		return nil, &FindingsError{Findings: []Finding{syntaxFinding(err)}}
	}
	var raw rawTree
	if err := yaml.NodeToValue(root, &raw); err != nil {
		return nil, &FindingsError{Findings: decodeFindings(root, err)}
	}
	p := &parser{
		services:  make(map[uint32]string),
		upstreams: make(map[uint32]string),
		addresses: make(map[netip.AddrPort]string),
	}
	tree := p.tree(&raw, revision)
	p.findings = append(p.findings, unknownFields(root, reflect.TypeFor[rawTree](), "")...)
	if len(p.findings) > 0 {
		return nil, &FindingsError{Findings: located(root, p.findings)}
	}
	return tree, nil
}

// decodeFindings returns why a text can't be decoded into the raw form of a tree.
func decodeFindings(root ast.Node, err error) []Finding {
	kind := reflect.TypeFor[rawTree]()
	findings := mistyped(root, kind, "")
	if len(findings) == 0 {
		return []Finding{syntaxFinding(err)}
	}
	return located(root, append(findings, unknownFields(root, kind, "")...))
}

func (p *parser) tree(raw *rawTree, revision uint64) *Tree {
	tree := &Tree{Revision: revision, Firm: raw.Firm}
	p.name("firm", raw.Firm)
	tree.Policy = p.policy("policy", DefaultPolicy(), raw.Policy)
	if len(raw.Services) == 0 {
		p.add("services", "missing; a tree needs at least one service")
	}
	for _, name := range slices.Sorted(maps.Keys(raw.Services)) {
		tree.Services = append(tree.Services, p.service(name, raw.Services[name], tree.Policy))
	}
	slices.SortFunc(tree.Services, func(a, b Service) int { return cmp.Compare(a.Number, b.Number) })
	for _, name := range slices.Sorted(maps.Keys(raw.Places)) {
		p.name("places."+name, name)
		tree.Places = append(tree.Places, name)
		p.place(tree, name, raw.Places[name])
	}
	for i := range tree.Services {
		slices.SortFunc(tree.Services[i].Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Number, b.Number) })
	}
	return tree
}

func (p *parser) service(name string, raw rawService, base Policy) Service {
	path := "services." + name
	p.name(path, name)
	p.number(path+".number", raw.Number, MaxServiceNumber, p.services)
	return Service{
		Name:    name,
		Number:  raw.Number,
		Address: p.address(path+".address", raw.Address),
		Policy:  p.policy(path+".policy", base, raw.Policy),
	}
}

func (p *parser) place(tree *Tree, name string, raw rawPlace) {
	// The policy of a place stands above each of its services; without services it is still checked.
	p.policy("places."+name+".policy", tree.Policy, raw.Policy)
	for _, serviceName := range slices.Sorted(maps.Keys(raw.Services)) {
		path := "places." + name + ".services." + serviceName
		service := tree.ServiceByName(serviceName)
		if service == nil {
			p.add(path, "no such service")
			continue
		}
		base := apply(service.Policy, raw.Policy)
		p.placeService(service, name, path, base, raw.Services[serviceName])
	}
}

func (p *parser) placeService(service *Service, place, path string, base Policy, raw rawPlaceService) {
	base = p.policy(path+".policy", base, raw.Policy)
	for _, name := range slices.Sorted(maps.Keys(raw.Upstreams)) {
		upstreamPath := path + ".upstreams." + name
		p.name(upstreamPath, name)
		service.Upstreams = append(service.Upstreams, p.upstream(upstreamPath, name, place, base, raw.Upstreams[name]))
	}
}

func (p *parser) upstream(path, name, place string, base Policy, raw rawUpstream) Upstream {
	p.number(path+".number", raw.Number, MaxUpstreamNumber, p.upstreams)
	p.url(path+".url", raw.URL)
	return Upstream{
		Name:         name,
		Place:        place,
		Number:       raw.Number,
		AgentAddress: p.address(path+".agent", raw.Agent),
		PeerAddress:  p.address(path+".peer", raw.Peer),
		URL:          raw.URL,
		Leaving:      raw.Leaving,
		Policy:       p.policy(path+".policy", base, raw.Policy),
	}
}
