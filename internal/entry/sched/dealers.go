package sched

import (
	"cmp"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// dealers returns the hosts to ask for a part's slots, the first choice first: hosts of the part's data centre, where there are
// any, and last those that said nothing lately. The mutex must be held.
func (o *Node) dealers(now time.Duration, p Subset) (list []Host) {
	if o.cutOff(now) {
		return nil
	}
	list = slices.Clone(o.options.Hosts())
	if p.DataCentre != "" && slices.ContainsFunc(list, func(h Host) bool { return h.DataCentre == p.DataCentre }) {
		list = slices.DeleteFunc(list, func(h Host) bool { return h.DataCentre != p.DataCentre })
	}
	place := p.hash()
	scores := map[string]uint64{}
	for _, h := range list {
		scores[h.Address] = slice.Mix(slice.HashKey(h.Name)^place) >> 1
		if now < o.silent[h.Address] {
			scores[h.Address] |= 1 << 63
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(scores[a.Address], scores[b.Address]) })
	return list[:min(len(list), dealersTried)]
}

// cutOff reports whether so many dealers said nothing lately that this host rather asks nobody; the mutex must be held.
func (o *Node) cutOff(now time.Duration) bool {
	n := 0
	for _, until := range o.silent {
		if now < until {
			n++
		}
	}
	return n >= mostSilent
}
