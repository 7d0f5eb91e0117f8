// Package admit limits the number of concurrent requests at an upstream to its announced slots. Requests wait in an admission
// queue, by class and fairly among callers. A request that cannot be answered in time is shed immediately.
package admit
