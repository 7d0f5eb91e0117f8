// Package burn counts how requests fare against a service's objective and reports how fast its error budget burns.
package burn
