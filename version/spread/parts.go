package spread

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

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

// Split cuts a snapshot into parts: first all but the lists that may be long, then
// these lists. Equal snapshots give equal parts, so that a broken transfer goes on
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
	all := []*lilacv1.Snapshot{withoutLongLists(s)}
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

// longLists are the fields of a snapshot that are cut into pieces of their own.
var longLists = map[protoreflect.Name]bool{"servers": true, "convictions": true, "teams": true}

// withoutLongLists shares all fields but the long lists with s. It leaves fields
// out by name, so that one that is added later is carried too.
func withoutLongLists(s *lilacv1.Snapshot) *lilacv1.Snapshot {
	piece := &lilacv1.Snapshot{}
	s.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !longLists[field.Name()] {
			piece.ProtoReflect().Set(field, value)
		}
		return true
	})
	return piece
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
		*a = Assembly{revision: part.GetRevision(), parts: part.GetParts()}
	}
	if a.parts == 0 || part.GetRevision() != a.revision || part.GetPart() != a.next || part.GetParts() != a.parts || a.parts > maxParts {
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
	a.take(piece)
	a.next++
	if a.next < a.parts {
		return nil, nil
	}
	whole := a.whole
	*a = Assembly{}
	return whole, nil
}

// take adds a piece: the first holds everything but the long lists.
func (a *Assembly) take(piece *lilacv1.Snapshot) {
	if a.whole == nil {
		a.whole = piece
		return
	}
	a.whole.Teams = append(a.whole.Teams, piece.GetTeams()...)
	a.whole.Servers = append(a.whole.Servers, piece.GetServers()...)
	a.whole.Convictions = append(a.whole.Convictions, piece.GetConvictions()...)
}
