package wal

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// defaultSegmentBytes is the size at which a new segment is started.
	defaultSegmentBytes = 8 << 20
	// maxBatchBytes is the size of entry data above which a batch is split into several
	// records; far below maxRecordBytes, above which records are rejected on reading.
	maxBatchBytes = 8 << 20
)

// Options configures a Store.
type Options struct {
	// SegmentBytes is the size at which a new segment is started; 0 means 8 MiB.
	SegmentBytes int64
}

// State is the content of the files when they were opened.
type State struct {
	// Hard is the last saved hard state; nil if the folder was empty.
	Hard *lilacv1.RaftHardState
	// Snapshot is nil if there is none.
	Snapshot *lilacv1.RaftSnapshotMeta
	// SnapshotData is the state machine's encoded state.
	SnapshotData []byte
	// Entries are those after the snapshot, without gaps.
	Entries []*lilacv1.RaftEntry
	// TruncatedBytes is the length of the torn record removed at the end of the log; 0 if none.
	TruncatedBytes int64
	// TruncatedFile is the name of the truncated file.
	TruncatedFile string
}

// Batch is the data that one Save writes and syncs.
type Batch struct {
	// Hard is nil if it did not change.
	Hard *lilacv1.RaftHardState
	// Entries are appended to the log, or replace its end from the first entry's index on.
	Entries []*lilacv1.RaftEntry
}

type segment struct {
	number uint64
	// last is the greatest index of any entry in the segment.
	last uint64
}

// Store writes the durable files. Except for WriteSnapshot, it is not safe for concurrent
// use.
type Store struct {
	folder   Folder
	options  Options
	lock     io.Closer
	file     File
	size     int64
	segments []segment
	hard     *lilacv1.RaftHardState
	snapshot *lilacv1.RaftSnapshotMeta
	// fatalErr is set after a failed sync or an incomplete write, when the content of the disk
	// is unknown. All later writes return it.
	fatalErr error
	// Syncs counts the syncs of the log.
	Syncs uint64
	// Bytes counts the bytes written to the log.
	Bytes uint64
}

func segmentName(number uint64) string { return fmt.Sprintf("log-%016x", number) }

// Open locks the folder, reads its files and truncates a torn record at the end of the
// log. The caller must Close the Store.
func Open(folder Folder, options Options) (*Store, *State, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	lock, err := folder.Lock()
	if err != nil {
		return nil, nil, err
	}
	s := &Store{folder: folder, options: options, lock: lock}
	state, err := s.load()
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	return s, state, nil
}

func (s *Store) load() (*State, error) {
	r, err := read(s.folder)
	if err != nil {
		return nil, err
	}
	for _, name := range r.unusedFiles {
		if err := s.folder.Remove(name); err != nil {
			return nil, err
		}
	}
	if r.state.TruncatedBytes > 0 && r.truncateTo >= 0 {
		if err := s.folder.Truncate(r.state.TruncatedFile, r.truncateTo); err != nil {
			return nil, err
		}
	}
	s.segments, s.hard, s.snapshot = r.segments, r.state.Hard, r.state.Snapshot
	if n := len(s.segments); n > 0 {
		name := segmentName(s.segments[n-1].number)
		if s.size, err = s.folder.Size(name); err != nil {
			return nil, err
		}
		if s.file, err = s.folder.Append(name); err != nil {
			return nil, err
		}
	}
	if err := s.syncFolder(); err != nil {
		return nil, err
	}
	if err := s.writeBaseRecord(r); err != nil {
		return nil, err
	}
	r.state.Snapshot = withoutRecovered(r.state.Snapshot)
	return r.state, nil
}

// writeBaseRecord writes the record that resets the log to an installed snapshot, if a
// crash prevented it. Without the record the next entry would follow a gap, and a later
// start would report the log as corrupt, so it is written before anything else.
func (s *Store) writeBaseRecord(r *reader) error {
	if !r.needsBaseRecord {
		return nil
	}
	record := &lilacv1.WalRecord{Base: r.state.Snapshot}
	if r.recovered {
		record.Hard = r.state.Hard
	}
	return s.append(record)
}

