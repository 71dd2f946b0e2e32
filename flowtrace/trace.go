// Package flowtrace replays traces of flows, configuration changes and failures in virtual time against the placement
// of flows, and checks the outcome that each trace expects.
//
// The replay runs the production decision logic: the router of a balancer and the acceptor of an agent. Only the
// network between them is simulated. Three simpler policies run on the same trace as baselines.
package flowtrace

import (
	"io"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// EventKind is the type of an event in a trace.
type EventKind string

// The kinds of events.
const (
	// Open opens Count flows, evenly spaced over the time Over.
	Open EventKind = "open"
	// AddUpstream adds an upstream to the settings, Drain marks one as leaving, and RemoveUpstream removes one.
	AddUpstream    EventKind = "add-upstream"
	Drain          EventKind = "drain"
	RemoveUpstream EventKind = "remove-upstream"
	// Kill terminates an upstream, and Freeze pauses one for a time.
	Kill   EventKind = "kill"
	Freeze EventKind = "freeze"
	// ReplaceBalancer replaces a balancer with a new process, which starts without the state of the old one.
	ReplaceBalancer EventKind = "replace-balancer"
	// RotateKeys distributes a new key for connection IDs to all processes, one after the other.
	RotateKeys EventKind = "rotate-keys"
	// Partition cuts the named places off from the others for a time. Packets from callers still reach both sides.
	Partition EventKind = "partition"
)

// Upstream describes one server of a service.
type Upstream struct {
	Number uint32  `yaml:"number"`
	Place  string  `yaml:"place"`
	Weight float64 `yaml:"weight,omitempty"`
	// Address identifies the VM; zero means Number. A later upstream may reuse the address.
	Address uint32 `yaml:"address,omitempty"`
}

// Service describes one service of a trace.
type Service struct {
	Number    uint32     `yaml:"number"`
	Upstreams []Upstream `yaml:"upstreams"`
}

// Event is a batch of new flows, a planned change or a failure at one time.
type Event struct {
	At   time.Duration `yaml:"at"`
	Kind EventKind     `yaml:"kind"`
	// Service is the number of the service that flows are opened to or that an upstream is added to.
	Service uint32 `yaml:"service,omitempty"`
	// Count flows are opened over the time Over. Their lifetimes are exponentially distributed with the mean Lifetime.
	// If Lifetime and For are zero, the flows stay open until the trace ends.
	Count    int           `yaml:"count,omitempty"`
	Over     time.Duration `yaml:"over,omitempty"`
	Lifetime time.Duration `yaml:"lifetime,omitempty"`
	// Server is the number of the upstream that an event applies to, and Balancer the index of the balancer.
	Server   uint32   `yaml:"server,omitempty"`
	Balancer int      `yaml:"balancer,omitempty"`
	Upstream Upstream `yaml:"upstream,omitempty"`
	// For is the duration of a freeze, a partition or an opened flow. Lifetime takes precedence for flows.
	For    time.Duration `yaml:"for,omitempty"`
	Places []string      `yaml:"places,omitempty"`
	// Lag is the delay between one process and the next in the rollout of a revision or a key.
	Lag time.Duration `yaml:"lag,omitempty"`
}

// Expectation is the expected outcome of a trace.
type Expectation struct {
	// BrokenByOwner is the maximum number of flows that break because their upstream was killed.
	BrokenByOwner int `yaml:"broken_by_owner"`
	// Broken is the maximum number of other flows that are reset or sent to another upstream.
	Broken int `yaml:"broken"`
	// TimedOut is the maximum number of other flows that exceed the idle timeout.
	TimedOut int `yaml:"timed_out"`
	// Imbalance is the upper limit of Result.ImbalanceExcess: the ratio of the maximum to the mean number of flows of
	// an upstream, divided by the ratio that flows established earlier impose. Zero disables the check.
	Imbalance float64 `yaml:"imbalance"`
	// LastAcceptAfterDrain is the maximum time after a drain at which the leaving upstream accepts a flow.
	LastAcceptAfterDrain time.Duration `yaml:"last_accept_after_drain"`
	// FailedOpens is the maximum number of flows that fail to open.
	FailedOpens int `yaml:"failed_opens"`
}

// Balancer describes one balancer of a trace.
type Balancer struct {
	Place string `yaml:"place"`
}

// Trace is a sequence of events with its expected outcome.
type Trace struct {
	Name      string     `yaml:"name"`
	Seed      int64      `yaml:"seed"`
	Services  []Service  `yaml:"services"`
	Balancers []Balancer `yaml:"balancers"`
	// PacketInterval is the time between two packets of an established flow.
	PacketInterval time.Duration `yaml:"packet_interval"`
	// SlowStart overrides the default duration of the slow start.
	SlowStart time.Duration `yaml:"slow_start,omitempty"`
	// FlowSlack overrides the default ε of the load bound, placement.AcceptorConfig.Slack.
	FlowSlack float64 `yaml:"flow_slack,omitempty"`
	// End is the time at which the replay stops.
	End    time.Duration `yaml:"end"`
	Events []Event       `yaml:"events"`
	Expect Expectation   `yaml:"expect"`
}

// Read reads a trace in YAML. Unknown fields are an error.
func Read(r io.Reader) (*Trace, error) {
	t, err := decode(r)
	if err != nil {
		return nil, errors.Annotate(err, "trace")
	}
	if len(t.Services) == 0 || len(t.Balancers) == 0 || t.End <= 0 || t.PacketInterval <= 0 {
		return nil, errors.NotValidf("trace %q with no services, no balancers, or an end or packet interval that is not positive", t.Name)
	}
	return t, nil
}

// decode reads YAML. The library panics on some malformed input, such as a map with an unknown tag in place of a list;
// decode returns an error instead.
func decode(r io.Reader) (t *Trace, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("malformed YAML: %v", p)
		}
	}()
	t = &Trace{}
	err = yaml.NewDecoder(r, yaml.Strict()).Decode(t)
	return t, err
}
