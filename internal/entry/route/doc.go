// Package route holds an entry host's routing table. It finds the upstream that owns a key and that upstream's home, the entry
// host that queues requests for it. It also parks requests whose slice has no owner, and tracks the oldest table version by which
// requests in flight were routed.
package route
