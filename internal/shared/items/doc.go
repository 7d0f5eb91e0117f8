// Package items holds the configuration as named items, each with its own version. Removed items are kept with their version,
// so that an older version cannot restore them.
package items
