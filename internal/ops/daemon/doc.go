// Package daemon runs an entry host, a control host or both in one process, as the settings require, and stops them gracefully.
package daemon
