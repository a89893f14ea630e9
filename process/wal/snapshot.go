package wal

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	// snapshotPartBytes is the size of the state machine's data in one record of a snapshot.
	snapshotPartBytes = 4 << 20
)

func snapshotName(meta *lilacv1.RaftSnapshotMeta) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, meta.GetIndex(), meta.GetTerm())
}

// InstallSnapshot writes a snapshot received from the leader and resets the log to it.
func (s *Store) InstallSnapshot(meta *lilacv1.RaftSnapshotMeta, data []byte) error {
	return s.installSnapshot(&lilacv1.WalRecord{Base: meta}, data)
}

// installSnapshot writes and publishes the snapshot that is the record's base, then writes
// the record.
func (s *Store) installSnapshot(record *lilacv1.WalRecord, data []byte) error {
	meta := record.GetBase()
	if s.fatalErr != nil {
		return s.fatalErr
	}
	if err := s.WriteSnapshot(meta, data); err != nil {
		return err
	}
	if err := s.renameSnapshot(meta); err != nil {
		return err
	}
	if err := s.append(record); err != nil {
		return err
	}
	return s.removeSegments(meta.GetIndex())
}

// WriteSnapshot writes a snapshot under a temporary name, which the next start removes: a
// crash leaves either the old snapshot or the new one, never a torn one. It accesses no
// other state of the Store, so it may be called from another goroutine while the log is
// written. After success the caller calls PublishSnapshot or DiscardSnapshot; after an
// error neither is needed.
func (s *Store) WriteSnapshot(meta *lilacv1.RaftSnapshotMeta, data []byte) error {
	name := snapshotName(meta)
	file, err := s.folder.Create(name + tempSuffix)
	if err != nil {
		return s.writeError(err)
	}
	if err := writeParts(file, meta, data); err != nil {
		file.Close()
		_ = s.folder.Remove(name + tempSuffix)
		return s.writeError(err)
	}
	err = file.Sync()
	file.Close()
	if err != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "sync of a snapshot failed; check the disk, then restart the process")
	}
	return nil
}

// DiscardSnapshot removes a written snapshot that is no longer needed.
func (s *Store) DiscardSnapshot(meta *lilacv1.RaftSnapshotMeta) error {
	return s.folder.Remove(snapshotName(meta) + tempSuffix)
}

// PublishSnapshot makes a written snapshot of the local state the newest one and removes
// what it supersedes, except segments that hold an entry after keep.
func (s *Store) PublishSnapshot(meta *lilacv1.RaftSnapshotMeta, keep uint64) error {
	if err := s.renameSnapshot(meta); err != nil {
		return err
	}
	return s.removeSegments(min(keep, meta.GetIndex()))
}

func (s *Store) renameSnapshot(meta *lilacv1.RaftSnapshotMeta) error {
	if s.fatalErr != nil {
		return s.fatalErr
	}
	name := snapshotName(meta)
	if err := s.folder.Rename(name+tempSuffix, name); err != nil {
		return s.writeError(err)
	}
	if err := s.syncFolder(); err != nil {
		return err
	}
	old := s.snapshot
	s.snapshot = meta
	if old != nil && snapshotName(old) != name {
		return s.folder.Remove(snapshotName(old))
	}
	return nil
}

// writeParts writes the metadata and then the data in records of bounded size.
func writeParts(file File, meta *lilacv1.RaftSnapshotMeta, data []byte) error {
	record := appendRecord(nil, 0, marshal(meta))
	offset := int64(0)
	for {
		if _, err := file.Write(record); err != nil {
			return err
		}
		if len(data) == 0 {
			return nil
		}
		offset += int64(len(record))
		n := min(len(data), snapshotPartBytes)
		record = appendRecord(record[:0], offset, data[:n])
		data = data[n:]
	}
}

