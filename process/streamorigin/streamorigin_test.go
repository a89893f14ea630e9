package streamorigin

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/member"
)

func peersIn(dataCenters, each int) []member.Peer {
	var peers []member.Peer
	for dataCenter := range dataCenters {
		for i := range each {
			name := "d" + strconv.Itoa(dataCenter)
			peers = append(peers, member.Peer{Name: name + "-" + strconv.Itoa(i), DataCenter: name})
		}
	}
	return peers
}

func without(peers []member.Peer, self member.Peer) []member.Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p member.Peer) bool { return p.Name == self.Name })
}

// foundAfterKill returns the share of the streams of killed instances whose origin a live instance
// still finds, if so large a share of all instances is killed at once.
func foundAfterKill(random *rand.Rand, peers []member.Peer, share float64) float64 {
	found, streams := 0, 0
	for round := range 400 {
		killed := make(map[string]bool)
		var live []member.Peer
		order := random.Perm(len(peers))
		for rank, index := range order {
			if float64(rank) < share*float64(len(peers)) {
				killed[peers[index].Name] = true
			} else {
				live = append(live, peers[index])
			}
		}
		origin, asker := peers[order[0]], live[random.IntN(len(live))]
		attempt := strconv.Itoa(round)
		streams++
		holders := Holders(origin, without(peers, origin), attempt)
		// The asker may still consider the killed instances alive.
		asked := append(Asked(asker, without(peers, asker), attempt), asker)
		if slices.ContainsFunc(holders, func(h member.Peer) bool {
			return !killed[h.Name] && slices.ContainsFunc(asked, func(a member.Peer) bool { return a.Name == h.Name })
		}) {
			found++
		}
	}
	return float64(found) / float64(streams)
}

// Guards against streams that can't be resumed after many instances were killed at once: half of
// those that new streams reach have to go on.
func TestOriginsOutliveKilledInstances(t *testing.T) {
	for _, fleet := range []struct{ dataCenters, each int }{{3, 3}, {6, 13}, {5, 220}} {
		for _, share := range []float64{0.1, 0.3, 0.6} {
			random := rand.New(rand.NewPCG(1, 2))
			found := foundAfterKill(random, peersIn(fleet.dataCenters, fleet.each), share)
			t.Logf("%d data centres of %d, %.0f%% killed: %.3f found", fleet.dataCenters, fleet.each, 100*share, found)
			is.New(t).True(found >= 0.5)
		}
	}
}

// Guards against origins that cross between data centres more than once for each stream.
func TestOneCopyLeavesTheDataCenter(t *testing.T) {
	is := is.New(t)
	peers := peersIn(5, 20)
	for i := range 200 {
		holders := Holders(peers[0], without(peers, peers[0]), strconv.Itoa(i))
		elsewhere := slices.DeleteFunc(holders, func(h member.Peer) bool { return h.DataCenter == peers[0].DataCenter })
		is.Equal(len(elsewhere), copiesElsewhere)
	}
}

// Guards against instances of different builds that choose different holders for an origin.
func TestHoldersAreTheFirstByHash(t *testing.T) {
	is := is.New(t)
	peers := peersIn(5, 20)
	for i := range 200 {
		attempt := strconv.Itoa(i)
		sorted := slices.SortedFunc(slices.Values(peers), func(a, b member.Peer) int {
			return cmp.Compare(xxhash.Sum64String(attempt+"/"+b.Name), xxhash.Sum64String(attempt+"/"+a.Name))
		})
		near := slices.DeleteFunc(slices.Clone(sorted), func(p member.Peer) bool { return p.DataCenter != "d0" })
		elsewhere := slices.DeleteFunc(slices.Clone(sorted), func(p member.Peer) bool { return p.DataCenter == "d0" })
		is.Equal(Holders(peers[0], peers, attempt), append(near[:copiesNear:copiesNear], elsewhere[:copiesElsewhere]...))
		is.Equal(Asked(peers[0], peers, attempt)[:askedPerDataCenter], near[:askedPerDataCenter])
		is.Equal(AskedKeepers(peers, attempt), sorted[:askedKeepers])
	}
}

// Guards against an origin that outlives its stream, and a table that grows without bound.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := NewTable()
	for i := range maxRecords {
		is.True(table.Put(now, strconv.Itoa(i), Origin{Service: "llm"}, 1, time.Hour))
	}
	is.True(!table.Put(now, "one more", Origin{Service: "llm"}, 1, time.Hour))
	is.True(table.Put(now, "0", Origin{Service: "llm", Version: "v2"}, 2, time.Hour))
	_, _, ok := table.Get(now.Add(MaxTTL), "0")
	is.True(!ok)
	table.Expire(now.Add(MaxTTL))
	is.Equal(table.Len(), 0)
}

// Guards against an expired origin of a higher number that keeps out a new one of the same attempt id.
func TestExpiredOriginKeepsOutANewOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := NewTable()
	is.True(table.Put(now, "id1", Origin{Service: "llm", Version: "v1"}, 2, time.Second))
	is.True(table.Put(now.Add(time.Second), "id1", Origin{Service: "llm", Version: "v2"}, 1, time.Second))
	origin, _, ok := table.Get(now.Add(time.Second), "id1")
	is.True(ok)
	is.Equal(origin.Version, "v2")
}
