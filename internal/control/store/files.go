package store

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// file is an open file of a data folder.
type file interface {
	io.ReadWriteCloser
	Sync() error
	Truncate(size int64) error
}

// fileSystem is what a data folder needs of the operating system.
type fileSystem interface {
	ReadFile(name string) ([]byte, error)
	OpenFile(name string, flag int) (file, error)
	Rename(from, to string) error
	// SyncFolder makes the names in a folder durable.
	SyncFolder(folder string) error
}

// osFiles is the operating system's file system.
type osFiles struct{}

// ReadFile returns what a file holds.
func (osFiles) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// OpenFile opens a file.
func (osFiles) OpenFile(name string, flag int) (file, error) {
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename gives a file another name.
func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

// SyncFolder makes the names in a folder durable.
func (osFiles) SyncFolder(folder string) (err error) {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return syncAndClose(d)
}

// syncAndClose syncs a file and closes it in any case.
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

// writeFileSynced puts the data under the name so that after a crash either the old or the new file stands whole.
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
