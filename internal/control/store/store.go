package store

import (
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
)

// Names of the files in a data folder.
const (
	identityFile = "identity.json"
	logFile      = "log"
	snapshotFile = "snapshot"
	lockFile     = "lock"
)

// Store is an open data folder; it is not safe for concurrent use.
type Store struct {
	folder   string
	files    fileSystem
	identity identity
	log      file
	lock     *os.File
	logBytes int64
	hard     raft.HardState
	snapshot raft.Snapshot
	tail     []raft.Entry
}

// identity is the content of the identity file.
type identity struct {
	ReplicaID raft.ReplicaID `json:"replicaId"`
	Joined    bool           `json:"joined"`
}

// Open reads the data folder, makes a new identity in an empty one, and cuts a torn tail off the log.
func Open(folder string, newID func() raft.ReplicaID) (s *Store, err error) {
	defer func() { err = errors.WithMessagef(err, "open data folder %s", folder) }()
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	s = &Store{folder: folder, files: osFiles{}}
	if err = s.acquireLock(); err != nil {
		return nil, err
	}
	if err = s.load(newID); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// load reads the identity and, in a folder that has joined, snapshot and log. All that it has read is durable once it
// returns: a process that was killed may have left a record or a name in the page cache only, and the replica is about to
// answer for it.
func (s *Store) load(newID func() raft.ReplicaID) (err error) {
	if err = s.loadIdentity(newID); err != nil {
		return err
	}
	if s.identity.Joined {
		if err = s.loadSnapshot(); err != nil {
			return err
		}
		if err = s.loadLog(); err != nil {
			return err
		}
	}
	if err = s.files.SyncFolder(s.folder); err != nil {
		return err
	}
	return s.finishSnapshot()
}

// Bootstrap makes the folder part of a group that starts from the members; it is refused once the folder has joined.
func (s *Store) Bootstrap(members raft.Members) (err error) {
	defer func() { err = errors.WithMessage(err, "bootstrap") }()
	if s.identity.Joined {
		return &ErrJoined{Folder: s.folder}
	}
	if err = s.writeSnapshot(raft.Snapshot{Index: 1, Term: 1, Members: members}); err != nil {
		return err
	}
	if err = s.rewriteLog(raft.HardState{Term: 1}, nil); err != nil {
		return err
	}
	return s.markJoined()
}

// Join makes the folder part of a group whose state will come by snapshot.
func (s *Store) Join() (err error) {
	defer func() { err = errors.WithMessage(err, "join") }()
	if s.identity.Joined {
		return nil
	}
	if err = s.writeSnapshot(raft.Snapshot{}); err != nil {
		return err
	}
	if err = s.rewriteLog(raft.HardState{}, nil); err != nil {
		return err
	}
	return s.markJoined()
}

// Save appends the entries and the hard state and syncs them; it returns only once they are on disk.
func (s *Store) Save(hard *raft.HardState, entries []raft.Entry) (err error) {
	defer func() { err = errors.WithMessage(err, "append to log") }()
	if hard == nil && len(entries) == 0 {
		return nil
	}
	buffer, err := encodeBatch(batch{Hard: hard, Entries: entries})
	if err != nil {
		return err
	}
	for _, e := range entries {
		s.keep(e)
	}
	if hard != nil {
		s.hard = *hard
	}
	n, err := s.log.Write(buffer)
	s.logBytes += int64(n)
	if err != nil {
		return err
	}
	return s.log.Sync()
}

// RewriteLog puts all that the log holds into a new file. After a refused sync the page cache may count what it covered as written,
// so that a later sync of the same file succeeds and makes nothing durable.
func (s *Store) RewriteLog() (err error) {
	defer func() { err = errors.WithMessage(err, "rewrite log") }()
	return s.rewriteLog(s.hard, s.tail)
}

// SaveSnapshot puts the snapshot on disk and drops the log records that it replaces.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) (err error) {
	defer func() { err = errors.WithMessage(err, "save snapshot") }()
	if err = s.writeSnapshot(snapshot); err != nil {
		return err
	}
	return s.rewriteLog(s.hard, entriesBehind(s.tail, snapshot))
}

// entriesBehind returns the entries that still count behind the snapshot.
func entriesBehind(tail []raft.Entry, snapshot raft.Snapshot) (kept []raft.Entry) {
	for i, e := range tail {
		if e.Index == snapshot.Index && e.Term == snapshot.Term {
			return append(kept, tail[i+1:]...)
		}
	}
	return nil
}

// ID returns the replica's identity.
func (s *Store) ID() raft.ReplicaID { return s.identity.ReplicaID }

// Joined reports whether the folder belongs to a group.
func (s *Store) Joined() bool { return s.identity.Joined }

// HardState returns the newest hard state.
func (s *Store) HardState() raft.HardState { return s.hard }

// Snapshot returns the newest snapshot.
func (s *Store) Snapshot() raft.Snapshot { return s.snapshot }

