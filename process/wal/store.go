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
	// defaultSegmentBytes is when a new segment is begun.
	defaultSegmentBytes = 8 << 20
	// recordBytes is the data of entries above which a batch is split; far
	// below maxRecord, which no reader accepts.
	maxBatchBytes = 8 << 20
)

// Options bound the files.
type Options struct {
	// SegmentBytes is the size at which a new segment is begun; 0 means 8 MiB.
	SegmentBytes int64
}

// State is what the files held when they were opened.
type State struct {
	// Hard is nil when the folder was empty.
	Hard *lilacv1.RaftHardState
	// Snapshot is nil if there is none.
	Snapshot *lilacv1.RaftSnapshotMeta
	// SnapshotData is the state machine's data.
	SnapshotData []byte
	// Entries follow the snapshot without a gap.
	Entries []*lilacv1.RaftEntry
	// TruncatedBytes is the length of the torn tail that was cut; 0 if none.
	TruncatedBytes int64
	// TruncatedFile names the file that was cut.
	TruncatedFile string
}

// Batch is what one Save writes and syncs.
type Batch struct {
	// Hard is nil if it did not change.
	Hard *lilacv1.RaftHardState
	// Entries follow the log, or replace its end from the first one's index on.
	Entries []*lilacv1.RaftEntry
}

type segment struct {
	number uint64
	// last is the largest index of any entry in it.
	last uint64
}

// Store writes the durable files. It is used by one goroutine.
type Store struct {
	folder   Folder
	options  Options
	lock     io.Closer
	file     File
	size     int64
	segments []segment
	hard     *lilacv1.RaftHardState
	snapshot *lilacv1.RaftSnapshotMeta
	// broken is set after a failed sync: what the disk holds is not known.
	fatalErr error
	// Syncs counts syncs of the log.
	Syncs uint64
	// Bytes counts bytes written to the log.
	Bytes uint64
}

func segmentName(number uint64) string { return fmt.Sprintf("log-%016x", number) }

// Open locks the folder, reads its files and cuts a torn tail.
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

// rebase guards against a crash between a snapshot that was installed and the
// record that resets the log to it: the next entry would follow a gap, and the
// start after that would take the log for damaged. It holds because the record
// is made up for before anything else is written.
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

// Save writes and syncs the batch, as one record unless it is very large. After
// DISK_FULL the same batch may be saved again; after any other error the
// process must end.
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

// begin opens the next segment. Its first record repeats the hard state, so
// that older segments can be removed.
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
		// A part of the record may stand there: the next one must not follow it.
		name := segmentName(s.segments[len(s.segments)-1].number)
		if truncateErr := s.folder.Truncate(name, s.size); truncateErr != nil {
			s.fatalErr = fault.Wrap(errors.Join(err, truncateErr), lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "log can't be written nor cut; check the disk and restart the process")
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

// syncFailed guards against a sync that fails once and succeeds when tried
// again although the kernel has dropped the data: an answer would go out for a
// record that is lost. It holds because nothing is written or answered any more.
func (s *Store) syncFailed(err error) error {
	s.fatalErr = fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "sync of the log failed; check the disk and restart the process")
	return s.fatalErr
}

func (s *Store) syncFolder() error {
	if err := s.folder.SyncFolder(); err != nil {
		return s.syncFailed(err)
	}
	return nil
}

// failed types an error of a write that left the files as before.
func (s *Store) writeError(err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL, "disk of the data folder "+s.folder.Path()+" is full; free space there, the process goes on by itself",
			fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	}
	return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "log can't be written; check the disk and restart the process")
}

// Close closes the files and lets other processes in.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	return errors.Join(err, s.lock.Close())
}
