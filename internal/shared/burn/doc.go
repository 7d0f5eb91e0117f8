// Package burn counts good and bad requests against each service's service-level objective and reports burn rates, the rates
// at which the error budgets are used up.
package burn
