// Package flow makes the forwarding decisions for flows with opaque payloads.
//
// An opaque flow is identified only by its two endpoints. The payload belongs to client and server, so a packet
// does not show which server owns its flow. A Director makes the decisions of a balancer: it assigns new flows to
// agents, caches the owner of each flow in a bounded table of hints, and searches the agents for the owner of a
// flow that has no hint. A Tracker makes the decisions of the agent beside a server, which is authoritative for the
// flows that the server holds.
//
// Each hop of a search shortens the list of agents that are left, so every search terminates. A flow is reset only
// when every server that may hold it has denied it, or when its server is known to be gone; otherwise the packet is
// dropped and the client retries. The package is pure: time is passed in, and it opens no sockets and starts no
// goroutines.
package flow
