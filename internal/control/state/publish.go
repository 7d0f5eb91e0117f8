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

// Digest returns a checksum over service files that does not depend on their order.
func Digest(files []conf.File) string {
	ordered := slices.Clone(files)
	slices.SortFunc(ordered, func(a, b conf.File) int { return strings.Compare(a.Name, b.Name) })
	h := sha256.New()
	for _, f := range ordered {
		fmt.Fprintf(h, "%d:%s%d:%s", len(f.Name), f.Name, len(f.Text), f.Text)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// publish decides a proposal once; a resend of its id finds the outcome again.
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
		s.adoptConfig(p, services)
	}
	s.keepOutcome(o)
	return Result{Outcome: &o}
}

func (s *State) keepOutcome(o table.PublishResult) {
	s.outcomes = append(s.outcomes, o)
	slices.SortFunc(s.outcomes, func(a, b table.PublishResult) int { return strings.Compare(a.ID, b.ID) })
	if len(s.outcomes) > maxOutcomes {
		s.outcomeFloor = s.outcomes[0].ID
		s.outcomes = slices.Clone(s.outcomes[1:])
	}
}

// adoptConfig puts the files in force; a service that stays or was withdrawn keeps its slices and owners.
func (s *State) adoptConfig(p Publish, services []*conf.Service) {
	s.config = table.Config{Version: s.index, Digest: p.Digest, By: p.By, Files: p.Files}
	s.services = services
	s.version = s.index
	s.addTables(services, 0)
}

// freshSet returns slices without owners, with a fence from which all later ones grow.
func (s *State) freshSet(count int) slice.Set {
	fresh := slice.NewSet(count).Slices()
	for i := range fresh {
		fresh[i].Fence = s.index
	}
	set, _ := slice.FromSlices(fresh)
	return set
}
