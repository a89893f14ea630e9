package wal

import (
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Recover atomically replaces the folder's contents by a new hard state and a snapshot.
//
// After a crash midway, the process must not start with the new members under the old
// group's ID, where it could form a second quorum of that group. The hard state is
// therefore stored within the snapshot file, whose rename is the only step that takes
// effect: before it the folder is unchanged, after it a start reads both from the
// snapshot.
func (s *Store) Recover(hard *lilacv1.RaftHardState, meta *lilacv1.RaftSnapshotMeta, data []byte) error {
	recovered := proto.CloneOf(meta)
	recovered.Recovered = hard
	return s.installSnapshot(&lilacv1.WalRecord{Hard: hard, Base: recovered}, data)
}

// applyRecovery takes the hard state from a snapshot written by Recover, if the log's
// hard state is older. It reports whether it did.
func (r *reader) applyRecovery() bool {
	hard := r.state.Snapshot.GetRecovered()
	if len(hard.GetFormer()) <= len(r.state.Hard.GetFormer()) {
		return false
	}
	r.state.Hard, r.state.Entries = hard, nil
	r.needsBaseRecord, r.recovered = true, true
	return true
}

// withoutRecovered returns meta without the recovered hard state, which is only valid in
// this folder: another process that installed it would adopt this one's identity.
func withoutRecovered(meta *lilacv1.RaftSnapshotMeta) *lilacv1.RaftSnapshotMeta {
	if meta.GetRecovered() == nil {
		return meta
	}
	stripped := proto.CloneOf(meta)
	stripped.Recovered = nil
	return stripped
}

// Read returns the state stored in the folder without changing it.
func Read(folder Folder) (*State, error) {
	r, err := read(folder)
	if err != nil {
		return nil, err
	}
	r.state.Snapshot = withoutRecovered(r.state.Snapshot)
	return r.state, nil
}
