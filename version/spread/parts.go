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
	// itemsPerPart is the number of items of a long list in one part. It keeps a part far
	// below the maximum frame size of the link.
	itemsPerPart = 2000
	// maxPartBytes limits the decompressed size of a part.
	maxPartBytes = 16 << 20
	// maxParts limits the number of parts that a sender may announce.
	maxParts = 100000
)

// Split splits a snapshot into compressed parts. The first part holds everything but the
// long lists, the following ones hold these lists. Equal snapshots give equal parts, so
// that an interrupted transfer can be resumed.
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
		n := min(itemsPerPart, len(servers))
		all = append(all, &lilacv1.Snapshot{Revision: s.GetRevision(), Servers: servers[:n]})
		servers = servers[n:]
	}
	for convictions := s.GetConvictions(); len(convictions) > 0; {
		n := min(itemsPerPart, len(convictions))
		all = append(all, &lilacv1.Snapshot{Revision: s.GetRevision(), Convictions: convictions[:n]})
		convictions = convictions[n:]
	}
	for teams := s.GetTeams(); len(teams) > 0; {
		n := min(itemsPerPart, len(teams))
		all = append(all, &lilacv1.Snapshot{Revision: s.GetRevision(), Teams: teams[:n]})
		teams = teams[n:]
	}
	return all
}

// longLists are the fields of a snapshot that are split into separate pieces.
var longLists = map[protoreflect.Name]bool{"servers": true, "convictions": true, "teams": true}

// withoutLongLists returns a snapshot that shares all fields with s but the long lists.
// These are excluded by name, so that fields added later are included.
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

// Assembly reassembles a snapshot from its parts. The zero value is ready to use.
type Assembly struct {
	revision uint64
	parts    uint32
	next     uint32
	snapshot *lilacv1.Snapshot
}

// Resume returns the revision and the number of the next missing part; 0 and 0 before
// the first part.
func (a *Assembly) Resume() (revision uint64, part uint32) { return a.revision, a.next }

// Add adds the next part. It returns the snapshot after the last part and nil before.
// Part 0 of any revision starts over.
func (a *Assembly) Add(part *lilacv1.SnapshotPart) (*lilacv1.Snapshot, error) {
	if part.GetPart() == 0 {
		*a = Assembly{revision: part.GetRevision(), parts: part.GetParts()}
	}
	if a.parts == 0 || part.GetRevision() != a.revision || part.GetPart() != a.next || part.GetParts() != a.parts || a.parts > maxParts {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "unexpected part %d of revision %d, want part %d of revision %d; restart the transfer", part.GetPart(), part.GetRevision(), a.next, a.revision)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(part.GetData())), maxPartBytes))
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "cannot decompress part of a snapshot; restart the transfer")
	}
	piece := &lilacv1.Snapshot{}
	if err := proto.Unmarshal(raw, piece); err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "cannot decode part of a snapshot; restart the transfer")
	}
	a.appendPiece(piece)
	a.next++
	if a.next < a.parts {
		return nil, nil
	}
	snapshot := a.snapshot
	*a = Assembly{}
	return snapshot, nil
}

// appendPiece merges a piece; the first one holds everything but the long lists.
func (a *Assembly) appendPiece(piece *lilacv1.Snapshot) {
	if a.snapshot == nil {
		a.snapshot = piece
		return
	}
	a.snapshot.Teams = append(a.snapshot.Teams, piece.GetTeams()...)
	a.snapshot.Servers = append(a.snapshot.Servers, piece.GetServers()...)
	a.snapshot.Convictions = append(a.snapshot.Convictions, piece.GetConvictions()...)
}
