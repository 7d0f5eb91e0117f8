// Package deal shares the slots of a service's upstreams among entry hosts: one of them, the dealer, decides who goes where, who
// waits and who is turned away; the requests themselves go straight to their upstream.
package sched
