// Package clock gives the time since the machine started, including time for which the machine was suspended.
package clock
