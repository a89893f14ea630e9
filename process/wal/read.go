package wal

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// reader replays the files of a folder without changing them.
type reader struct {
	folder   Folder
	state    *State
	segments []segment
	// garbage are names that a crash left unfinished.
	unusedFiles []string
	// keep is the length to which the torn file is cut; -1 if it goes whole.
	truncateTo int64
	// base is the index before the first of entries.
	base    uint64
	records int
	// rebase is true if the log ends before the snapshot: the next entry would
	// not follow the last one in the files.
	needsBaseRecord bool
	// recovered is true if the snapshot of a recovery brings the hard state.
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
		return corruptionError(r.folder, name, 0, "not the name of a log file")
	}
	if n := len(r.segments); !first && n > 0 && number != r.segments[n-1].number+1 {
		return corruptionError(r.folder, name, 0, fmt.Sprintf("log file %d is missing before it", number-1))
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

// bad decides what a record that is not sound means.
//
// It guards against two opposite failures: a node that never starts again
// because a crash tore its last write, and one that silently forgets synced
// entries because a block in the middle went bad. A crash tears only the last
// record of the last file, for each is synced before the next is written; so a
// sound record after the bad one proves damage.
func (r *reader) handleInvalidRecord(name string, data []byte, offset int, last bool) error {
	if !last {
		return corruptionError(r.folder, name, int64(offset), "a record is damaged and further log files follow")
	}
	if after := nextValidRecord(data, offset); after >= 0 {
		return corruptionError(r.folder, name, int64(offset), fmt.Sprintf("a record is damaged and a sound one follows at offset %d", after))
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
		return corruptionError(r.folder, name, int64(offset), "a record does not decode")
	}
	current := &r.segments[len(r.segments)-1]
	if offset == 0 && record.GetSegment() != current.number {
		return corruptionError(r.folder, name, 0, "the file does not begin with its own number")
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
			return corruptionError(r.folder, name, int64(offset), fmt.Sprintf("entry %d does not follow the one before", entry.GetIndex()))
		}
		current.last = max(current.last, entry.GetIndex())
	}
	return nil
}

// place puts the entry at its index; what stood there and after is given up.
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

// join drops the entries that the snapshot covers and checks for gaps.
func (r *reader) applySnapshot() error {
	s := r.state
	if s.Snapshot == nil {
		if r.base > 0 {
			return corruptionError(r.folder, segmentName(r.segments[0].number), 0, fmt.Sprintf("the log begins after index %d and no snapshot covers what is before", r.base))
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
		return corruptionError(r.folder, snapshotName(s.Snapshot), 0, fmt.Sprintf("the log begins after index %d, which the snapshot does not reach", r.base))
	case index == r.base:
		return nil
	case last <= index, s.Entries[index-r.base-1].GetTerm() != s.Snapshot.GetTerm():
		// A crash came between the snapshot and the record that resets the log.
		r.needsBaseRecord = last != index || s.Entries[index-r.base-1].GetTerm() != s.Snapshot.GetTerm()
		s.Entries = nil
	default:
		s.Entries = s.Entries[index-r.base:]
	}
	return nil
}
