// Package events defines the numbered log events of the daemons and writes them as lines of JSON; docs/EVENTS.md describes
// each event.
package events
