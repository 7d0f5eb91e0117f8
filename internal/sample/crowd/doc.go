// Package crowd opens many connections at once whose requests stop just short of their end and stay open, or exceed what a listener
// accepts, and measures what they cost the process.
package crowd
