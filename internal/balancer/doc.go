// Package balancer forwards the datagrams of callers to the agents of a service and theirs back.
//
// It keeps no memory of flows: the connection ID names the owner of a flow, and ranks computed from
// the settings place a new one. One goroutine for each service reads from callers, one reads from
// agents, and one keeps the table of routes that both read without locks.
package balancer
