package loadboard

import (
	"cmp"
	"maps"
	"math"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
)

// MaxTeams is the number of teams that a message holds for a pool. At about 10 bytes each they
// take less than the loads of 50 servers.
const MaxTeams = 32

// useUnit is the number of tokens per unit of an encoded use: a request of a plain service
// counts as one token.
const useUnit = 0.25

// TeamUse is the recent service of a team in a pool, in tokens that decay with time.
type TeamUse struct {
	// Served is the work started for the team, Asked the work of its requests.
	Served, Asked float64
}

// Add returns the sum of both.
func (u TeamUse) Add(other TeamUse) TeamUse {
	return TeamUse{u.Served + other.Served, u.Asked + other.Asked}
}

// Scale returns the use times the factor.
func (u TeamUse) Scale(factor float64) TeamUse { return TeamUse{u.Served * factor, u.Asked * factor} }

// TeamUses holds the use of teams by their keys.
type TeamUses map[uint32]TeamUse

// Plus returns the sum of both, which may share memory with u.
func (u TeamUses) Plus(other TeamUses) TeamUses {
	if len(other) == 0 {
		return u
	}
	if u == nil {
		u = make(TeamUses, len(other))
	}
	for key, use := range other {
		u[key] = u[key].Add(use)
	}
	return u
}

// largest returns the keys of the MaxTeams teams with the most work, ascending.
func (u TeamUses) largest() []uint32 {
	keys := slices.SortedFunc(maps.Keys(u), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(u[b].Served+u[b].Asked, u[a].Served+u[a].Asked), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), MaxTeams)]
	slices.Sort(keys)
	return keys
}

// encode returns the largest uses as a message; nil if there are none.
func (u TeamUses) encode() *lilacv1.TeamUses {
	message := &lilacv1.TeamUses{}
	for _, key := range u.largest() {
		served, asked := encodeUse(u[key].Served), encodeUse(u[key].Asked)
		if served > 0 || asked > 0 {
			message.Teams = append(message.Teams, key)
			message.Served = append(message.Served, served)
			message.Asked = append(message.Asked, asked)
		}
	}
	if len(message.Teams) == 0 {
		return nil
	}
	return message
}

func encodeUse(tokens float64) uint32 {
	return number.Uint32(math.Round(tokens / useUnit))
}

// decodeTeams ignores teams beyond MaxTeams and those that lack a column.
func decodeTeams(message *lilacv1.TeamUses) TeamUses {
	teams, served, asked := message.GetTeams(), message.GetServed(), message.GetAsked()
	count := min(len(teams), len(served), len(asked), MaxTeams)
	if count == 0 {
		return nil
	}
	uses := make(TeamUses, count)
	for i, key := range teams[:count] {
		uses[key] = TeamUse{useUnit * float64(served[i]), useUnit * float64(asked[i])}
	}
	return uses
}
