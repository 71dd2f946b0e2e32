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

// parser converts the raw form of a tree into the typed one and collects findings.
type parser struct {
	findings []Finding
	// serviceNumbers, upstreamNumbers and addresses map each value to the path that uses it first, so
	// that duplicates are found.
	serviceNumbers  map[uint32]string
	upstreamNumbers map[uint32]string
	addresses       map[netip.AddrPort]string
}

func (p *parser) addFinding(path, format string, args ...any) {
	p.findings = append(p.findings, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Parse parses and validates a tree. The error is a *FindingsError with every finding, sorted by
// path. The result depends on the arguments alone, so that all processes accept or reject the same revisions.
func Parse(data []byte, revision uint64) (*Tree, error) {
	root, err := parseDocument(data)
	if err != nil {
		return nil, &FindingsError{Findings: []Finding{syntaxFinding(err)}}
	}
	var raw rawTree
	if err := yaml.NodeToValue(root, &raw); err != nil {
		return nil, &FindingsError{Findings: decodeFindings(root, err)}
	}
	p := &parser{
		serviceNumbers:  make(map[uint32]string),
		upstreamNumbers: make(map[uint32]string),
		addresses:       make(map[netip.AddrPort]string),
	}
	tree := p.tree(&raw, revision)
	p.findings = append(p.findings, unknownFields(root, reflect.TypeFor[rawTree](), "")...)
	if len(p.findings) > 0 {
		return nil, &FindingsError{Findings: locateFindings(root, p.findings)}
	}
	return tree, nil
}

// decodeFindings returns the reasons for which a document can't be decoded into a rawTree.
func decodeFindings(root ast.Node, err error) []Finding {
	typ := reflect.TypeFor[rawTree]()
	findings := typeMismatches(root, typ, "")
	if len(findings) == 0 {
		return []Finding{syntaxFinding(err)}
	}
	return locateFindings(root, append(findings, unknownFields(root, typ, "")...))
}

func (p *parser) tree(raw *rawTree, revision uint64) *Tree {
	tree := &Tree{Revision: revision, Firm: raw.Firm}
	p.checkName("firm", raw.Firm)
	tree.Policy = p.applyPolicy("policy", DefaultPolicy(), raw.Policy)
	if len(raw.Services) == 0 {
		p.addFinding("services", "missing; at least one service is required")
	}
	for _, name := range slices.Sorted(maps.Keys(raw.Services)) {
		tree.Services = append(tree.Services, p.service(name, raw.Services[name], tree.Policy))
	}
	slices.SortFunc(tree.Services, func(a, b Service) int { return cmp.Compare(a.Number, b.Number) })
	for _, name := range slices.Sorted(maps.Keys(raw.Places)) {
		p.checkName("places."+name, name)
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
	p.checkName(path, name)
	p.checkNumber(path+".number", raw.Number, MaxServiceNumber, p.serviceNumbers)
	return Service{
		Name:    name,
		Number:  raw.Number,
		Address: p.parseAddress(path+".address", raw.Address),
		Policy:  p.applyPolicy(path+".policy", base, raw.Policy),
	}
}

func (p *parser) place(tree *Tree, name string, raw rawPlace) {
	// This call only validates the policy, also for a place without services. The loop below applies
	// the policy on top of that of each service.
	p.applyPolicy("places."+name+".policy", tree.Policy, raw.Policy)
	for _, serviceName := range slices.Sorted(maps.Keys(raw.Services)) {
		path := "places." + name + ".services." + serviceName
		service := tree.ServiceByName(serviceName)
		if service == nil {
			p.addFinding(path, "the tree defines no service with this name")
			continue
		}
		base := applyOverrides(service.Policy, raw.Policy)
		p.placeService(service, name, path, base, raw.Services[serviceName])
	}
}

func (p *parser) placeService(service *Service, place, path string, base Policy, raw rawPlaceService) {
	base = p.applyPolicy(path+".policy", base, raw.Policy)
	for _, name := range slices.Sorted(maps.Keys(raw.Upstreams)) {
		upstreamPath := path + ".upstreams." + name
		p.checkName(upstreamPath, name)
		service.Upstreams = append(service.Upstreams, p.upstream(upstreamPath, name, place, base, raw.Upstreams[name]))
	}
}

func (p *parser) upstream(path, name, place string, base Policy, raw rawUpstream) Upstream {
	p.checkNumber(path+".number", raw.Number, MaxUpstreamNumber, p.upstreamNumbers)
	p.checkURL(path+".url", raw.URL)
	return Upstream{
		Name:         name,
		Place:        place,
		Number:       raw.Number,
		AgentAddress: p.parseAddress(path+".agent", raw.Agent),
		PeerAddress:  p.parseAddress(path+".peer", raw.Peer),
		URL:          raw.URL,
		Leaving:      raw.Leaving,
		Policy:       p.applyPolicy(path+".policy", base, raw.Policy),
	}
}
