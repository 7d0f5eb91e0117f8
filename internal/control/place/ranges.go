package place

// allows reports whether the upstream may own that many more ranges. An upstream at its limit may be given a slice next to its own.
func (u *memberLoad) allows(more int) bool {
	return more <= 0 || u.member.maxRanges == 0 || u.ranges+more <= u.member.maxRanges
}

// rangesGained returns how the number of an upstream's ranges changes if it is given the slice at position i.
func (p *plan) rangesGained(i int, to *memberLoad) int { return 1 - p.neighbours(i, to.member.number) }

// rangesLost returns how the number of ranges of the owner of the slice at position i changes if the slice is taken away.
func (p *plan) rangesLost(i int) int { return p.neighbours(i, p.owners[i]) - 1 }

// neighbours returns how many of the slices next to position i an upstream owns.
func (p *plan) neighbours(i int, owner uint32) (n int) {
	if i > 0 && p.owners[i-1] == owner {
		n++
	}
	if i+1 < len(p.owners) && p.owners[i+1] == owner {
		n++
	}
	return n
}

// receiverOf returns the ready upstream with the lowest load relative to its target that may own the slice at position i. If none may,
// it returns the one with the lowest load.
func (p *plan) receiverOf(i int) *memberLoad {
	least := p.byLoad.first()
	if least.allows(p.rangesGained(i, least)) {
		return least
	}
	var found *memberLoad
	for _, u := range p.ready {
		if u.allows(p.rangesGained(i, u)) && (found == nil || lessLoaded(u, found)) {
			found = u
		}
	}
	if found == nil {
		return least
	}
	return found
}
