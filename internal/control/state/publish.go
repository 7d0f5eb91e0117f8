package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Digest returns a checksum over service files, independent of their order.
func Digest(files []conf.File) string {
	ordered := slices.Clone(files)
	slices.SortFunc(ordered, func(a, b conf.File) int { return strings.Compare(a.Name, b.Name) })
	h := sha256.New()
	for _, f := range ordered {
		fmt.Fprintf(h, "%d:%s%d:%s", len(f.Name), f.Name, len(f.Text), f.Text)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// publish accepts or rejects a proposal. The outcome is recorded under the proposal's ID, so that a retry gets the same outcome.
func (s *State) publish(p Publish) Result {
	if known, ok := s.Outcome(p.ID); ok {
		if known.Digest != p.Digest {
			return Result{Rejection: "publish id " + p.ID + " was used for other content"}
		}
		return Result{Outcome: &known}
	}
	if p.ID <= s.outcomeFloor {
		return Result{Rejection: "publish id " + p.ID + " is so old that its outcome is no longer kept; check the version in force and publish anew"}
	}
	o := table.PublishResult{ID: p.ID, Digest: p.Digest, By: p.By}
	services, err := conf.ParseSet(p.Files)
	switch {
	case p.Base != s.config.Version:
		o.Version = s.config.Version
		o.Reason = fmt.Sprintf("version %d by %s is in force, the proposal was made on %d", s.config.Version, s.config.By, p.Base)
	case err != nil:
		o.Version, o.Reason = s.config.Version, err.Error()
	default:
		o.Accepted, o.Version = true, s.index
		s.setConfig(p, services)
	}
	s.recordOutcome(o)
	return Result{Outcome: &o}
}

// recordOutcome records the outcome of a publish and drops the one with the smallest ID if there are too many.
func (s *State) recordOutcome(o table.PublishResult) {
	s.outcomes = append(s.outcomes, o)
	slices.SortFunc(s.outcomes, func(a, b table.PublishResult) int { return strings.Compare(a.ID, b.ID) })
	if len(s.outcomes) > maxOutcomes {
		s.outcomeFloor = s.outcomes[0].ID
		s.outcomes = slices.Clone(s.outcomes[1:])
	}
}

// setConfig puts the files in force. Services that are already known keep their slices and owners, also
// those that the files no longer define.
func (s *State) setConfig(p Publish, services []*conf.Service) {
	s.config = table.Config{Version: s.index, Digest: p.Digest, By: p.By, Files: p.Files}
	s.services = services
	s.version = s.index
	s.addSliceTables(services, 0)
}

// newUnownedSet returns slices without owners. Their fencing token is the current log index, so that later ones are larger.
func (s *State) newUnownedSet(count int) slice.Set {
	unowned := slice.NewSet(count).Slices()
	for i := range unowned {
		unowned[i].Fence = s.index
	}
	set, _ := slice.FromSlices(unowned)
	return set
}
