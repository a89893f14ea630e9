package spread

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// partItems is the number of teams in one part; a part stays far below the
	// largest frame between processes.
	partItems = 2000
	// maxPartBytes bounds what a part may grow to when it is decompressed.
	maxPartBytes = 16 << 20
	// maxParts bounds what a sender may announce.
	maxParts = 100000
)

// Split cuts a snapshot into parts: everything but the teams first, then the
// teams. Equal snapshots give equal parts, so that a broken transfer goes on
// where it stopped.
func Split(s *lilacv1.Snapshot) ([]*lilacv1.SnapshotPart, error) {
	pieces := pieces(s)
	parts := make([]*lilacv1.SnapshotPart, 0, len(pieces))
	for i, piece := range pieces {
		data, err := compress(piece)
		if err != nil {
			return nil, err
		}
		parts = append(parts, &lilacv1.SnapshotPart{Revision: s.GetRevision(), Part: uint32(i), Parts: uint32(len(pieces)), Data: data})
	}
	return parts, nil
}

func pieces(s *lilacv1.Snapshot) []*lilacv1.Snapshot {
	all := []*lilacv1.Snapshot{{Revision: s.GetRevision(), Recoveries: s.GetRecoveries(), Classes: s.GetClasses(), Instances: s.GetInstances(), Orders: s.GetOrders()}}
	for servers := s.GetServers(); len(servers) > 0; {
		n := min(partItems, len(servers))
		all = append(all, &lilacv1.Snapshot{Revision: s.GetRevision(), Servers: servers[:n]})
		servers = servers[n:]
	}
	for convictions := s.GetConvictions(); len(convictions) > 0; {
		n := min(partItems, len(convictions))
		all = append(all, &lilacv1.Snapshot{Revision: s.GetRevision(), Convictions: convictions[:n]})
		convictions = convictions[n:]
	}
	for teams := s.GetTeams(); len(teams) > 0; {
		n := min(partItems, len(teams))
		all = append(all, &lilacv1.Snapshot{Revision: s.GetRevision(), Teams: teams[:n]})
		teams = teams[n:]
	}
	return all
}

func compress(piece *lilacv1.Snapshot) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(piece)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Assembly puts the parts of one snapshot together again.
type Assembly struct {
	revision uint64
	parts    uint32
	next     uint32
	whole    *lilacv1.Snapshot
}

// Resume returns the revision and the first part that is still missing; 0 and 0
// before the first part.
func (a *Assembly) Resume() (revision uint64, part uint32) { return a.revision, a.next }

// Add takes the next part. It returns the whole snapshot with the last part,
// and nil before. Part 0 of any revision begins anew.
func (a *Assembly) Add(part *lilacv1.SnapshotPart) (*lilacv1.Snapshot, error) {
	if part.GetPart() == 0 {
		*a = Assembly{revision: part.GetRevision(), parts: part.GetParts(), whole: &lilacv1.Snapshot{Revision: part.GetRevision()}}
	}
	if a.whole == nil || part.GetRevision() != a.revision || part.GetPart() != a.next || part.GetParts() != a.parts || a.parts > maxParts {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "part %d of revision %d does not follow part %d of revision %d; begin the transfer anew", part.GetPart(), part.GetRevision(), a.next, a.revision)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(part.GetData())), maxPartBytes))
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "part of a snapshot does not decompress; begin the transfer anew")
	}
	piece := &lilacv1.Snapshot{}
	if err := proto.Unmarshal(raw, piece); err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "part of a snapshot does not decode; begin the transfer anew")
	}
	a.whole.Recoveries = max(a.whole.GetRecoveries(), piece.GetRecoveries())
	a.whole.Classes = append(a.whole.Classes, piece.GetClasses()...)
	a.whole.Teams = append(a.whole.Teams, piece.GetTeams()...)
	a.whole.Servers = append(a.whole.Servers, piece.GetServers()...)
	a.whole.Instances = append(a.whole.Instances, piece.GetInstances()...)
	a.whole.Convictions = append(a.whole.Convictions, piece.GetConvictions()...)
	a.whole.Orders = append(a.whole.Orders, piece.GetOrders()...)
	a.next++
	if a.next < a.parts {
		return nil, nil
	}
	whole := a.whole
	*a = Assembly{}
	return whole, nil
}
