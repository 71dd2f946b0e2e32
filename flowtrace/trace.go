// Package flowtrace replays traces of flows, changes and failures against the placement of flows,
// and checks the outcomes that each trace states.
//
// The replay drives the decisions themselves: the routes of a balancer and the acceptor of an agent.
// Only the network between them is replaced. Three simpler policies run on the same trace for
// comparison.
package flowtrace

import (
	"io"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// EventKind says what happens in a trace.
type EventKind string

// The kinds of events.
const (
	// Open opens Count flows, evenly over the time Over.
	Open EventKind = "open"
	// AddUpstream puts a new upstream in the settings, Drain marks one as leaving, and
	// RemoveUpstream takes one out.
	AddUpstream    EventKind = "add-upstream"
	Drain          EventKind = "drain"
	RemoveUpstream EventKind = "remove-upstream"
	// Kill ends an upstream, and Freeze stops one for a time.
	Kill   EventKind = "kill"
	Freeze EventKind = "freeze"
	// ReplaceBalancer ends a balancer and starts another one, which remembers nothing.
	ReplaceBalancer EventKind = "replace-balancer"
	// RotateKeys gives every process a new key for connection IDs, one after the other.
	RotateKeys EventKind = "rotate-keys"
	// Partition parts the named places from the others for a time. Packets of callers keep arriving
	// on both sides.
	Partition EventKind = "partition"
)

// Upstream is one server of a service in a trace.
type Upstream struct {
	Number uint32  `yaml:"number"`
	Place  string  `yaml:"place"`
	Weight float64 `yaml:"weight,omitempty"`
	// Address distinguishes VMs; zero takes the number. An address may be reused.
	Address uint32 `yaml:"address,omitempty"`
}

// Service is one service of a trace.
type Service struct {
	Number    uint32     `yaml:"number"`
	Upstreams []Upstream `yaml:"upstreams"`
}

// Event is one line of a trace.
type Event struct {
	At   time.Duration `yaml:"at"`
	Kind EventKind     `yaml:"kind"`
	// Service is the service of an open or an added upstream.
	Service uint32 `yaml:"service,omitempty"`
	// Count flows open over the time Over, and live for Lifetime in the mean; zero lives on.
	Count    int           `yaml:"count,omitempty"`
	Over     time.Duration `yaml:"over,omitempty"`
	Lifetime time.Duration `yaml:"lifetime,omitempty"`
	// Server is the upstream that an event concerns, and Balancer the balancer.
	Server   uint32   `yaml:"server,omitempty"`
	Balancer int      `yaml:"balancer,omitempty"`
	Upstream Upstream `yaml:"upstream,omitempty"`
	// For is how long a freeze, a partition or an opened flow lasts; Lifetime goes before it.
	For    time.Duration `yaml:"for,omitempty"`
	Places []string      `yaml:"places,omitempty"`
	// Lag is the time between the arrivals of a revision at one process and at the next.
	Lag time.Duration `yaml:"lag,omitempty"`
}

// Expectation is the stated outcome of a trace.
type Expectation struct {
	// BrokenByOwner is the largest number of flows that break because their upstream was killed.
	BrokenByOwner int `yaml:"broken_by_owner"`
	// Broken is the largest number of other flows that are reset or sent to another upstream.
	Broken int `yaml:"broken"`
	// TimedOut is the largest number of other flows that end in silence.
	TimedOut int `yaml:"timed_out"`
	// Imbalance is the largest ratio of maximum to mean of the flows of an upstream, over that which
	// established flows force; zero is not checked.
	Imbalance float64 `yaml:"imbalance"`
	// LastAcceptAfterDrain is the latest time at which a leaving upstream accepts a flow.
	LastAcceptAfterDrain time.Duration `yaml:"last_accept_after_drain"`
	// FailedOpens is the largest number of flows that can't be opened.
	FailedOpens int `yaml:"failed_opens"`
}

// Balancer is one balancer of a trace.
type Balancer struct {
	Place string `yaml:"place"`
}

// Trace is a sequence of events and its stated outcome.
type Trace struct {
	Name      string     `yaml:"name"`
	Seed      int64      `yaml:"seed"`
	Services  []Service  `yaml:"services"`
	Balancers []Balancer `yaml:"balancers"`
	// PacketInterval is the time between two packets of a flow.
	PacketInterval time.Duration `yaml:"packet_interval"`
	// SlowStart replaces the default time of a slow start.
	SlowStart time.Duration `yaml:"slow_start,omitempty"`
	// FlowSlack replaces the default ε of the bounded load.
	FlowSlack float64 `yaml:"flow_slack,omitempty"`
	// End is the time at which the trace ends.
	End    time.Duration `yaml:"end"`
	Events []Event       `yaml:"events"`
	Expect Expectation   `yaml:"expect"`
}

// Read reads a trace in YAML.
func Read(r io.Reader) (*Trace, error) {
	t, err := decode(r)
	if err != nil {
		return nil, errors.Annotate(err, "trace")
	}
	if len(t.Services) == 0 || len(t.Balancers) == 0 || t.End <= 0 || t.PacketInterval <= 0 {
		return nil, errors.NotValidf("trace %q without services, balancers, end or packet interval", t.Name)
	}
	return t, nil
}

// decode reads YAML. The library panics on some malformed texts, such as a map with an unknown tag in
// place of a list; that is an error here.
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
