// Package balancer forwards datagrams between callers and the agents of a service.
//
// It keeps no state per flow: the connection ID identifies the owner of an established flow, and a
// new flow goes to the agent that ranks first according to the settings. One goroutine per service
// reads from callers, one goroutine reads from agents, and one maintains the routing table, which
// the others read without locks.
package balancer
