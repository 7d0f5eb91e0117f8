// Package stats records the statistics of an entry host: load by slice and key, upstreams' responses and failures, request
// outcomes and latencies.
package stats
