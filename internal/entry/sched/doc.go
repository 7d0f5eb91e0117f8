// Package sched schedules the slots of a service's upstreams across entry hosts. The upstreams form one or more subsets, each with
// a scheduler on one of the entry hosts, which assigns each request to an upstream, queues it or rejects it. Only the slot requests
// pass through the scheduler: each entry host sends its HTTP requests directly to the assigned upstream.
package sched
