package relay

import (
	"maps"
	"sort"
	"strconv"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/model"
)

var (
	requestColumns = []string{"id", "class", "team", "target", "server", "state", "age", "tokens"}
	serverColumns  = []string{"server", "target", "data_center", "in_flight", "draining", "limit", "share", "limit_source", "limit_since", "pace_reported", "pace_lasting", "pace_expected", "pace_measured"}
)

// limitRow holds a server's limit and this instance's share of it, in requests a second, as
// shown to operators; all fields are empty if the server states no limit.
type limitRow struct{ limit, share, source, since string }

// recordLimit records the core's current knowledge of a server's limit.
func (r *Relay) recordLimit(now time.Time, a policy.LimitChanged) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.Advertised {
		delete(r.limits, a.Server)
		return
	}
	if r.limits == nil {
		r.limits = make(map[string]limitRow)
	}
	number := func(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }
	r.limits[a.Server] = limitRow{number(a.PerSecond), number(a.Share), string(a.Source), now.Add(-a.Age).UTC().Format(time.RFC3339)}
}

// paceCell formats a pace; one that is not known is empty.
func paceCell(pace float64) string {
	if pace <= 0 {
		return ""
	}
	return strconv.FormatFloat(pace, 'f', 2, 64)
}

// pruneLimits drops the limits of servers that are not in the view.
func (r *Relay) pruneLimits(view *model.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.limits, func(server string, _ limitRow) bool { return view.Servers[server] == nil })
}

// Requests returns the column names and a row for each request in progress at this instance,
// in order of arrival.
func (r *Relay) Requests() ([]string, []*lilacv1.QueryRow) {
	r.mu.Lock()
	requests := make([]*request, 0, len(r.requests))
	for _, req := range r.requests {
		requests = append(requests, req)
	}
	r.mu.Unlock()
	sort.Slice(requests, func(i, j int) bool { return requests[i].id < requests[j].id })
	rows := make([]*lilacv1.QueryRow, 0, len(requests))
	for _, req := range requests {
		current := req.row()
		age := time.Since(req.arrived).Round(time.Millisecond)
		rows = append(rows, &lilacv1.QueryRow{Values: []string{
			shownID(req.requestID), req.class, req.team, req.target, current.server, current.state, age.String(), strconv.FormatInt(current.tokens, 10),
		}})
	}
	return requestColumns, rows
}

// maxShownID bounds the ids in a table of requests.
const maxShownID = 128

// shownID returns the caller's id as a text that a reply can carry.
func shownID(id string) string {
	return strings.ToValidUTF8(id[:min(len(id), maxShownID)], "\uFFFD")
}

// Servers returns the column names and a row for each backend server, sorted by name.
// in_flight counts only the requests of this instance. paces are those of the servers that state
// them, as in policy.Stats.
func (r *Relay) Servers(paces map[string]policy.PaceStats) ([]string, []*lilacv1.QueryRow) {
	inFlight := make(map[string]int)
	r.mu.Lock()
	limits := maps.Clone(r.limits)
	for _, req := range r.requests {
		if server := req.row().server; server != "" {
			inFlight[server]++
		}
	}
	r.mu.Unlock()
	view := r.View()
	if view == nil {
		return serverColumns, nil
	}
	rows := make([]*lilacv1.QueryRow, 0, len(view.Servers))
	for _, server := range view.Servers {
		target := ""
		if len(server.GetServes()) > 0 {
			target = server.GetServes()[0]
		}
		rows = append(rows, &lilacv1.QueryRow{Values: []string{
			server.GetName(), target, server.GetDataCenter(), strconv.Itoa(inFlight[server.GetName()]), strconv.FormatBool(server.GetDraining()),
			limits[server.GetName()].limit, limits[server.GetName()].share, limits[server.GetName()].source, limits[server.GetName()].since,
			paceCell(paces[server.GetName()].Reported), paceCell(paces[server.GetName()].Kind), paceCell(paces[server.GetName()].Now), paceCell(paces[server.GetName()].Measured),
		}})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].GetValues()[0] < rows[j].GetValues()[0] })
	return serverColumns, rows
}
