package conf

import "net/netip"

// demandLoopback faults a plain-text address that other hosts can reach.
func (s *Settings) demandLoopback(r *reader, key, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().IsLoopback() {
		return
	}
	r.fault(r.lines[place{section: "listen", key: key}], "listen", key, value,
		"a loopback address, or a [tls] section with certificate, key and authority, or [network] trusted = yes")
}
