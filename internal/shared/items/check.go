package items

import (
	"math"
	"strings"
	"time"
)

// maxObjectiveExcess limits how far a route's objective may exceed its timeout. An excess of this much or more is treated as
// a mistake.
const maxObjectiveExcess = time.Minute

// ErrInvalid is returned for an invalid item; the whole call that contains it must be rejected.
type ErrInvalid struct {
	Item   string
	Reason string
}

// Error returns the message.
func (e *ErrInvalid) Error() string { return "item " + e.Item + ": " + e.Reason }

// Check returns an ErrInvalid if the item is invalid, regardless of other items.
func (i Item) Check() error {
	reason := i.fault()
	if reason == "" {
		return nil
	}
	return &ErrInvalid{Item: string(i.Kind) + " " + i.Name, Reason: reason}
}

func (i Item) fault() string {
	switch {
	case i.Name == "" && i.Kind != KindLimits:
		return "the name is empty"
	case i.Removed:
		return ""
	case i.Route != nil && i.Kind == KindRoute:
		return i.Route.fault()
	case i.Service != nil && i.Kind == KindService:
		return i.Service.fault()
	case i.Limits != nil && i.Kind == KindLimits:
		return i.Limits.fault()
	}
	return "the item has no content"
}

func (r *Route) fault() string {
	switch {
	case r.Host == "":
		return "the host is empty"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "the path prefix must begin and end with a slash"
	case r.MaxAttempts <= 0:
		return "the number of attempts must be above 0"
	case r.Timeout <= 0:
		return "the timeout must be above 0"
	case r.Objective < 0:
		return "the objective is below 0"
	case r.Objective-r.Timeout >= maxObjectiveExcess:
		return "the objective is a minute or more above the timeout"
	case len(r.Targets) == 0:
		return "no service is named"
	}
	return r.targetFault()
}

func (r *Route) targetFault() string {
	total := 0.0
	for _, t := range r.Targets {
		switch {
		case t.Service == "":
			return "a service has no name"
		case t.Weight < 0 || math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0):
			return "a weight is below 0 or no number"
		}
		total += t.Weight
	}
	if total <= 0 {
		return "all weights are 0"
	}
	return ""
}

func (s *Service) fault() string {
	switch {
	case s.MaxConnections < 0:
		return "the number of connections is below 0"
	case s.WarmUp < 0:
		return "the warm-up is below 0"
	case s.ColdStart < 0:
		return "the cold start is below 0"
	case !(s.ColdRate >= 0) || math.IsInf(s.ColdRate, 0):
		return "the rate of a cold upstream is below 0 or no number"
	}
	return ""
}

func (l *Limits) fault() string {
	if l.MaxHeaderBytes <= 0 || l.MaxBodyBytes <= 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return "each limit must be above 0"
	}
	return ""
}
