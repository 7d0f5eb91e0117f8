// Package group runs a control host: it drives the agreement core with its disk, its peers and its clock, and while it
// leads, keeps leases, places slices and answers daemons and operators.
package group
