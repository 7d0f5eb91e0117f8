package conns

import (
	"hash/maphash"
	"slices"
)

// maxExchanges is how many requests a connection carries before it is closed, which bounds what is kept about them.
const maxExchanges = 512

// carried holds hashes of the ids of all requests that a connection has carried. Upstreams may repeat a response late, and the id in it
// names the request but not the connection or the send. A connection therefore carries each id once: a response with the id that arrives
// on it can then only be the one to that send.
type carried struct {
	hashes []uint64
}

// idSeed is the seed of the hashes. Two ids with the same hash only keep a connection from being reused.
var idSeed = maphash.MakeSeed()

// add records that the connection carries a request with the id.
func (l *carried) add(id string) { l.hashes = append(l.hashes, maphash.String(idSeed, id)) }

// allows reports whether the connection may carry a request with the id. A request without one needs an unused connection, as its
// response cannot be told from a late response to another request.
func (l *carried) allows(id string) bool {
	return len(l.hashes) == 0 || id != "" && !slices.Contains(l.hashes, maphash.String(idSeed, id))
}

// full reports whether the connection may carry no more requests.
func (l *carried) full() bool { return len(l.hashes) >= maxExchanges }
