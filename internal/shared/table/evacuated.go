package table

import "ebonyrill.dev/ebonyrill/internal/shared/evac"

// Evacuated reports whether a data centre is out of service; nothing may be sent to its upstreams.
func (v *View) Evacuated(dataCentre string) bool { return v.evacuations.Out(dataCentre) }

// Evacuations returns the data centres out of service; the set is replaced by another one when they change.
func (v *View) Evacuations() *evac.Set { return v.evacuations }

// EvacuatedOf returns the numbers of a service's upstreams that are in data centres out of service, in ascending order.
func (v *View) EvacuatedOf(service string) []uint32 { return v.evacuated[service] }

// AllEvacuated reports whether a service has upstreams and all of them are in data centres out of service.
func (v *View) AllEvacuated(service string) bool {
	out := len(v.evacuated[service])
	return out > 0 && out == len(v.UpstreamsOf(service))
}

// listEvacuated lists the upstreams in data centres out of service, so that requests need not look for them.
func (v *View) listEvacuated() {
	v.evacuated = map[string][]uint32{}
	if v.evacuations.Empty() {
		return
	}
	for service, list := range v.byService {
		for _, u := range list {
			if v.Evacuated(u.DataCentre) {
				v.evacuated[service] = append(v.evacuated[service], u.Number)
			}
		}
	}
}

// applyEvacuations applies the data centres that a delta takes out of service or back. The view keeps only those out of service.
func (v *View) applyEvacuations(d Delta) {
	if !d.Full && len(d.Evacuations) == 0 {
		return
	}
	next := v.evacuations.With(d.Evacuations)
	if d.Full {
		next = evac.NewSet(d.Evacuations)
	}
	v.evacuations = evac.NewSet(next.ListOut())
	v.hostsVersion = v.version
}
