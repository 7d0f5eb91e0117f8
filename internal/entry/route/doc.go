// Package route holds the table by which an entry host routes, tells which upstream owns a key and which entry host
// queues for it, parks requests whose slice has no owner, and tracks the oldest table that requests in flight were
// sent by.
package route
