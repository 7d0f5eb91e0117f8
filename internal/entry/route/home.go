package route

import (
	"sort"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// maxApplied is the number of versions for which the time of application is kept.
const maxApplied = 4096

// applied is the time at which this host applied a version of the table.
type applied struct {
	version uint64
	at      time.Time
}

// homeHistory records since when this host has been the home of each of its upstreams, and when it applied each version of the
// table.
type homeHistory struct {
	applied      []applied
	homeSince    map[uint32]time.Time
	hostsVersion uint64
}

func newHomeHistory() homeHistory { return homeHistory{homeSince: map[uint32]time.Time{}} }

// record adds a version of the table that is applied now.
func (h *homeHistory) record(v *table.View, self string, now time.Time) {
	h.applied = append(h.applied, applied{version: v.Version(), at: now})
	if len(h.applied) > maxApplied {
		h.applied = append([]applied(nil), h.applied[1:]...)
	}
	if h.hostsVersion == v.HostsVersion() {
		return
	}
	h.hostsVersion = v.HostsVersion()
	homes := make(map[uint32]time.Time, len(h.homeSince))
	for number := range v.Upstreams() {
		if home, ok := v.Home(number); !ok || home.Name != self {
			continue
		}
		if since, ok := h.homeSince[number]; ok {
			homes[number] = since
		} else {
			homes[number] = now
		}
	}
	h.homeSince = homes
}

// since returns the time at which the slice's fencing token was applied or this host became the upstream's home, whichever is
// later.
func (h *homeHistory) since(fence uint64, number uint32) time.Time {
	i := sort.Search(len(h.applied), func(i int) bool { return h.applied[i].version >= fence })
	since := h.homeSince[number]
	if i < len(h.applied) && h.applied[i].at.After(since) {
		since = h.applied[i].at
	}
	return since
}
