// Package placement decides which upstream a flow belongs to.
//
// Processes that hold the same candidates compute the same ranks, and a connection ID identifies the
// owner of an accepted flow, so a balancer keeps no state per flow. The package is pure: it reads no
// clock and opens no sockets, and each decision takes the current time as an argument.
package placement
