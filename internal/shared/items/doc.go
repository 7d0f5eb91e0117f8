// Package items holds configuration as named items that each have a version of their own; removals are remembered, so that
// an older item cannot come back.
package items
