// Package serve is the HTTP/1.1 server for callers' connections. It reads pipelined requests before earlier ones have a
// response, writes responses in the order of the requests, and cancels handlers when their caller closes the connection.
package serve
