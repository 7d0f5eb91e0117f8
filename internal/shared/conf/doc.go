// Package conf reads and checks the settings of a daemon and the files kept beside each service's code.
//
// A check reports all faults at once, each with file, line, key, what was found and what is allowed.
package conf
