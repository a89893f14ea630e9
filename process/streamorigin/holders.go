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
	// Copies is the number of instances that get copies if there are enough.
	Copies = copiesNear + copiesElsewhere
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
	return top(keepers, attempt, 1)[0], true
}

// AskedKeepers returns the state processes that may hold the origin of the attempt's stream.
func AskedKeepers(keepers []member.Peer, attempt string) []member.Peer {
	return top(keepers, attempt, askedKeepers)
}

// Holders returns the instances that get copies of the origin of the attempt's stream.
func Holders(self member.Peer, others []member.Peer, attempt string) []member.Peer {
	rank := newRanking(attempt)
	near, elsewhere := make(best, 0, copiesNear), make(best, 0, copiesElsewhere)
	for _, peer := range others {
		if peer.DataCenter == self.DataCenter {
			near.add(rank.of(peer))
		} else {
			elsewhere.add(rank.of(peer))
		}
	}
	return elsewhere.appendTo(near.appendTo(nil))
}

// Asked returns the instances that may hold the origin of the attempt's stream, whichever
// instance recorded it, those of the data centre of self first.
func Asked(self member.Peer, others []member.Peer, attempt string) []member.Peer {
	rank := newRanking(attempt)
	byDataCenter := make(map[string]best)
	dataCenters := []string{self.DataCenter}
	for _, peer := range others {
		of, exists := byDataCenter[peer.DataCenter]
		if !exists {
			of = make(best, 0, askedPerDataCenter)
		}
		if !exists && peer.DataCenter != self.DataCenter {
			dataCenters = append(dataCenters, peer.DataCenter)
		}
		of.add(rank.of(peer))
		byDataCenter[peer.DataCenter] = of
	}
	var asked []member.Peer
	for _, dataCenter := range dataCenters {
		asked = byDataCenter[dataCenter].appendTo(asked)
	}
	return asked
}

// top returns the first so many of the instances.
func top(peers []member.Peer, attempt string, limit int) []member.Peer {
	rank := newRanking(attempt)
	first := make(best, 0, limit)
	for _, peer := range peers {
		first.add(rank.of(peer))
	}
	return first.appendTo(nil)
}

// ranking orders instances by their rendezvous hash with an attempt. It is the digest of what is
// hashed before an instance's name.
type ranking xxhash.Digest

func newRanking(attempt string) ranking {
	digest := xxhash.New()
	digest.WriteString(attempt)
	digest.WriteString("/")
	return ranking(*digest)
}

func (r ranking) of(peer member.Peer) rankedPeer {
	digest := xxhash.Digest(r)
	digest.WriteString(peer.Name)
	return rankedPeer{peer: peer, hash: digest.Sum64()}
}

type rankedPeer struct {
	peer member.Peer
	hash uint64
}

func (p rankedPeer) before(other rankedPeer) bool {
	return cmp.Or(cmp.Compare(other.hash, p.hash), cmp.Compare(p.peer.Name, other.peer.Name)) < 0
}

// best holds the first instances of a ranking, in order and up to its capacity.
type best []rankedPeer

func (b *best) add(peer rankedPeer) {
	full := len(*b) == cap(*b)
	if full && !peer.before((*b)[len(*b)-1]) {
		return
	}
	if full {
		*b = (*b)[:len(*b)-1]
	}
	at := 0
	for at < len(*b) && (*b)[at].before(peer) {
		at++
	}
	*b = slices.Insert(*b, at, peer)
}

func (b best) appendTo(peers []member.Peer) []member.Peer {
	for _, p := range b {
		peers = append(peers, p.peer)
	}
	return peers
}
