// Package trial measures the pure policies with small stand-ins for load, time and upstreams; each figure it prints
// comes from the run that prints it.
package bench
