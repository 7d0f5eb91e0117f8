// Package daemon puts an entry host and, where settings give a data folder, a control host together in one process and
// stops them in order.
package daemon
