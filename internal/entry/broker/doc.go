// Package broker answers callers' requests by the configuration items: it finds the route, places the request at an upstream,
// tries again where that is safe and within the budget, and says truthfully whether a request has run.
package broker
