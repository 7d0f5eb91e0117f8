// Package store persists the Raft state of one replica in a data folder: its identity, a log file of checksummed records, and
// the newest snapshot.
//
// A file is written under a temporary name, synced and renamed; then the folder is synced. A record that a crash left incomplete
// at the end of the log is truncated when the folder is opened. A corrupt record before other records is an error.
package store
