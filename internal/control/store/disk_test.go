package store

import (
	"io"
	"io/fs"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// errCrashed is returned by every operation of a modelDisk after the process has crashed.
var errCrashed = errors.New("process has crashed")

// errDiskFault is returned by a modelDisk that is set to fail operations.
var errDiskFault = errors.New("disk fault")

// chooser decides which of the possible effects a crash, a power loss or a failed write has.
type chooser interface {
	// upTo returns a number from 0 to n.
	upTo(n int) int
}

// write is a change of a file since its last sync. A negative offset sets the file's length to size instead.
type write struct {
	offset int
	size   int
	data   []byte
}

func (w write) apply(content []byte) []byte {
	if w.offset < 0 {
		return resized(content, w.size)
	}
	content = resized(content, max(len(content), w.offset+len(w.data)))
	copy(content[w.offset:], w.data)
	return content
}

// resized returns a copy of the content with the given length, truncated or padded with zeros.
func resized(content []byte, size int) []byte {
	return append(slices.Clone(content[:min(size, len(content))]), make([]byte, max(size-len(content), 0))...)
}

// inode is a file's content: cached as processes read it, durable as it is on disk. pending holds the writes since the last sync,
// which a power loss may drop.
type inode struct {
	cached  []byte
	durable []byte
	pending []write
	// syncFailed is set after a failed sync. The page cache may have marked the pages clean, so that no later sync writes them.
	syncFailed bool
}

// nameChange is the creation or rename of a file since the last sync of the folder.
type nameChange struct {
	from  string
	to    string
	inode *inode
}

func (n nameChange) apply(names map[string]*inode) {
	delete(names, n.from)
	names[n.to] = n.inode
}

// modelDisk simulates a folder on a disk with a page cache. It can crash the process after a number of operations, and can lose
// power. After a power loss, each name change since the last sync is kept or lost, and each write is kept, partial or lost,
// independently of the others.
type modelDisk struct {
	chooser        chooser
	names          map[string]*inode
	durable        map[string]*inode
	pending        []nameChange
	opsBeforeCrash int // negative for no crash
	crashed        bool
	failWrites     bool
	failSyncs      bool   // syncs fail, and later ones of the same file write nothing
	failOpenPath   string // file that cannot be opened
}

func newModelDisk(c chooser) *modelDisk {
	return &modelDisk{chooser: c, names: map[string]*inode{}, durable: map[string]*inode{}, opsBeforeCrash: -1}
}

// step counts an operation and returns the error that it fails with. The operation during which the process crashes may still
// reach the page cache; reached reports that.
func (d *modelDisk) step(change bool) (reached bool, err error) {
	if d.crashed {
		return false, errCrashed
	}
	if d.opsBeforeCrash == 0 {
		d.crashed = true
		return d.chooser.upTo(1) == 1, errCrashed
	}
	d.opsBeforeCrash--
	if change && d.failWrites {
		return false, errDiskFault
	}
	return true, nil
}

// restart starts a new process without faults. The page cache is kept.
func (d *modelDisk) restart() {
	d.crashed, d.failWrites, d.failSyncs, d.opsBeforeCrash = false, false, false, -1
}

// losePower drops all or some of the changes since the last syncs.
func (d *modelDisk) losePower() {
	dropAll := d.chooser.upTo(2) == 0
	d.losePowerKeeping(dropAll, func(nameChange) bool { return !dropAll && d.chooser.upTo(1) == 1 })
}

// losePowerKeeping drops the name changes since the last sync for which kept returns false. If dropWrites is set, it drops all
// writes since the last syncs.
func (d *modelDisk) losePowerKeeping(dropWrites bool, kept func(nameChange) bool) {
	for _, n := range d.pending {
		if kept(n) {
			n.apply(d.durable)
		}
	}
	d.pending = nil
	d.names = map[string]*inode{}
	for name, n := range d.durable {
		d.names[name] = n
	}
	for _, n := range d.names {
		n.losePower(d.chooser, dropWrites)
	}
}

func (n *inode) losePower(c chooser, dropAll bool) {
	for _, w := range n.pending {
		if dropAll {
			break
		}
		switch c.upTo(2) {
		case 0:
			n.durable = w.apply(n.durable)
		case 1:
			if len(w.data) > 0 {
				w.data = w.data[:c.upTo(len(w.data)-1)]
				n.durable = w.apply(n.durable)
			}
		}
	}
	n.cached, n.pending = slices.Clone(n.durable), nil
}

// ReadFile implements fileSystem.
func (d *modelDisk) ReadFile(name string) ([]byte, error) {
	if _, err := d.step(false); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.cached), nil
}

