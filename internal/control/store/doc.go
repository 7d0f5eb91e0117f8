// Package store keeps one replica's part of the replicated state in a data folder: its identity, a log file of
// checksummed records and the newest snapshot.
//
// A file is synced before its name is, and the folder after each create or rename. A torn tail is cut at the last
// whole record; a corrupt record in the middle refuses to open.
package store
