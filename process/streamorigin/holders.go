package streamorigin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacbridge/lilacbridge/process/member"
)

const (
	// copiesNear is the number of copies in the instance's own data centre, for callers that
	// come back there after the instance has gone; copiesElsewhere those in other data
	// centres, for when the whole data centre has gone.
	copiesNear      = 2
	copiesElsewhere = 1
	// askedPerDataCenter is how many instances of each data centre are asked. It exceeds the
	// number of copies, since instances differ in which others they consider alive, and
	// since the one that recorded the origin holds none for itself.
	askedPerDataCenter = copiesNear + 1
	// askedKeepers is how many keepers are asked: instances may differ in which there are.
	askedKeepers = 2
)

// Keeper returns the state process that gets a copy of the origin of the attempt's stream, for when
// all instances are lost; false if there is none.
func Keeper(keepers []member.Peer, attempt string) (member.Peer, bool) {
	if len(keepers) == 0 {
		return member.Peer{}, false
	}
	return ranked(keepers, attempt)[0], true
}

// AskedKeepers returns the state processes that may hold the origin of the attempt's stream.
func AskedKeepers(keepers []member.Peer, attempt string) []member.Peer {
	return ranked(keepers, attempt)[:min(askedKeepers, len(keepers))]
}

// Holders returns the instances that get copies of the origin of the attempt's stream.
func Holders(self member.Peer, others []member.Peer, attempt string) []member.Peer {
	var holders []member.Peer
	near, elsewhere := copiesNear, copiesElsewhere
	for _, peer := range ranked(others, attempt) {
		room := &elsewhere
		if peer.DataCenter == self.DataCenter {
			room = &near
		}
		if *room > 0 {
			*room--
			holders = append(holders, peer)
		}
	}
	return holders
}

// Asked returns the instances that may hold the origin of the attempt's stream, whichever
// instance recorded it, those of the data centre of self first.
func Asked(self member.Peer, others []member.Peer, attempt string) []member.Peer {
	asked := make(map[string]int)
	var near, elsewhere []member.Peer
	for _, peer := range ranked(others, attempt) {
		if asked[peer.DataCenter] == askedPerDataCenter {
			continue
		}
		asked[peer.DataCenter]++
		if peer.DataCenter == self.DataCenter {
			near = append(near, peer)
		} else {
			elsewhere = append(elsewhere, peer)
		}
	}
	return append(near, elsewhere...)
}

// ranked orders the instances by their rendezvous hash with the attempt.
func ranked(peers []member.Peer, attempt string) []member.Peer {
	type entry struct {
		peer member.Peer
		hash uint64
	}
	entries := make([]entry, 0, len(peers))
	for _, peer := range peers {
		entries = append(entries, entry{peer, xxhash.Sum64String(attempt + "/" + peer.Name)})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.peer.Name, b.peer.Name))
	})
	sorted := make([]member.Peer, len(entries))
	for i, e := range entries {
		sorted[i] = e.peer
	}
	return sorted
}
