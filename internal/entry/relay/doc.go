// Package relay takes callers' requests to the upstream that owns their key and brings the whole answer back with an
// outcome: done, notRun or unknown.
//
// The entry host that a request reaches sends it to the home of the owner, which queues it, checks its id and forwards
// it to the upstream with the slice's fence.
package relay
