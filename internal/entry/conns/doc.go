// Package conns sends requests to upstreams and reads the responses over persistent connections. Its errors state for each exchange
// whether the request may have run.
package conns
