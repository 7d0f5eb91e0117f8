package conf

import "net/netip"

// requireLoopback adds a fault for a plain-text address that other hosts can reach.
func (s *Settings) requireLoopback(r *reader, key, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().IsLoopback() {
		return
	}
	r.fault(r.lines[place{section: "listen", key: key}], "listen", key, value,
		"a loopback address, or a [tls] section with certificate, key and authority, or [network] trusted = yes")
}
