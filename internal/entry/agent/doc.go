// Package follow keeps an entry host in touch with the control leader: it renews the host's lease, passes on the
// announcements of upstreams, and takes in new versions of the table.
package agent
