// Package table defines the routing table that control hosts distribute to entry hosts (upstreams, entry hosts, configuration
// and slices), the immutable view of it that routes requests, and the heartbeat messages of upstreams and entry hosts.
package table
