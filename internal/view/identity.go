package view

import (
	"time"

	"google.golang.org/protobuf/proto"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// Now returns the time on the clock of Member.LastHeard.
func (v *View) Now() time.Duration {
	return v.now()
}

// Identity returns what this run of this process calls itself. It must not be changed.
func (v *View) Identity() *bramleyv1.Identity {
	return v.identity.Load()
}

// Identify adds the service and the server of an agent, which it learns from the settings, and begins
// the exchange of heartbeats with the other agents of the service.
func (v *View) Identify(service, server uint32) {
	identity := proto.Clone(v.Identity()).(*bramleyv1.Identity)
	identity.Service = service
	identity.Server = server
	v.identity.Store(identity)
	v.post(event{identified: true})
}
