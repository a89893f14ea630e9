package statement

import (
	"math"
	"strconv"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/number"
)

func invalid(format string, args ...any) error {
	return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, format, args...)
}

// Changes returns the changes of a statement other than SHOW. Fields that a SET does not
// name keep their values.
func (s *Statement) Changes() ([]*lilacv1.Change, error) {
	change, err := s.change()
	if err != nil {
		return nil, err
	}
	return []*lilacv1.Change{change}, nil
}

func (s *Statement) change() (*lilacv1.Change, error) {
	switch {
	case s.Set != nil && s.Set.Class != nil:
		return s.Set.Class.change()
	case s.Set != nil && s.Set.Team != nil:
		return s.Set.Team.change(), nil
	case s.Set != nil:
		return s.Set.Server.change()
	case s.Drop != nil:
		return s.Drop.change(), nil
	case s.Drain != nil:
		return s.Drain.change(true), nil
	case s.Return != nil:
		return s.Return.change(false), nil
	case s.Load != nil:
		return s.Load.change(true), nil
	case s.Unload != nil:
		return s.Unload.change(false), nil
	case s.Lift != nil:
		return &lilacv1.Change{Op: &lilacv1.Change_LiftConviction{LiftConviction: s.Lift.Digest}}, nil
	case s.Forget != nil:
		return s.Forget.change()
	}
	return nil, invalid("SHOW has no changes")
}

func (f *Forget) change() (*lilacv1.Change, error) {
	date, err := time.Parse(time.DateOnly, f.Before)
	if err != nil {
		return nil, invalid("%q is not a date; use one such as \"2026-06-01\"", f.Before)
	}
	return &lilacv1.Change{Op: &lilacv1.Change_ForgetKeysBeforeUnixMs{ForgetKeysBeforeUnixMs: date.UnixMilli()}}, nil
}

func milliseconds(text string) (uint32, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d.Milliseconds() < 1 || d.Milliseconds() > math.MaxUint32 {
		return 0, invalid("%s is out of range; use 1ms to 1000h", text)
	}
	return uint32(d.Milliseconds()), nil
}

func permille(text string) (uint32, error) {
	percent, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	if err != nil || percent > 100 {
		return 0, invalid("%s is not a valid share; use 0%% to 100%%", text)
	}
	return number.Uint32(math.Round(percent * 10)), nil
}

func (s *SetClass) change() (*lilacv1.Change, error) {
	class := &lilacv1.Class{Name: s.Name}
	var only []string
	for _, field := range s.Fields {
		name, err := field.apply(class)
		if err != nil {
			return nil, err
		}
		only = append(only, name)
	}
	return &lilacv1.Change{Op: &lilacv1.Change_SetClass{SetClass: class}, Only: only}, nil
}

func (f *ClassField) apply(class *lilacv1.Class) (name string, err error) {
	switch {
	case f.Tier != nil:
		class.Tier = *f.Tier
		return "tier", nil
	case f.FirstToken != "":
		class.FirstTokenMs, err = milliseconds(f.FirstToken)
		return "first_token_ms", err
	case f.BetweenTokens != "":
		class.BetweenTokensMs, err = milliseconds(f.BetweenTokens)
		return "between_tokens_ms", err
	case f.Share != "":
		class.SharePermille, err = permille(f.Share)
		return "share_permille", err
	}
	class.Late = lilacv1.LatePolicy_LATE_POLICY_RUN
	if strings.EqualFold(f.Late, "REFUSE") {
		class.Late = lilacv1.LatePolicy_LATE_POLICY_REFUSE
	}
	return "late", nil
}

func (s *SetTeam) change() *lilacv1.Change {
	team := &lilacv1.Team{Name: s.Name}
	var only []string
	for _, field := range s.Fields {
		switch {
		case field.Weight != nil:
			team.Weight = *field.Weight
			only = append(only, "weight")
		case field.Limit != nil:
			team.TokensPerSecond = *field.Limit
			only = append(only, "tokens_per_second")
		case field.Burst != nil:
			team.BurstTokens = *field.Burst
			only = append(only, "burst_tokens")
		default:
			team.TokensPerSecond = 0
			only = append(only, "tokens_per_second")
		}
	}
	return &lilacv1.Change{Op: &lilacv1.Change_SetTeam{SetTeam: team}, Only: only}
}

func (s *SetServer) change() (*lilacv1.Change, error) {
	server := &lilacv1.Server{Name: s.Name}
	var only []string
	for _, field := range s.Fields {
		only = append(only, field.apply(server))
	}
	return &lilacv1.Change{Op: &lilacv1.Change_SetServer{SetServer: server}, Only: only}, nil
}

func (f *ServerField) apply(server *lilacv1.Server) string {
	switch {
	case f.Address != "":
		server.Address = f.Address
		return "address"
	case f.DataCenter != "":
		server.DataCenter = f.DataCenter
		return "data_center"
	case f.Engine:
		server.Kind = lilacv1.ServerKind_SERVER_KIND_ENGINE
		return "kind"
	case f.Service:
		server.Kind = lilacv1.ServerKind_SERVER_KIND_SERVICE
		return "kind"
	case len(f.Serves) > 0:
		server.Serves = f.Serves
		return "serves"
	case f.Slots != nil:
		server.Slots = *f.Slots
		return "slots"
	}
	server.ChecksFencing = strings.EqualFold(f.Fencing, "CHECKED")
	return "checks_fencing"
}

func (d *Drop) change() *lilacv1.Change {
	switch {
	case d.Class != "":
		return &lilacv1.Change{Op: &lilacv1.Change_DropClass{DropClass: d.Class}}
	case d.Team != "":
		return &lilacv1.Change{Op: &lilacv1.Change_DropTeam{DropTeam: d.Team}}
	}
	return &lilacv1.Change{Op: &lilacv1.Change_DropServer{DropServer: d.Server}}
}

func (t *Target) change(draining bool) *lilacv1.Change {
	if t.Server != "" {
		return &lilacv1.Change{Op: &lilacv1.Change_DrainServer{DrainServer: &lilacv1.ServerDrain{Server: t.Server, Draining: draining}}}
	}
	return &lilacv1.Change{Op: &lilacv1.Change_SetInstance{SetInstance: &lilacv1.InstanceState{Name: t.Instance, Draining: draining}}}
}

func (o *Order) change(loaded bool) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_OrderModel{OrderModel: &lilacv1.ModelOrder{
		Server: o.Server, Model: o.Model, Adapter: o.Adapter, Loaded: loaded,
	}}}
}
