// Package bramleyrack is a layer-4 load balancer whose balancers keep no authoritative state per flow.
//
// The packages beside this file form the coordination library. The daemons under cmd connect it to sockets and
// settings.
package bramleyrack
