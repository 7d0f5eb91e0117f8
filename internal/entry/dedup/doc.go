// Package dedup deduplicates requests by their ids. It runs at an upstream's home, so that a request sent twice runs at most
// once.
package dedup
