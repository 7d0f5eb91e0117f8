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

// Names of the files in the data folder.
const (
	identityFile = "identity.json"
	logFile      = "log"
	snapshotFile = "snapshot"
	lockFile     = "lock"
)

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	folder    string
	files     fileSystem
	identity  identity
	log       file
	lock      *os.File
	logBytes  int64
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry // log entries after the snapshot
}

// identity is the content of the identity file.
type identity struct {
	ReplicaID raft.ReplicaID `json:"replicaId"`
	Joined    bool           `json:"joined"`
}

// Open locks and reads the data folder. It creates the folder if it does not exist, writes a new replica ID to an empty one, and
// truncates an incomplete record at the end of the log. It returns ErrCorrupt if a file is damaged otherwise.
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

// load reads the identity and, if the folder belongs to a group, the snapshot and the log. It syncs what it has read: a process
// that was killed may have left a record or a file name only in the page cache, and the replica is about to vote and acknowledge
// entries based on it.
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

// Bootstrap initializes the folder for a new group with the given members. It returns ErrJoined if the folder already belongs
// to a group.
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

// Join initializes the folder for an existing group, from whose leader the replica receives a snapshot. It does nothing if the
// folder already belongs to a group.
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

// Save appends the hard state, unless it is nil, and the entries to the log. They are durable when Save returns without an error.
func (s *Store) Save(hard *raft.HardState, entries []raft.Entry) (err error) {
	defer func() { err = errors.WithMessage(err, "append to log") }()
	if hard == nil && len(entries) == 0 {
		return nil
	}
	buffer, err := encodeBatch(batch{HardState: hard, Entries: entries})
	if err != nil {
		return err
	}
	for _, e := range entries {
		s.appendEntry(e)
	}
	if hard != nil {
		s.hardState = *hard
	}
	n, err := s.log.Write(buffer)
	s.logBytes += int64(n)
	if err != nil {
		return err
	}
	return s.log.Sync()
}

// RewriteLog writes the log to a new file. It is needed after a failed sync: the page cache may have marked the pages clean, so
// that a later sync of the same file succeeds without writing them.
func (s *Store) RewriteLog() (err error) {
	defer func() { err = errors.WithMessage(err, "rewrite log") }()
	return s.rewriteLog(s.hardState, s.entries)
}

// SaveSnapshot writes the snapshot durably and removes the log entries that it covers.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) (err error) {
	defer func() { err = errors.WithMessage(err, "save snapshot") }()
	if err = s.writeSnapshot(snapshot); err != nil {
		return err
	}
	return s.rewriteLog(s.hardState, entriesAfter(s.entries, snapshot))
}

// entriesAfter returns the entries that follow the snapshot's last entry. It returns none if the log does not contain that entry.
func entriesAfter(entries []raft.Entry, snapshot raft.Snapshot) (kept []raft.Entry) {
	for i, e := range entries {
		if e.Index == snapshot.Index && e.Term == snapshot.Term {
			return append(kept, entries[i+1:]...)
		}
	}
	return nil
}

// ID returns the replica's ID.
func (s *Store) ID() raft.ReplicaID { return s.identity.ReplicaID }

// Joined reports whether the folder belongs to a group.
func (s *Store) Joined() bool { return s.identity.Joined }

// HardState returns the newest hard state.
func (s *Store) HardState() raft.HardState { return s.hardState }

// Snapshot returns the newest snapshot.
func (s *Store) Snapshot() raft.Snapshot { return s.snapshot }

// Entries returns a copy of the log entries after the snapshot.
func (s *Store) Entries() []raft.Entry { return append([]raft.Entry(nil), s.entries...) }

// LogBytes returns the size of the log file in bytes.
func (s *Store) LogBytes() int64 { return s.logBytes }

// Close closes the log and unlocks the folder.
func (s *Store) Close() (err error) {
	if s.log != nil {
		err = s.log.Close()
	}
	if s.lock != nil {
		_ = s.lock.Close()
	}
	return err
}

// appendEntry appends an entry to the copy of the log in memory. It replaces all entries from its index on.
func (s *Store) appendEntry(e raft.Entry) {
	for len(s.entries) > 0 && s.entries[len(s.entries)-1].Index >= e.Index {
		s.entries = s.entries[:len(s.entries)-1]
	}
	s.entries = append(s.entries, e)
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

// markJoined records durably that the folder belongs to a group.
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

// rewriteLog replaces the log file by one that holds only the given hard state and entries.
func (s *Store) rewriteLog(hard raft.HardState, entries []raft.Entry) (err error) {
	buffer, err := encodeBatch(batch{HardState: &hard, Entries: entries})
	if err != nil {
		return err
	}
	if err = s.writeFileSynced(logFile, buffer); err != nil {
		return err
	}
	s.hardState, s.entries, s.logBytes = hard, entries, int64(len(buffer))
	return s.openLog()
}

// openLog opens the log file for reading and appending, and closes the previous one.
func (s *Store) openLog() (err error) {
	if s.log != nil {
		_ = s.log.Close()
		s.log = nil
	}
	s.log, err = s.files.OpenFile(filepath.Join(s.folder, logFile), os.O_RDWR|os.O_APPEND)
	return err
}

// loadLog reads the log and truncates an incomplete record at its end.
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
		if hasLaterRecord(data[offset:]) {
			return &ErrCorrupt{File: path, Offset: offset}
		}
		if err = s.log.Truncate(int64(offset)); err != nil {
			return err
		}
	}
	return s.log.Sync()
}

// finishSnapshot rewrites the log if the process ended in SaveSnapshot between writing the snapshot and rewriting the log.
// Entries appended to the old log after ones that the snapshot covers would be dropped together with those at the next start.
// The rename of the snapshot must be durable before: the snapshot replaces the entries that the log loses.
func (s *Store) finishSnapshot() (err error) {
	if len(s.entries) == 0 || s.entries[0].Index == s.snapshot.Index+1 {
		return nil
	}
	return s.rewriteLog(s.hardState, entriesAfter(s.entries, s.snapshot))
}

// replay applies a log record to the copy of the log in memory.
func (s *Store) replay(r record) (err error) {
	if r.kind != recordBatch {
		return errors.Errorf("unknown record kind %d", r.kind)
	}
	var b batch
	if err = cbor.Unmarshal(r.payload, &b); err != nil {
		return err
	}
	for _, e := range b.Entries {
		s.appendEntry(e)
	}
	if b.HardState != nil {
		s.hardState = *b.HardState
	}
	return nil
}
