// Package conf parses and validates the settings file of a daemon and the service files, which are kept with each service's
// code.
//
// Parsing reports all faults of a file at once, each with file, line, key, the value found and the values allowed.
package conf
