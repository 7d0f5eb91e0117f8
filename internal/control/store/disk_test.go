package store

import (
	"io"
	"io/fs"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// errCrashed is what every operation returns once the process has ended.
var errCrashed = errors.New("the process has ended")

// errRefused is what a disk that refuses writes and syncs returns.
var errRefused = errors.New("the disk refuses")

// chance chooses what a crash leaves.
type chance interface {
	// upTo returns a number from 0 to n.
	upTo(n int) int
}

// write is one change of a file since its last sync; a negative offset sets the length to the size.
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

func resized(content []byte, size int) []byte {
	return append(slices.Clone(content[:min(size, len(content))]), make([]byte, max(size-len(content), 0))...)
}

// node is a file's content, as processes see it and as the disk is sure to hold it.
type node struct {
	cached  []byte
	durable []byte
	pending []write
	// dropped tells that a sync failed: the page cache may count what it covered as clean, so that no later sync writes it.
	dropped bool
}

// naming is one change of a name since the folder's last sync.
type naming struct {
	from string
	to   string
	node *node
}

func (n naming) apply(names map[string]*node) {
	delete(names, n.from)
	names[n.to] = n.node
}

// modelDisk is a folder on a disk with a page cache. It ends the process after a number of operations, and may lose power,
// after which each write and each name since the last sync is there, torn or missing, whatever became of the others.
type modelDisk struct {
	chance      chance
	names       map[string]*node
	durable     map[string]*node
	pending     []naming
	left        int
	crashed     bool
	refuses     bool
	refusesSync bool   // syncs alone, and what they covered is dropped
	refused     string // a file that the disk does not open for writing
}

func newModelDisk(c chance) *modelDisk {
	return &modelDisk{chance: c, names: map[string]*node{}, durable: map[string]*node{}, left: -1}
}

// step counts an operation; the one at which the process ends may still reach the page cache.
func (d *modelDisk) step(change bool) (reached bool, err error) {
	if d.crashed {
		return false, errCrashed
	}
	if d.left == 0 {
		d.crashed = true
		return d.chance.upTo(1) == 1, errCrashed
	}
	d.left--
	if change && d.refuses {
		return false, errRefused
	}
	return true, nil
}

// restart begins a new process; the page cache stands.
func (d *modelDisk) restart() { d.crashed, d.refuses, d.refusesSync, d.left = false, false, false, -1 }

// losePower drops what no sync has covered, or some of it.
func (d *modelDisk) losePower() {
	none := d.chance.upTo(2) == 0
	d.losePowerBut(none, func(naming) bool { return !none && d.chance.upTo(1) == 1 })
}

// losePowerBut keeps chosen names that no sync has covered.
func (d *modelDisk) losePowerBut(none bool, kept func(naming) bool) {
	for _, n := range d.pending {
		if kept(n) {
			n.apply(d.durable)
		}
	}
	d.pending = nil
	d.names = map[string]*node{}
	for name, n := range d.durable {
		d.names[name] = n
	}
	for _, n := range d.names {
		n.losePower(d.chance, none)
	}
}

func (n *node) losePower(c chance, none bool) {
	for _, w := range n.pending {
		if none {
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
	if name == d.refused {
		return nil, errRefused
	}
	reached, err := d.step(flag&os.O_CREATE != 0)
	n := d.names[name]
	if n == nil && flag&os.O_CREATE == 0 {
		return nil, fs.ErrNotExist
	}
	if n == nil && reached {
		n = &node{}
		d.names[name] = n
		d.pending = append(d.pending, naming{from: name, to: name, node: n})
	}
	if flag&os.O_TRUNC != 0 && reached {
		n.write(write{offset: -1})
	}
	if err != nil {
		return nil, err
	}
	return &modelFile{disk: d, node: n}, nil
}

// Rename implements fileSystem.
func (d *modelDisk) Rename(from, to string) error {
	reached, err := d.step(true)
	if reached {
		change := naming{from: from, to: to, node: d.names[from]}
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

func (n *node) write(w write) {
	n.cached = w.apply(n.cached)
	n.pending = append(n.pending, w)
}

// modelFile is an open file of a model disk; it appends, as the log does.
type modelFile struct {
	disk *modelDisk
	node *node
	read int
}

// Read implements file.
func (f *modelFile) Read(to []byte) (int, error) {
	if f.read >= len(f.node.cached) {
		return 0, io.EOF
	}
	n := copy(to, f.node.cached[f.read:])
	f.read += n
	return n, nil
}

// Write implements file; a disk that refuses may have taken the beginning.
func (f *modelFile) Write(data []byte) (int, error) {
	reached, err := f.disk.step(true)
	if errors.Is(err, errRefused) {
		n := f.disk.chance.upTo(len(data) - 1)
		f.node.write(write{offset: len(f.node.cached), data: slices.Clone(data[:n])})
		return n, err
	}
	if reached {
		f.node.write(write{offset: len(f.node.cached), data: slices.Clone(data)})
	}
	return len(data), err
}

// Sync implements file; it makes the content durable, though not the name.
func (f *modelFile) Sync() error {
	reached, err := f.disk.step(true)
	if err == nil && f.disk.refusesSync {
		reached, err = false, errRefused
	}
	if errors.Is(err, errRefused) && f.disk.refusesSync {
		f.node.dropped = true
	}
	if reached && !f.node.dropped {
		f.node.durable, f.node.pending = slices.Clone(f.node.cached), nil
	}
	return err
}

// Truncate implements file.
func (f *modelFile) Truncate(size int64) error {
	reached, err := f.disk.step(true)
	if reached {
		f.node.write(write{offset: -1, size: int(size)})
	}
	return err
}

// Close implements file.
func (f *modelFile) Close() error { return nil }
