// Package guard remembers request ids at the home of an upstream, so that a request sent twice runs at most once.
package dedup