// Save writes and syncs the batch, as one record unless it is very large. After a
// DISK_FULL error the same batch may be saved again; after any other error the process
// must stop.
func (s *Store) Save(b Batch) error {
	if b.Hard == nil && len(b.Entries) == 0 {
		return nil
	}
	record := &lilacv1.WalRecord{Hard: b.Hard}
	bytes := 0
	for _, entry := range b.Entries {
		if bytes += len(entry.GetData()); bytes > maxBatchBytes && len(record.Entries) > 0 {
			if err := s.append(record); err != nil {
				return err
			}
			record, bytes = &lilacv1.WalRecord{}, len(entry.GetData())
		}
		record.Entries = append(record.Entries, entry)
	}
	return s.append(record)
}

func (s *Store) append(record *lilacv1.WalRecord) error {
	if s.fatalErr != nil {
		return s.fatalErr
	}
	if s.file == nil || s.size >= s.options.SegmentBytes {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	if err := s.write(record); err != nil {
		return err
	}
	if record.GetHard() != nil {
		s.hard = record.GetHard()
	}
	current := &s.segments[len(s.segments)-1]
	for _, entry := range record.GetEntries() {
		current.last = max(current.last, entry.GetIndex())
	}
	return nil
}

// startSegment creates the next segment. Its first record repeats the hard state, so that
// older segments can be removed.
func (s *Store) startSegment() error {
	number := uint64(1)
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	name := segmentName(number)
	file, err := s.folder.Create(name)
	if err != nil {
		return s.writeError(err)
	}
	previous, previousSize := s.file, s.size
	s.file, s.size = file, 0
	s.segments = append(s.segments, segment{number: number})
	err = s.write(&lilacv1.WalRecord{Segment: number, Hard: s.hard})
	if err == nil {
		err = s.syncFolder()
	}
	if err != nil {
		file.Close()
		s.file, s.size = previous, previousSize
		s.segments = s.segments[:len(s.segments)-1]
		return errors.Join(err, s.folder.Remove(name))
	}
	if previous != nil {
		previous.Close()
	}
	return nil
}

func (s *Store) write(record *lilacv1.WalRecord) error {
	b := appendRecord(nil, s.size, marshal(record))
	if _, err := s.file.Write(b); err != nil {
		// Part of the record may have been written; the next one must not follow it.
		name := segmentName(s.segments[len(s.segments)-1].number)
		if truncateErr := s.folder.Truncate(name, s.size); truncateErr != nil {
			s.fatalErr = fault.Wrap(errors.Join(err, truncateErr), lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "log can be neither written nor truncated; check the disk, then restart the process")
			return s.fatalErr
		}
		return s.writeError(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.syncFailed(err)
	}
	s.Syncs++
	s.Bytes += uint64(len(b))
	s.size += int64(len(b))
	return nil
}

// syncFailed makes a failed sync permanent. A repeated sync may succeed although the
// kernel has dropped the data, and a lost record would be acknowledged. Nothing is written
// or acknowledged after the failure.
func (s *Store) syncFailed(err error) error {
	s.fatalErr = fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "sync of the log failed; check the disk, then restart the process")
	return s.fatalErr
}

func (s *Store) syncFolder() error {
	if err := s.folder.SyncFolder(); err != nil {
		return s.syncFailed(err)
	}
	return nil
}

// writeError returns the typed error for a write that left the files unchanged.
func (s *Store) writeError(err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL, "disk of the data folder "+s.folder.Path()+" is full; free space there and the process will continue by itself",
			fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	}
	return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "log can't be written; check the disk, then restart the process")
}

// Close closes the files and releases the folder's lock.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	return errors.Join(err, s.lock.Close())
}
