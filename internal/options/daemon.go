package options

import (
	"net/netip"
	"strings"
)

// Daemon holds the options that all daemons share.
type Daemon struct {
	// VM and Place name the machine and its availability zone.
	VM    string
	Place string
	// Platform is the base URL of the platform's configuration service.
	Platform string
	// PeerListen is the listen address for peers.
	PeerListen netip.AddrPort
	// Operator is the listen address of the metrics and health endpoints. The zero value disables them.
	Operator netip.AddrPort
	// Trace is the name of the trace exporter.
	Trace string

	seeds string
}

// Daemon adds the options that all daemons share. Those without a usable default are required.
func (s *Set) Daemon(d *Daemon) {
	s.String(&d.VM, "vm", "", "name of this VM")
	s.String(&d.Place, "place", "", "availability zone of this VM")
	s.String(&d.Platform, "platform", "", "base URL of the platform's configuration service")
	s.AddrPort(&d.PeerListen, "peer-listen", "", "listen address for peers")
	s.AddrPort(&d.Operator, "operator", "", "listen address of the metrics and health endpoints")
	s.String(&d.seeds, "seeds", "", "comma-separated peer addresses to fetch the settings tree from while the platform is down")
	s.String(&d.Trace, "trace", "none", "trace exporter: none, stderr or otlp")
	s.Require("vm", "place", "platform", "peer-listen")
}

// Seeds returns the addresses of the peers to fetch the settings tree from while the platform is down.
func (d *Daemon) Seeds() []string {
	return strings.FieldsFunc(d.seeds, func(r rune) bool { return r == ',' })
}
