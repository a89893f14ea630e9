package relay

import (
	"sort"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

var (
	requestColumns = []string{"id", "class", "team", "target", "server", "state", "age", "tokens"}
	serverColumns  = []string{"server", "target", "data_center", "in_flight", "draining"}
)

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
		}})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].GetValues()[0] < rows[j].GetValues()[0] })
	return serverColumns, rows
}
