package view

import (
	"time"

	"google.golang.org/protobuf/proto"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// Now returns the time on the clock that Member.LastHeard uses.
func (v *View) Now() time.Duration {
	return v.now()
}

// Identity returns the identity of this run of this process. The caller must not modify it.
func (v *View) Identity() *bramleyv1.Identity {
	return v.identity.Load()
}

// Identify sets the service and server of an agent, which the agent learns from the settings
// tree, and starts heartbeats with the other agents of the service.
func (v *View) Identify(service, server uint32) {
	identity := proto.Clone(v.Identity()).(*bramleyv1.Identity)
	identity.Service = service
	identity.Server = server
	v.identity.Store(identity)
	v.post(event{identityChanged: true})
}
