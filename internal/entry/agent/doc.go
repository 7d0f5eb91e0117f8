// Package agent is an entry host's client of the control leader: it renews the host's lease, forwards the announcements of
// upstreams, and applies new versions of the table.
package agent
