// Package tally counts what an entry host sees: load by slice and key, upstreams' failures, outcomes and latencies.
package stats
