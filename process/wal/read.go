package wal

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// reader reads the files of a folder without changing them.
type reader struct {
	folder   Folder
	state    *State
	segments []segment
	// unusedFiles lists incomplete or superseded files, to be removed by Open.
	unusedFiles []string
	// truncateTo is the length to which the torn file is truncated; -1 if the whole file is
	// removed.
	truncateTo int64
	// base is the index before the first entry.
	base    uint64
	records int
	// needsBaseRecord is set if the entries in the files do not reach or do not match the
	// snapshot, so that the next entry would not follow them.
	needsBaseRecord bool
	// recovered is set if the hard state comes from a snapshot written by Recover.
	recovered bool
}

func read(folder Folder) (*reader, error) {
	names, err := folder.List()
	if err != nil {
		return nil, err
	}
	r := &reader{folder: folder, state: &State{}, truncateTo: -1}
	var logs, snapshots []string
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, "log-"):
			logs = append(logs, name)
		case strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, tempSuffix):
			snapshots = append(snapshots, name)
		case strings.HasSuffix(name, tempSuffix):
			r.unusedFiles = append(r.unusedFiles, name)
		}
	}
	if err := r.readSnapshots(snapshots); err != nil {
		return nil, err
	}
	for i, name := range logs {
		if err := r.readSegment(name, i == 0, i == len(logs)-1); err != nil {
			return nil, err
		}
	}
	return r, r.applySnapshot()
}

func (r *reader) readSnapshots(names []string) error {
	for i, name := range names {
		if i < len(names)-1 {
			r.unusedFiles = append(r.unusedFiles, name)
			continue
		}
		meta, data, err := readSnapshot(r.folder, name)
		if err != nil {
			return err
		}
		r.state.Snapshot, r.state.SnapshotData = meta, data
	}
	return nil
}

func (r *reader) readSegment(name string, first, last bool) error {
	var number uint64
	if _, err := fmt.Sscanf(name, "log-%016x", &number); err != nil {
		return corruptionError(r.folder, name, 0, "invalid log file name")
	}
	if n := len(r.segments); !first && n > 0 && number != r.segments[n-1].number+1 {
		return corruptionError(r.folder, name, 0, fmt.Sprintf("the preceding log file %d is missing", number-1))
	}
	size, err := r.folder.Size(name)
	if err != nil {
		return err
	}
	data, err := r.folder.ReadAt(name, 0, int(size))
	if err != nil {
		return err
	}
	r.segments = append(r.segments, segment{number: number})
	offset := 0
	for offset < len(data) {
		payload := recordAt(data, offset)
		if payload == nil {
			return r.handleInvalidRecord(name, data, offset, last)
		}
		if err := r.replay(name, offset, payload); err != nil {
			return err
		}
		offset += headerSize + len(payload)
	}
	if offset == 0 {
		return r.handleInvalidRecord(name, data, 0, last)
	}
	return nil
}

// handleInvalidRecord decides what an invalid record means.
//
// A torn last write must not prevent a start, and corruption in the middle of the log must
// not silently drop synced entries. A crash can tear only the last record of the last
// file, because each record is synced before the next one is written; a valid record after
// an invalid one therefore proves corruption.
func (r *reader) handleInvalidRecord(name string, data []byte, offset int, last bool) error {
	if !last {
		return corruptionError(r.folder, name, int64(offset), "a record is corrupt although further log files follow")
	}
	if after := nextValidRecord(data, offset); after >= 0 {
		return corruptionError(r.folder, name, int64(offset), fmt.Sprintf("a record is corrupt although a valid one follows at offset %d", after))
	}
	r.state.TruncatedBytes, r.state.TruncatedFile = int64(len(data)-offset), name
	if offset > 0 {
		r.truncateTo = int64(offset)
		return nil
	}
	r.segments = r.segments[:len(r.segments)-1]
	r.unusedFiles = append(r.unusedFiles, name)
	return nil
}

func (r *reader) replay(name string, offset int, payload []byte) error {
	record := &lilacv1.WalRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return corruptionError(r.folder, name, int64(offset), "a record can't be decoded")
	}
	current := &r.segments[len(r.segments)-1]
	if offset == 0 && record.GetSegment() != current.number {
		return corruptionError(r.folder, name, 0, "the segment number in the file does not match its name")
	}
	r.records++
	if record.GetHard() != nil {
		r.state.Hard = record.GetHard()
	}
	if base := record.GetBase(); base != nil {
		r.base, r.state.Entries = base.GetIndex(), nil
		current.last = max(current.last, base.GetIndex())
	}
	for _, entry := range record.GetEntries() {
		if !r.putEntry(entry) {
			return corruptionError(r.folder, name, int64(offset), fmt.Sprintf("entry %d does not follow the previous one", entry.GetIndex()))
		}
		current.last = max(current.last, entry.GetIndex())
	}
	return nil
}

// putEntry stores the entry at its index and drops all later ones. It returns false if the
// entry would leave a gap.
func (r *reader) putEntry(entry *lilacv1.RaftEntry) bool {
	index := entry.GetIndex()
	if len(r.state.Entries) == 0 {
		if r.base != 0 && index > r.base+1 {
			return false
		}
		r.base, r.state.Entries = index-1, append(r.state.Entries, entry)
		return true
	}
	if index > r.base+uint64(len(r.state.Entries))+1 {
		return false
	}
	if index <= r.base {
		r.base, r.state.Entries = index-1, nil
	}
	r.state.Entries = append(r.state.Entries[:index-r.base-1], entry)
	return true
}

// applySnapshot drops the entries that the snapshot covers and checks for gaps.
func (r *reader) applySnapshot() error {
	s := r.state
	if s.Snapshot == nil {
		if r.base > 0 {
			return corruptionError(r.folder, segmentName(r.segments[0].number), 0, fmt.Sprintf("the log starts after index %d and no snapshot covers the entries before it", r.base))
		}
		return nil
	}
	if s.Hard == nil {
		return corruptionError(r.folder, "log-*", 0, "there is a snapshot but no log file")
	}
	if r.applyRecovery() {
		return nil
	}
	index := s.Snapshot.GetIndex()
	if len(s.Entries) == 0 {
		r.needsBaseRecord = r.base != index
		return nil
	}
	last := r.base + uint64(len(s.Entries))
	switch {
	case index < r.base:
		return corruptionError(r.folder, snapshotName(s.Snapshot), 0, fmt.Sprintf("the log starts after index %d, which the snapshot does not reach", r.base))
	case index == r.base:
		return nil
	case last <= index, s.Entries[index-r.base-1].GetTerm() != s.Snapshot.GetTerm():
		// The process crashed after the snapshot was installed and before the record that resets
		// the log to it was written.
		r.needsBaseRecord = last != index || s.Entries[index-r.base-1].GetTerm() != s.Snapshot.GetTerm()
		s.Entries = nil
	default:
		s.Entries = s.Entries[index-r.base:]
	}
	return nil
}
