package broker

import (
	"slices"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// errOutOfService is the cause of a request that was not sent because the data centre of its upstream was taken out of service meanwhile.
var errOutOfService = errors.New("upstream is in a data centre out of service")

// closeEvacuated closes the upstreams in data centres out of service for the scheduler.
func closeEvacuated(v *table.View, list []sched.Upstream) []sched.Upstream {
	for i := range list {
		list[i].Closed = v.Evacuated(list[i].DataCentre)
	}
	return list
}

// evacuationsChanged reports whether data centres were taken out of service or back since a view.
func (b *Broker) evacuationsChanged(since *table.View) bool {
	return b.options.Table.View().Evacuations() != since.Evacuations()
}

// union returns the numbers that are in either list, sorted.
func union(a, b []uint32) []uint32 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
