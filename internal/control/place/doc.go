// Package place decides which upstream should own which slice.
//
// Policies are pure: they see a view of one service and the time, and return operations. Weighted is the one in use;
// the naive ones are kept as baselines for measurement.
package place
