// Package events is the numbered log of the daemons; docs/EVENTS.md is its catalogue.
package events
