// Package bramleyrack is a layer-4 load balancer whose balancers hold no flow state.
//
// The coordination library lives in the packages beside this file; the daemons under cmd only wire it.
package bramleyrack