// OpenFile implements fileSystem.
func (d *modelDisk) OpenFile(name string, flag int) (file, error) {
	if name == d.failOpenPath {
		return nil, errDiskFault
	}
	reached, err := d.step(flag&os.O_CREATE != 0)
	n := d.names[name]
	if n == nil && flag&os.O_CREATE == 0 {
		return nil, fs.ErrNotExist
	}
	if n == nil && reached {
		n = &inode{}
		d.names[name] = n
		d.pending = append(d.pending, nameChange{from: name, to: name, inode: n})
	}
	if flag&os.O_TRUNC != 0 && reached {
		n.write(write{offset: -1})
	}
	if err != nil {
		return nil, err
	}
	return &modelFile{disk: d, inode: n}, nil
}

// Rename implements fileSystem.
func (d *modelDisk) Rename(from, to string) error {
	reached, err := d.step(true)
	if reached {
		change := nameChange{from: from, to: to, inode: d.names[from]}
		change.apply(d.names)
		d.pending = append(d.pending, change)
	}
	return err
}

// SyncFolder implements fileSystem.
func (d *modelDisk) SyncFolder(string) error {
	reached, err := d.step(true)
	if reached {
		for _, n := range d.pending {
			n.apply(d.durable)
		}
		d.pending = nil
	}
	return err
}

func (n *inode) write(w write) {
	n.cached = w.apply(n.cached)
	n.pending = append(n.pending, w)
}

// modelFile is an open file of a modelDisk. Writes are appended.
type modelFile struct {
	disk  *modelDisk
	inode *inode
	read  int
}

// Read implements file.
func (f *modelFile) Read(to []byte) (int, error) {
	if f.read >= len(f.inode.cached) {
		return 0, io.EOF
	}
	n := copy(to, f.inode.cached[f.read:])
	f.read += n
	return n, nil
}

// Write implements file. If it fails, a part of the data may have been written.
func (f *modelFile) Write(data []byte) (int, error) {
	reached, err := f.disk.step(true)
	if errors.Is(err, errDiskFault) {
		n := f.disk.chooser.upTo(len(data) - 1)
		f.inode.write(write{offset: len(f.inode.cached), data: slices.Clone(data[:n])})
		return n, err
	}
	if reached {
		f.inode.write(write{offset: len(f.inode.cached), data: slices.Clone(data)})
	}
	return len(data), err
}

// Sync implements file. It makes the content durable, but not the file's name.
func (f *modelFile) Sync() error {
	reached, err := f.disk.step(true)
	if err == nil && f.disk.failSyncs {
		reached, err = false, errDiskFault
	}
	if errors.Is(err, errDiskFault) && f.disk.failSyncs {
		f.inode.syncFailed = true
	}
	if reached && !f.inode.syncFailed {
		f.inode.durable, f.inode.pending = slices.Clone(f.inode.cached), nil
	}
	return err
}

// Truncate implements file.
func (f *modelFile) Truncate(size int64) error {
	reached, err := f.disk.step(true)
	if reached {
		f.inode.write(write{offset: -1, size: int(size)})
	}
	return err
}

// Close implements file.
func (f *modelFile) Close() error { return nil }
