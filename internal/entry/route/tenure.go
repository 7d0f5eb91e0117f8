package route

import (
	"sort"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// maxApplied bounds how many versions the time of application is kept for.
const maxApplied = 4096

// applied tells when a version came into force on this host.
type applied struct {
	version uint64
	at      time.Time
}

// tenure remembers since when this host is the home of which upstreams and when each version came into force.
type tenure struct {
	applied []applied
	homes   map[uint32]time.Time
}

func newTenure() tenure { return tenure{homes: map[uint32]time.Time{}} }

func (t *tenure) note(v *table.View, self string, now time.Time) {
	t.applied = append(t.applied, applied{version: v.Version(), at: now})
	if len(t.applied) > maxApplied {
		t.applied = append([]applied(nil), t.applied[1:]...)
	}
	homes := make(map[uint32]time.Time, len(t.homes))
	for number := range v.Upstreams() {
		if home, ok := v.Home(number); !ok || home.Name != self {
			continue
		}
		if since, ok := t.homes[number]; ok {
			homes[number] = since
		} else {
			homes[number] = now
		}
	}
	t.homes = homes
}

// since returns the later of when the fence came into force here and when this host became the upstream's home.
func (t *tenure) since(fence uint64, number uint32) time.Time {
	i := sort.Search(len(t.applied), func(i int) bool { return t.applied[i].version >= fence })
	since := t.homes[number]
	if i < len(t.applied) && t.applied[i].at.After(since) {
		since = t.applied[i].at
	}
	return since
}
