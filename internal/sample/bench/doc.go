// Package bench produces the tables of measurements. It simulates the placement and admission policies with synthetic
// load, time and upstreams, and measures the cost of lookups, tables, logs, renewals and forwarding in this process. Each
// figure comes from the run that prints it.
package bench