// Entries returns the entries behind the snapshot.
func (s *Store) Entries() []raft.Entry { return append([]raft.Entry(nil), s.tail...) }

// LogBytes returns the size of the log file.
func (s *Store) LogBytes() int64 { return s.logBytes }

// Close releases the folder.
func (s *Store) Close() (err error) {
	if s.log != nil {
		err = s.log.Close()
	}
	if s.lock != nil {
		_ = s.lock.Close()
	}
	return err
}

// keep mirrors what the file holds: an entry replaces all from its index on.
func (s *Store) keep(e raft.Entry) {
	for len(s.tail) > 0 && s.tail[len(s.tail)-1].Index >= e.Index {
		s.tail = s.tail[:len(s.tail)-1]
	}
	s.tail = append(s.tail, e)
}

func (s *Store) loadIdentity(newID func() raft.ReplicaID) (err error) {
	path := filepath.Join(s.folder, identityFile)
	data, err := s.files.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s.writeIdentity(identity{ReplicaID: newID()})
	}
	if err != nil {
		return err
	}
	if json.Unmarshal(data, &s.identity) != nil || s.identity.ReplicaID == 0 {
		return &ErrCorrupt{File: path}
	}
	return nil
}

func (s *Store) writeIdentity(i identity) (err error) {
	data, err := json.Marshal(i)
	if err != nil {
		return err
	}
	if err = s.writeFileSynced(identityFile, data); err != nil {
		return err
	}
	s.identity = i
	return nil
}

func (s *Store) markJoined() error {
	return s.writeIdentity(identity{ReplicaID: s.identity.ReplicaID, Joined: true})
}

func (s *Store) writeSnapshot(snapshot raft.Snapshot) (err error) {
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return err
	}
	if err = s.writeFileSynced(snapshotFile, appendRecord(nil, recordSnapshot, payload)); err != nil {
		return err
	}
	s.snapshot = snapshot
	return nil
}

func (s *Store) loadSnapshot() (err error) {
	path := filepath.Join(s.folder, snapshotFile)
	data, err := s.files.ReadFile(path)
	if err != nil {
		return err
	}
	r, ok := decodeRecord(data)
	if !ok || cbor.Unmarshal(r.payload, &s.snapshot) != nil {
		return &ErrCorrupt{File: path}
	}
	return nil
}

// rewriteLog replaces the log file by one that holds just the given records.
func (s *Store) rewriteLog(hard raft.HardState, tail []raft.Entry) (err error) {
	buffer, err := encodeBatch(batch{Hard: &hard, Entries: tail})
	if err != nil {
		return err
	}
	if err = s.writeFileSynced(logFile, buffer); err != nil {
		return err
	}
	s.hard, s.tail, s.logBytes = hard, tail, int64(len(buffer))
	return s.openLog()
}

func (s *Store) openLog() (err error) {
	if s.log != nil {
		_ = s.log.Close()
		s.log = nil
	}
	s.log, err = s.files.OpenFile(filepath.Join(s.folder, logFile), os.O_RDWR|os.O_APPEND)
	return err
}

func (s *Store) loadLog() (err error) {
	path := filepath.Join(s.folder, logFile)
	if err = s.openLog(); err != nil {
		return err
	}
	data, err := io.ReadAll(s.log)
	if err != nil {
		return err
	}
	offset := 0
	for offset < len(data) {
		r, ok := decodeRecord(data[offset:])
		if !ok {
			break
		}
		if err = s.replay(r); err != nil {
			return &ErrCorrupt{File: path, Offset: offset}
		}
		offset += r.size
	}
	s.logBytes = int64(offset)
	if offset < len(data) {
		if wholeRecordBehind(data[offset:]) {
			return &ErrCorrupt{File: path, Offset: offset}
		}
		if err = s.log.Truncate(int64(offset)); err != nil {
			return err
		}
	}
	return s.log.Sync()
}

// finishSnapshot rewrites a log that the process had no time to rewrite after it put a snapshot in place. Entries that were
// appended to the old log behind ones that the snapshot has replaced would be dropped with those at the next start. The
// snapshot's name must be durable before: it takes the place of what the log loses.
func (s *Store) finishSnapshot() (err error) {
	if len(s.tail) == 0 || s.tail[0].Index == s.snapshot.Index+1 {
		return nil
	}
	return s.rewriteLog(s.hard, entriesBehind(s.tail, s.snapshot))
}

func (s *Store) replay(r record) (err error) {
	if r.kind != recordBatch {
		return errors.Errorf("unknown record kind %d", r.kind)
	}
	var b batch
	if err = cbor.Unmarshal(r.payload, &b); err != nil {
		return err
	}
	for _, e := range b.Entries {
		s.keep(e)
	}
	if b.Hard != nil {
		s.hard = *b.Hard
	}
	return nil
}
