// Package pick chooses an upstream for a request that any upstream of a service may answer.
package pick