// removeSegments removes the oldest segments whose entries all have indexes up to index.
func (s *Store) removeSegments(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].last <= index {
		if err := s.folder.Remove(segmentName(s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Snapshot returns the metadata of the newest snapshot; nil if there is none.
func (s *Store) Snapshot() *lilacv1.RaftSnapshotMeta { return s.snapshot }

// ReadSnapshot returns up to n bytes of the newest snapshot's data, starting at offset. It
// may return fewer before the end of the data.
func (s *Store) ReadSnapshot(offset uint64, n int) ([]byte, error) {
	within := offset % snapshotPartBytes
	n = min(n, int(s.snapshot.GetSize()-offset), int(snapshotPartBytes-within))
	start := headerSize + uint64(len(marshal(s.snapshot)))
	start += offset / snapshotPartBytes * (headerSize + snapshotPartBytes)
	return s.folder.ReadAt(snapshotName(s.snapshot), int64(start+headerSize+within), n)
}

func readSnapshot(folder Folder, name string) (*lilacv1.RaftSnapshotMeta, []byte, error) {
	size, err := folder.Size(name)
	if err != nil {
		return nil, nil, err
	}
	b, err := folder.ReadAt(name, 0, int(size))
	if err != nil {
		return nil, nil, err
	}
	meta := &lilacv1.RaftSnapshotMeta{}
	head := recordAt(b, 0)
	if head == nil || proto.Unmarshal(head, meta) != nil || snapshotName(meta) != name {
		return nil, nil, corruptionError(folder, name, 0, "the snapshot's metadata is corrupt")
	}
	offset := headerSize + len(head)
	data := make([]byte, 0, meta.GetSize())
	for uint64(len(data)) < meta.GetSize() {
		part := recordAt(b, offset)
		if part == nil {
			return nil, nil, corruptionError(folder, name, int64(offset), "the snapshot's data is corrupt")
		}
		data = append(data, part...)
		offset += headerSize + len(part)
	}
	return meta, data, nil
}

// Report describes a data folder for operators.
type Report struct {
	// Empty is set if the process never ran or lost its disk.
	Empty bool
	// ID is the process's identity in the group and Group the group's ID.
	ID, Group string
	Term      uint64
	Vote      string
	// Former lists the groups that this one replaced by a recovery, oldest first.
	Former []string
	// ReplacedBy is the recovered group that replaced this one; if set, the folder can no
	// longer be used.
	ReplacedBy string
	// SnapshotIndex is 0 if there is no snapshot.
	SnapshotIndex uint64
	SnapshotBytes uint64
	// FirstIndex and LastIndex delimit the entries after the snapshot; 0 if there are none.
	FirstIndex, LastIndex uint64
	LastTerm              uint64
	Segments, Records     int
	// TornBytes is the length of the torn record that the next start would truncate.
	TornBytes int64
	// Unfinished lists incomplete files left by a crash; the next start removes them.
	Unfinished []string
	// Members is the latest membership in the snapshot and the entries after it.
	Members []*lilacv1.RaftMember
}

// Inspect reads a data folder without changing it; it may be used while the process runs.
// If the files are corrupt, the error wraps a CorruptionError.
func Inspect(folder Folder) (*Report, error) {
	r, err := read(folder)
	if err != nil {
		if _, listErr := folder.List(); listErr != nil {
			return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "data folder can't be read; check its path and permissions")
		}
		return nil, err
	}
	s := r.state
	report := &Report{Empty: s.Hard == nil, ID: s.Hard.GetId(), Group: s.Hard.GetGroup(), Term: s.Hard.GetTerm(), Vote: s.Hard.GetVote(),
		Former: s.Hard.GetFormer(), ReplacedBy: s.Hard.GetReplacedBy(),
		SnapshotIndex: s.Snapshot.GetIndex(), SnapshotBytes: s.Snapshot.GetSize(), Segments: len(r.segments), Records: r.records,
		TornBytes: s.TruncatedBytes, Members: s.Snapshot.GetMembers().GetMembers()}
	for _, name := range r.unusedFiles {
		if strings.HasSuffix(name, tempSuffix) {
			report.Unfinished = append(report.Unfinished, name)
		}
	}
	for _, entry := range s.Entries {
		if entry.GetKind() == lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS {
			members := &lilacv1.RaftMembers{}
			if proto.Unmarshal(entry.GetData(), members) == nil {
				report.Members = members.GetMembers()
			}
		}
	}
	if n := len(s.Entries); n > 0 {
		report.FirstIndex, report.LastIndex = s.Entries[0].GetIndex(), s.Entries[n-1].GetIndex()
		report.LastTerm = s.Entries[n-1].GetTerm()
	}
	return report, nil
}
