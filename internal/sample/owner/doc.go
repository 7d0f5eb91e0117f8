// Package owner implements a sample upstream for tests and the demonstration. It announces itself to entry hosts, holds
// grants of key ranges with fencing tokens, and responds with its name and the fencing token of the request. It writes
// each request that it runs to a journal, by which tests check that a key has one owner at a time.
package owner
