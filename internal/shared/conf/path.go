package conf

import "net/url"

// SentPath returns the path of a request as the caller sent it. Escapes are kept, as an escaped slash does not separate segments.
func SentPath(u *url.URL) string {
	if u.RawPath != "" {
		return u.RawPath
	}
	return u.EscapedPath()
}
