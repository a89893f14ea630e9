package relay

import (
	"maps"
	"sort"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/model"
)

var (
	requestColumns = []string{"id", "class", "team", "target", "server", "state", "age", "tokens"}
	serverColumns  = []string{"server", "target", "data_center", "in_flight", "draining", "limit", "share", "limit_source", "limit_since"}
)

// limitRow is a server's limit and this instance's part of it, in requests a second, as they
// are shown to operators; all empty where it names none.
type limitRow struct{ limit, share, source, since string }

// noteLimit remembers what the core believes of a server's limit.
func (r *Relay) noteLimit(now time.Time, a policy.LimitChanged) {
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

// forgetLimits drops the limits of servers that are gone.
func (r *Relay) forgetLimits(view *model.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.limits, func(server string, _ limitRow) bool { return view.Servers[server] == nil })
}

// Requests returns the columns and rows of the requests in progress here.
func (r *Relay) Requests() ([]string, []*lilacv1.QueryRow) {
	r.mu.Lock()
	flights := make([]*flight, 0, len(r.flights))
	for _, f := range r.flights {
		flights = append(flights, f)
	}
	r.mu.Unlock()
	sort.Slice(flights, func(i, j int) bool { return flights[i].id < flights[j].id })
	rows := make([]*lilacv1.QueryRow, 0, len(flights))
	for _, f := range flights {
		now := f.row()
		age := time.Since(f.arrived).Round(time.Millisecond)
		rows = append(rows, &lilacv1.QueryRow{Values: []string{
			f.requestID, f.class, f.team, f.target, now.server, now.state, age.String(), strconv.FormatInt(now.tokens, 10),
		}})
	}
	return requestColumns, rows
}

// Servers returns the columns and rows of the backend servers, with what this
// instance itself has in flight at each.
func (r *Relay) Servers() ([]string, []*lilacv1.QueryRow) {
	inFlight := make(map[string]int)
	r.mu.Lock()
	limits := maps.Clone(r.limits)
	for _, f := range r.flights {
		if server := f.row().server; server != "" {
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
		}})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].GetValues()[0] < rows[j].GetValues()[0] })
	return serverColumns, rows
}
