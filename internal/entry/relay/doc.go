// Package relay forwards callers' requests to the upstream that owns their key and returns the complete response with an
// outcome: done, notRun or unknown.
//
// The entry host that receives a request sends it to the home host of the upstream. The home host queues the request,
// checks that its request id has not been seen before, and forwards it to the upstream with the slice's fencing token.
package relay
