// Package broker handles callers' requests according to the configuration items. It finds the route, selects an upstream, forwards the
// request, and retries it where that is safe and within the retry budget. Its responses state whether the request has run, has not run,
// or may have run.
package broker
