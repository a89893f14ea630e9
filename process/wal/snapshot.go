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
	// snapshotPart is the state machine's data in one record, in bytes.
	snapshotPartBytes = 4 << 20
)

func snapshotName(meta *lilacv1.RaftSnapshotMeta) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, meta.GetIndex(), meta.GetTerm())
}

// InstallSnapshot writes a snapshot that came from the leader and gives up the
// log before it.
func (s *Store) InstallSnapshot(meta *lilacv1.RaftSnapshotMeta, data []byte) error {
	return s.installSnapshot(&lilacv1.WalRecord{Base: meta}, data)
}

// install places the snapshot that the record begins the log anew with.
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

// WriteSnapshot makes the file whole under a temporary name, where a start
// removes it: a crash leaves either the old snapshot or the new one, never a
// torn one. It touches nothing else of the Store, so that another goroutine may
// call it while the log goes on. PublishSnapshot or DiscardSnapshot follows; after an
// error there is no file.
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
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "sync of a snapshot failed; check the disk and restart the process")
	}
	return nil
}

// DiscardSnapshot removes a written snapshot that is not wanted any more.
func (s *Store) DiscardSnapshot(meta *lilacv1.RaftSnapshotMeta) error {
	return s.folder.Remove(snapshotName(meta) + tempSuffix)
}

// PublishSnapshot makes a written snapshot of the own state machine the newest
// one and removes what it makes superfluous, except segments that hold an entry
// after keep.
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

// writeParts writes the description and then the data in records of bounded size.
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

// compact removes the oldest segments whose entries all lie at or before index.
func (s *Store) removeSegments(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].last <= index {
		if err := s.folder.Remove(segmentName(s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Snapshot returns the newest snapshot's description; nil if there is none.
func (s *Store) Snapshot() *lilacv1.RaftSnapshotMeta { return s.snapshot }

// ReadSnapshot returns up to n bytes of the newest snapshot's data from offset.
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
		return nil, nil, corruptionError(folder, name, 0, "the snapshot's description is damaged")
	}
	offset := headerSize + len(head)
	data := make([]byte, 0, meta.GetSize())
	for uint64(len(data)) < meta.GetSize() {
		part := recordAt(b, offset)
		if part == nil {
			return nil, nil, corruptionError(folder, name, int64(offset), "the snapshot's data is damaged")
		}
		data = append(data, part...)
		offset += headerSize + len(part)
	}
	return meta, data, nil
}

// Report describes a data folder to operators.
type Report struct {
	// Empty is true when the process never ran, or lost its disk.
	Empty bool
	// ID is the process's identity in the group, Group the group's.
	ID, Group string
	Term      uint64
	Vote      string
	// Former are the groups that this one replaced by a recovery, oldest first.
	Former []string
	// ReplacedBy is the recovered group that replaced this one; the folder is of no use then.
	ReplacedBy string
	// SnapshotIndex is 0 if there is no snapshot.
	SnapshotIndex uint64
	SnapshotBytes uint64
	// FirstIndex and LastIndex bound the entries after the snapshot; 0 if none.
	FirstIndex, LastIndex uint64
	LastTerm              uint64
	Segments, Records     int
	// TornBytes would be cut at the next start.
	TornBytes int64
	// Unfinished are files that a crash left; the next start removes them.
	Unfinished []string
	// Members are those of the snapshot and the entries after it.
	Members []*lilacv1.RaftMember
}

// Inspect reads a data folder and changes nothing; it works while the process
// runs. An error names the damage.
func Inspect(folder Folder) (*Report, error) {
	r, err := read(folder)
	if err != nil {
		if _, listErr := folder.List(); listErr != nil {
			return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "data folder can't be read; check its path and rights")
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
