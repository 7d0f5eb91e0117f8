package store

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// file is an open file in the data folder.
type file interface {
	io.ReadWriteCloser
	Sync() error
	Truncate(size int64) error
}

// fileSystem is the set of file operations that a Store uses.
type fileSystem interface {
	ReadFile(name string) ([]byte, error)
	OpenFile(name string, flag int) (file, error)
	Rename(from, to string) error
	// SyncFolder makes file creations and renames in a folder durable.
	SyncFolder(folder string) error
}

// osFiles implements fileSystem with package os.
type osFiles struct{}

// ReadFile returns the content of a file.
func (osFiles) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// OpenFile opens a file; a new one is readable only by its owner.
func (osFiles) OpenFile(name string, flag int) (file, error) {
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename renames a file and replaces one that has the new name.
func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

// SyncFolder makes file creations and renames in a folder durable.
func (osFiles) SyncFolder(folder string) (err error) {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return syncAndClose(d)
}

// syncAndClose syncs a file and closes it, also if the sync fails.
func syncAndClose(f interface {
	Sync() error
	Close() error
}) (err error) {
	if err = f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// writeFileSynced replaces a file atomically and durably: after a crash it has either the old or the new content.
func (s *Store) writeFileSynced(name string, data []byte) (err error) {
	defer func() { err = errors.WithMessagef(err, "write %s", name) }()
	temporary := filepath.Join(s.folder, name+".tmp")
	f, err := s.files.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return err
	}
	if _, err = f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	if err = syncAndClose(f); err != nil {
		return err
	}
	if err = s.files.Rename(temporary, filepath.Join(s.folder, name)); err != nil {
		return err
	}
	return s.files.SyncFolder(s.folder)
}
