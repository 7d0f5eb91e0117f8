// Package serve takes callers' HTTP/1.1 connections: it reads requests ahead of their answers, answers in the order of the
// requests, and tells handlers when a caller has gone.
package serve
