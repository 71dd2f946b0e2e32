// Package flow decides where the packets of opaque flows go.
//
// An opaque flow is known by its two ends alone: the payload belongs to client and server, so the owner of
// a flow can't be read from a packet. A Director decides for a balancer: it places new flows, remembers as a
// bounded hint who took them, and has an agent search for the owner of a flow that it has no hint of. A
// Keeper decides for the agent beside a server, which is the authority on the flows that the server holds.
//
// A search goes along a list of agents that only grows shorter, so it ends. A flow is reset only when every
// server that may hold it has denied it, or when its server is known to be gone; otherwise silence lets the
// client try again. The package is pure: time is passed in, no socket is opened and no goroutine started.
package flow
