package store

import "fmt"

// ErrCorrupt is returned if a file is damaged in a way that a crash cannot cause.
type ErrCorrupt struct {
	File   string
	Offset int
}

// Error returns the message, including what the operator has to do.
func (e *ErrCorrupt) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d in a way that a crash cannot cause; this replica's votes are lost: "+
		"empty the data folder and replace the host with `ebonyrill hosts replace`", e.File, e.Offset)
}

// ErrJoined is returned by Bootstrap if the data folder already belongs to a control group.
type ErrJoined struct {
	Folder string
}

// Error returns the message.
func (e *ErrJoined) Error() string { return e.Folder + " already belongs to a control group" }
