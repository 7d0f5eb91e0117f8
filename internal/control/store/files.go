package store

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// writeFileSynced puts the data under the name so that after a crash either the old or the new file stands whole.
func writeFileSynced(folder, name string, data []byte) (err error) {
	defer func() { err = errors.WithMessagef(err, "write %s", name) }()
	temporary := filepath.Join(folder, name+".tmp")
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	if err = f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = os.Rename(temporary, filepath.Join(folder, name)); err != nil {
		return err
	}
	return syncFolder(folder)
}

func syncFolder(folder string) (err error) {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	if err = d.Sync(); err != nil {
		_ = d.Close()
		return err
	}
	return d.Close()
}
