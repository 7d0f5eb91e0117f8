package store

import "fmt"

// ErrCorrupt is returned when a file holds damage that a crash cannot have left.
type ErrCorrupt struct {
	File   string
	Offset int
}

// Error returns the message with the remedy.
func (e *ErrCorrupt) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d with whole records behind it; this replica's votes are lost: "+
		"empty the data folder and replace the host with `ebonyrill hosts replace`", e.File, e.Offset)
}

// ErrJoined is returned when a data folder that already belongs to a group is told to join another.
type ErrJoined struct {
	Folder string
}

// Error returns the message.
func (e *ErrJoined) Error() string { return e.Folder + " already belongs to a control group" }
