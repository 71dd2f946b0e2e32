package options

import (
	"net/netip"
	"strings"
)

// Daemon holds the options that every daemon has.
type Daemon struct {
	// VM and Place name the machine and its availability zone.
	VM    string
	Place string
	// Platform is the base URL of the platform's configuration service.
	Platform string
	// PeerListen is where the process serves its peers.
	PeerListen netip.AddrPort
	// Operator serves metrics and health; the zero value serves none.
	Operator netip.AddrPort
	// Trace names the exporter of traces.
	Trace string

	seeds string
}

// Daemon adds the options that every daemon has.
func (s *Set) Daemon(d *Daemon) {
	s.String(&d.VM, "vm", "", "name of this VM")
	s.String(&d.Place, "place", "", "availability zone of this VM")
	s.String(&d.Platform, "platform", "", "base URL of the platform's configuration service")
	s.AddrPort(&d.PeerListen, "peer-listen", "", "address that this process serves its peers on")
	s.AddrPort(&d.Operator, "operator", "", "address of metrics and health for operators")
	s.String(&d.seeds, "seeds", "", "addresses of peers to ask while the platform is down, separated by commas")
	s.String(&d.Trace, "trace", "none", "exporter of traces: none, stderr or otlp")
	s.Require("vm", "place", "platform", "peer-listen")
}

// Seeds returns the peers to ask for settings while the platform is down.
func (d *Daemon) Seeds() []string {
	return strings.FieldsFunc(d.seeds, func(r rune) bool { return r == ',' })
}
