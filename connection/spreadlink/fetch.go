package spreadlink

import (
	"context"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/version/config"
	"github.com/lilacbridge/lilacbridge/version/spread"
)

// FetchConfig returns the complete configuration that an entry holds.
//
// The entry may serve a snapshot cached for an earlier transfer, so the revisions
// accepted after that snapshot are fetched and applied as well.
func FetchConfig(ctx context.Context, entry link.Caller) (*lilacv1.Snapshot, error) {
	snapshot, err := fetchSnapshot(ctx, entry)
	if err != nil || snapshot.GetRevision() == 0 {
		return snapshot, err
	}
	follower := config.NewFollower()
	if err := follower.Load(snapshot); err != nil {
		return nil, err
	}
	stream, err := entry.Open(ctx, "entry.watch", &lilacv1.WatchRequest{Have: follower.Revision()})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	for {
		update := &lilacv1.WatchUpdate{}
		if err := stream.Recv(update); err != nil {
			return nil, err
		}
		if err := follower.Apply(update.GetRevisions()); err != nil {
			return nil, err
		}
		if len(update.GetRevisions()) == 0 || follower.Revision() >= update.GetNewest() {
			return follower.Config(), nil
		}
	}
}

func fetchSnapshot(ctx context.Context, entry link.Caller) (*lilacv1.Snapshot, error) {
	stream, err := entry.Open(ctx, "entry.snapshot", &lilacv1.SnapshotRequest{})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	assembly := spread.Assembly{}
	for {
		part := &lilacv1.SnapshotPart{}
		if err := stream.Recv(part); err != nil {
			return nil, err
		}
		snapshot, err := assembly.Add(part)
		if err != nil || snapshot != nil {
			return snapshot, err
		}
	}
}

// FetchRevisions returns the revisions with numbers in (have, until] from an entry.
// It fails with NOT_FOUND if the entry no longer holds the first of them individually.
func FetchRevisions(ctx context.Context, entry link.Caller, have, until uint64) ([]*lilacv1.Revision, error) {
	stream, err := entry.Open(ctx, "entry.watch", &lilacv1.WatchRequest{Have: have})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var revisions []*lilacv1.Revision
	for have < until {
		update := &lilacv1.WatchUpdate{}
		if err := stream.Recv(update); err != nil {
			return nil, err
		}
		for _, revision := range update.GetRevisions() {
			if have = revision.GetNumber(); have <= until {
				revisions = append(revisions, revision)
			}
		}
	}
	return revisions, nil
}
