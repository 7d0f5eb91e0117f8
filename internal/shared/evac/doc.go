// Package evac holds which data centres are out of service, so that nothing new is sent to the upstreams there.
package evac
