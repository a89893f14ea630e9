package operator

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/admission"
	"github.com/lilacbridge/lilacbridge/version/model"
	"github.com/lilacbridge/lilacbridge/version/table"
)

func formatTime(unixMs int64) string {
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

func formatMs(n uint32) string { return (time.Duration(n) * time.Millisecond).String() }

func latePolicy(policy lilacv1.LatePolicy) string {
	if policy == lilacv1.LatePolicy_LATE_POLICY_REFUSE {
		return "refuse"
	}
	return "run"
}

// configTable returns the table of a subject that is part of the configuration; a subject
// without a case is "models".
func configTable(view *model.View, subject string) *table.Table {
	switch subject {
	case "classes":
		return classes(view)
	case "teams":
		return teams(view)
	case "convictions":
		return convictions(view)
	case "versions":
		return versions(view)
	}
	return models(view)
}

func classes(view *model.View) *table.Table {
	t := &table.Table{Columns: []string{"class", "tier", "first_token", "between_tokens", "share", "late"}, Rows: [][]string{}}
	for _, name := range slices.Sorted(maps.Keys(view.Classes)) {
		c := view.Classes[name]
		share := strconv.FormatFloat(float64(c.GetSharePermille())/10, 'f', -1, 64) + "%"
		t.Rows = append(t.Rows, []string{
			name, strconv.Itoa(int(c.GetTier())), formatMs(c.GetFirstTokenMs()), formatMs(c.GetBetweenTokensMs()), share, latePolicy(c.GetLate()),
		})
	}
	return t
}

func teams(view *model.View) *table.Table {
	t := &table.Table{Columns: []string{"team", "weight", "tokens_per_second", "burst"}, Rows: [][]string{}}
	for _, name := range slices.Sorted(maps.Keys(view.Teams)) {
		team := view.Teams[name]
		t.Rows = append(t.Rows, []string{
			name, strconv.Itoa(int(max(1, team.GetWeight()))),
			strconv.FormatUint(team.GetTokensPerSecond(), 10), strconv.FormatUint(team.GetBurstTokens(), 10),
		})
	}
	return t
}

func convictions(view *model.View) *table.Table {
	t := &table.Table{Columns: []string{"digest", "team", "servers", "expires"}, Rows: [][]string{}}
	for _, digest := range slices.Sorted(maps.Keys(view.Convictions)) {
		c := view.Convictions[digest]
		t.Rows = append(t.Rows, []string{digest, c.GetTeam(), strings.Join(c.GetServers(), ","), formatTime(c.GetExpiresUnixMs())})
	}
	return t
}

// versions lists the software versions at which streams that callers resume may have begun. Those
// that a recovery may have lost are of no known service.
func versions(view *model.View) *table.Table {
	t := &table.Table{Columns: []string{"service", "version", "state"}, Rows: [][]string{}}
	for _, service := range slices.Sorted(maps.Keys(view.Versions)) {
		for _, v := range view.Versions[service] {
			t.Rows = append(t.Rows, []string{service, v.GetVersion(), admission.StateName(v)})
		}
	}
	return t
}

func models(view *model.View) *table.Table {
	t := &table.Table{Columns: []string{"server", "model", "adapter", "wanted"}, Rows: [][]string{}}
	for _, order := range view.Orders {
		wanted := "unloaded"
		if order.GetLoaded() {
			wanted = "loaded"
		}
		t.Rows = append(t.Rows, []string{order.GetServer(), order.GetModel(), order.GetAdapter(), wanted})
	}
	return t
}
