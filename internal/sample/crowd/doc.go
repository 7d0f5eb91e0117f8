// Package crowd opens many connections at once that each send a request of legal size, stop just short of its end and stay open.
package crowd
