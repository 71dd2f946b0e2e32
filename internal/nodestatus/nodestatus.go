// Package nodestatus defines the state that a process on the users' platform publishes to operators, as variables at
// its operator address.
package nodestatus

import (
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// The names of the variables at /debug/vars.
const (
	// NodeVariable is the name of the variable that holds a Node.
	NodeVariable = "node"
	// ServerVariable is the name of the variable that holds the Server of an agent.
	ServerVariable = "server"
)

// The roles of a process.
const (
	Balancer = "balancer"
	Agent    = "agent"
)

// Node is the identity of a process and its view of the store.
type Node struct {
	// Process identifies the run of the process. It is a string in JSON, because many readers of JSON round large
	// integers.
	Process uint64 `json:"process,string"`
	Role    string `json:"role"`
	VM      string `json:"vm"`
	Place   string `json:"place"`
	// View is nil before the first one.
	View *View `json:"view"`
}

// View describes the view that a process uses.
type View struct {
	Era      uint16 `json:"era"`
	Revision uint64 `json:"revision"`
	// Version is that of the configuration, or zero if there is none.
	Version uint64 `json:"version"`
	// AgeMs is the time since the store is known to have held this state.
	AgeMs       int64        `json:"age_ms"`
	Evacuations []Evacuation `json:"evacuations"`
}

// Evacuation is a request in force that an availability zone gets no new flows.
type Evacuation struct {
	Place string `json:"place"`
	// Era and Revision are those of the request in the store.
	Era      uint16 `json:"era"`
	Revision uint64 `json:"revision"`
	// AgeMs is the time since the request was first seen as a change, or nil if it is not known, because the request
	// was found in a read of the whole state.
	AgeMs *int64 `json:"age_ms"`
}

// Server is the state of the server beside an agent.
type Server struct {
	Service string `json:"service"`
	// Accepting is set if the server takes new flows, apart from evacuation, the cold rate and its load.
	Accepting bool `json:"accepting"`
	// Draining is set if the server drains, or if the store does not list it any more.
	Draining  bool `json:"draining"`
	Evacuated bool `json:"evacuated"`
	Suspect   bool `json:"suspect"`
	// ColdMs is the time until the server is warm, or zero if it is warm. ColdRate is the number of new flows a second
	// that a cold server of the service may get, or zero if there is no limit.
	ColdMs   int64   `json:"cold_ms"`
	ColdRate float64 `json:"cold_rate"`
	// Speed is how fast the server is relative to the median of its service, or zero if that is not known.
	Speed float64 `json:"speed"`
	// Held is the number of requests on open flows that the agent holds until the server has room for them.
	Held int `json:"held"`
	// Busy is the number of requests that are running, waiting or expected.
	Busy  int `json:"busy"`
	Slots int `json:"slots"`
	Flows int `json:"flows"`
	// AgeMs is the time since the agent determined this state.
	AgeMs int64 `json:"age_ms"`
}

// NewView returns the description of a view, or nil if there is none.
func NewView(now time.Duration, view *registry.View) *View {
	if view == nil {
		return nil
	}
	v := &View{
		Era:         view.Revision.Era(),
		Revision:    view.Revision.Number(),
		Version:     view.Version(),
		AgeMs:       (now - view.Confirmed).Milliseconds(),
		Evacuations: make([]Evacuation, 0, len(view.Evacuations)),
	}
	for _, e := range view.Evacuations {
		v.Evacuations = append(v.Evacuations, NewEvacuation(now, e))
	}
	return v
}

// NewEvacuation returns the description of a request.
func NewEvacuation(now time.Duration, e registry.Evacuation) Evacuation {
	described := Evacuation{Place: e.Place, Era: e.Revision.Era(), Revision: e.Revision.Number()}
	if e.Started != 0 {
		age := (now - e.Started).Milliseconds()
		described.AgeMs = &age
	}
	return described
}

// ID returns the revision with its era, in the order of registry.Revision.
func (v *View) ID() registry.Revision {
	return registry.NewRevision(v.Era, v.Revision)
}
