//go:build unix

package store

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// acquireLock locks the data folder against other processes until the store is closed or the process ends.
func (s *Store) acquireLock() (err error) {
	defer func() { err = errors.WithMessage(err, "lock data folder; another process may be using it") }()
	s.lock, err = os.OpenFile(filepath.Join(s.folder, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	return syscall.Flock(int(s.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}
