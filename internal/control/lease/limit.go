package lease

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// responseLimit is how many bytes of grants an upstream accepts in one response, zero for no limit. A grant takes perGrant bytes
// besides its fencing token and its handover data.
type responseLimit struct {
	bytes    int
	perGrant int
}

func limitOf(a table.Announcement) responseLimit {
	return responseLimit{bytes: a.GrantsLimit, perGrant: a.GrantBytes}
}

// allows reports whether a response may carry all of the grants.
func (l responseLimit) allows(grants []table.Grant) bool {
	if l.bytes == 0 {
		return true
	}
	total := 0
	for _, g := range grants {
		total += l.length(g)
	}
	return total <= l.bytes
}

// length returns how many bytes a grant takes in a response.
func (l responseLimit) length(g table.Grant) int {
	return l.perGrant + digits(g.Fence) + jsonLength(g.Handover)
}

func digits(number uint64) int { return len(strconv.FormatUint(number, 10)) }

// jsonLength returns the length of a text as a JSON string.
func jsonLength(text string) int {
	if text == "" {
		return len(`""`)
	}
	data, _ := json.Marshal(text) // every string has an encoding
	return len(data)
}

// rangesShare is the share of a response that the ranges of an upstream may fill. The rest is left for handover data.
const rangesShare = 0.75

// maxRanges returns how many separate ranges an upstream may own, with fencing tokens as long as the given one, or zero for no limit.
func (l responseLimit) maxRanges(fence uint64) int {
	if l.bytes == 0 {
		return 0
	}
	return max(int(rangesShare*float64(l.bytes))/l.length(table.Grant{Fence: fence}), 1)
}

// MaxRanges returns how many separate ranges of hashes an upstream may own, or zero for no limit.
func (m *Manager) MaxRanges(s *state.State, number uint32) int {
	l := m.upstreams[number]
	if l == nil {
		return 0
	}
	return l.limit.maxRanges(s.Index())
}

// joinGrants returns the grants in order, with adjacent ones joined if they have the same fencing token.
func joinGrants(grants []table.Grant) (joined []table.Grant) {
	ordered := slices.SortedFunc(slices.Values(grants), func(a, b table.Grant) int { return cmp.Compare(a.From, b.From) })
	for _, g := range ordered {
		if n := len(joined); n > 0 && joined[n-1].Fence == g.Fence && joined[n-1].To+1 == g.From {
			joined[n-1].To = g.To
			continue
		}
		joined = append(joined, g)
	}
	return joined
}
