package wal

import (
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Recover gives the folder a new hard state and a snapshot in place of all that
// it held, as one step.
//
// It guards against a crash in the middle, after which the process would start
// with the new members under the old group's number, and lead a second quorum
// of that group. It holds because the hard state stands within the snapshot's
// file, whose renaming is the only step that counts: before it the folder is the
// old one, after it a start takes both from the snapshot.
func (s *Store) Recover(hard *lilacv1.RaftHardState, meta *lilacv1.RaftSnapshotMeta, data []byte) error {
	placed := proto.CloneOf(meta)
	placed.Recovered = hard
	return s.installSnapshot(&lilacv1.WalRecord{Hard: hard, Base: placed}, data)
}

// recover takes the hard state from a snapshot that a recovery placed, if the
// log's own one is older.
func (r *reader) applyRecovery() bool {
	hard := r.state.Snapshot.GetRecovered()
	if len(hard.GetFormer()) <= len(r.state.Hard.GetFormer()) {
		return false
	}
	r.state.Hard, r.state.Entries = hard, nil
	r.needsBaseRecord, r.recovered = true, true
	return true
}

// plain returns the description without what only the own files need: another
// process that took it over would take this one's identity.
func withoutRecovered(meta *lilacv1.RaftSnapshotMeta) *lilacv1.RaftSnapshotMeta {
	if meta.GetRecovered() == nil {
		return meta
	}
	plain := proto.CloneOf(meta)
	plain.Recovered = nil
	return plain
}

// Read returns what the folder holds without changing it.
func Read(folder Folder) (*State, error) {
	r, err := read(folder)
	if err != nil {
		return nil, err
	}
	r.state.Snapshot = withoutRecovered(r.state.Snapshot)
	return r.state, nil
}
