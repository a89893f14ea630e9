package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validState = `name: state-1
data_center: dakar-a
link: 127.0.0.1:7201
admin: 127.0.0.1:7301
link_key_file: keys/link
data: data/state-1
election: 900ms
peers:
  - {name: state-2, address: "127.0.0.1:7202", data_center: thies-a}
`

func TestDefaultsAndUnits(t *testing.T) {
	is := is.New(t)
	s := &State{}
	is.NoErr(Parse("s.yaml", []byte(validState), s))
	is.Equal(s.Election.Duration, 900*time.Millisecond)
	is.Equal(s.Heartbeat.Duration, 200*time.Millisecond)
	is.Equal(s.Peers[0].DataCenter, "thies-a")
}

func TestInvalidSettingsNameFileLineAndRemedy(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		wants    []string
	}{
		"unknown field":               {"data: data", "dtaa: data", []string{"s.yaml:6:", "dtaa", "remove it"}},
		"duration without unit":       {"900ms", "900", []string{"s.yaml:7:", "unit"}},
		"address by name":             {"127.0.0.1:7201", "localhost:7201", []string{"s.yaml:3:", "IP address"}},
		"address without data centre": {`, data_center: thies-a`, "", []string{"s.yaml:9:", "data_center"}},
		"missing field":               {"link_key_file: keys/link\n", "", []string{"link_key_file", "add it"}},
		"election too short":          {"900ms", "500ms", []string{"s.yaml:7:", "three heartbeats"}},
		"replacement too slow":        {"900ms", "900ms\ncatch_up: 3s", []string{"s.yaml:8:", "catch_up", "3.9s", "shorten election or heartbeat"}},
		"invalid YAML":                {"name: state-1", "name: [", []string{"s.yaml:"}},
		"peer twice":                  {"peers:\n", "peers:\n  - {name: state-2, address: \"127.0.0.1:1\", data_center: x}\n", []string{"s.yaml:10:", "twice"}},
		"heap growth":                 {"name: state-1", "gc_percent: -5\nname: state-1", []string{"gc_percent", "below 0", "such as 50"}},
		"level":                       {"name: state-1", "log_level: loud\nname: state-1", []string{"log_level", "debug, info"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validState, c.old, c.new, 1)
			is.True(text != validState)
			err := Parse("s.yaml", []byte(text), &State{})
			is.True(err != nil)
			for _, want := range c.wants {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
}

// Guards against a state process that accepts limits with which it can't run.
func TestLimitsOfAStateProcessAreChecked(t *testing.T) {
	is := is.New(t)
	s := &State{}
	is.NoErr(Parse("s.yaml", []byte(validState+"limits: {memory_mb: 280, file_descriptors: 4096}\n"), s))
	is.Equal(s.Limits, ProcessLimits{MemoryMB: 280, FileDescriptors: 4096})
	for _, limits := range []string{"{memory_mb: -1}", "{file_descriptors: -1}", "{file_descriptors: 63}"} {
		is.True(Parse("s.yaml", []byte(validState+"limits: "+limits+"\n"), &State{}) != nil)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validState))
	f.Add([]byte(""))
	f.Add([]byte("name: &a [*a]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = Parse("s.yaml", data, &State{})
		_ = Parse("e.yaml", data, &Entry{})
	})
}

const gatewayEntry = `name: e1
data_center: dakar-a
link: 10.1.0.19:7340
admin: 10.1.0.19:9464
link_key: lilacbridge-on-the-platform
seeds: ["10.1.0.22:8229", "10.2.0.38:8229"]
gateway:
  callers: 10.1.0.19:8227
  readiness: 10.1.0.19:8220
  server_list: 10.200.0.61:8223
`

// Seeds contain the addresses at which the platform reaches the state processes. Their
// link listeners use the port of this process's link listener.
func TestSeedsBecomeStatePeers(t *testing.T) {
	is := is.New(t)
	e := &Entry{}
	is.NoErr(Parse("e.yaml", []byte(gatewayEntry), e))
	is.Equal(len(e.State), 2)
	is.Equal(e.State[1].Address.Value, "10.2.0.38:7340")
	is.Equal(e.Gateway.ListInterval.Duration, time.Second)
	for _, missing := range []string{"  callers: 10.1.0.19:8227\n", "  readiness: 10.1.0.19:8220\n", "  server_list: 10.200.0.61:8223\n"} {
		err := Parse("e.yaml", []byte(strings.Replace(gatewayEntry, missing, "", 1)), &Entry{})
		field := strings.TrimSpace(strings.SplitN(missing, ":", 2)[0])
		is.True(err != nil && strings.Contains(err.Error(), "gateway."+field))
	}
}

// Several processes start at once with the same seeds. Only the seeds may create the
// group; a second group would accept changes independently.
func TestOnlySeedsBootstrapTheGroup(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validState, "peers:\n  - {name: state-2, address: \"127.0.0.1:7202\", data_center: thies-a}\n", "", 1) + "bootstrap: true\nseeds: [\"127.0.0.2:1\", \"127.0.0.3:1\"]\n"
	for _, c := range []struct {
		seeds     string
		bootstrap bool
		peers     int
	}{{"\"127.0.0.2:1\", \"127.0.0.3:1\"", false, 2}, {"\"127.0.0.1:1\", \"127.0.0.3:1\"", true, 1}} {
		s := &State{}
		is.NoErr(Parse("s.yaml", []byte(strings.Replace(text, "\"127.0.0.2:1\", \"127.0.0.3:1\"", c.seeds, 1)), s))
		is.Equal(s.Bootstrap, c.bootstrap)
		is.Equal(len(s.Peers), c.peers)
	}
}

// A settings file changes while the process runs. Changes that need a restart must be
// rejected, or the settings would differ from the addresses that the process uses.
func TestChangedAddressesRequireRestart(t *testing.T) {
	is := is.New(t)
	old, changed := &Entry{}, &Entry{}
	is.NoErr(Parse("e.yaml", []byte(gatewayEntry), old))
	is.NoErr(Parse("e.yaml", []byte(strings.Replace(gatewayEntry, "10.1.0.19:7340", "10.1.0.19:7341", 1)), changed))
	is.NoErr(old.ValidateReload(&old.Common))
	err := changed.ValidateReload(&old.Common)
	is.True(err != nil && strings.Contains(err.Error(), "link") && strings.Contains(err.Error(), "restart"))
}

// The platform kills a process some seconds after SIGTERM. Drain and close must finish
// within that time, or running responses are cut off.
func TestDrainFitsIntoGraceTime(t *testing.T) {
	is := is.New(t)
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		e := &Entry{}
		is.NoErr(Parse("e.yaml", []byte(gatewayEntry+"  grace: "+grace.String()+"\n"), e))
		// A response may only be cut off in the last sixth of the grace time.
		is.True(e.DrainLag.Duration+e.Drain.Duration > grace*5/6+grace/20)
		is.True(e.DrainLag.Duration+e.Drain.Duration+e.CloseTimeout() < grace)
	}
	err := Parse("e.yaml", []byte("drain_lag: 2s\ndrain: 6s\n"+gatewayEntry), &Entry{})
	is.True(err != nil && strings.Contains(err.Error(), "gateway.grace"))
}

const validEntry = `name: entry-1
data_center: dakar-a
link: 127.0.0.1:7201
admin: 127.0.0.1:7301
link_key: lilacbridge-test-key
state: [{name: state-1, address: "127.0.0.1:7000", data_center: dakar-a}]
gateway:
  callers: 127.0.0.1:8100
  readiness: 127.0.0.1:8101
  server_list: 127.0.0.1:8102
policy:
`

func TestRetryBoundOfTheSettings(t *testing.T) {
	for name, c := range map[string]struct {
		policy string
		extra  float64
		window time.Duration
		wants  string
	}{
		"default":          {"  subset_size: 1\n", defaultRetryExtra, defaultRetryWindow, ""},
		"set":              {"  retry_extra: 54\n  retry_window: 5s\n", 54, 5 * time.Second, ""},
		"none":             {"  retry_extra: 0\n", 0, defaultRetryWindow, ""},
		"negative":         {"  retry_extra: -1\n", 0, 0, "0 or more"},
		"not a number":     {"  retry_extra: .nan\n", 0, 0, "0 or more"},
		"window too short": {"  retry_window: 100ms\n", 0, 0, "1s or more"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Entry{}
			err := Parse("s.yaml", []byte(validEntry+c.policy), s)
			if c.wants != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), c.wants))
				return
			}
			is.NoErr(err)
			is.Equal(s.Policy.RetryExtraOrDefault(), c.extra)
			is.Equal(s.Policy.RetryWindowOrDefault(), c.window)
		})
	}
}

// Guards against a feature that stays on or off because its name was misspelt.
func TestFeatureGatesAreChecked(t *testing.T) {
	is := is.New(t)
	s := &Entry{}
	is.NoErr(Parse("s.yaml", []byte(validEntry+"  feature_gates: {team_shares: false, memory_guard: true}\n"), s))
	is.True(s.Policy.Enabled(AdmissionByEnd) && !s.Policy.Enabled(TeamShares) && s.Policy.Enabled(MemoryGuard))
	err := Parse("s.yaml", []byte(validEntry+"  feature_gates: {team_share: false}\n"), &Entry{})
	is.True(err != nil && strings.Contains(err.Error(), `"team_share" is not a feature; use admission_by_end`))
}

// Guards against a bound on held bytes that leaves no room for a body, or none for the process.
func TestHeldBytesFitTheMemory(t *testing.T) {
	for name, c := range map[string]struct {
		limits string
		held   int64
		wants  string
	}{
		"off":             {"  body_bytes: 4096\n", 0, ""},
		"by memory":       {"  memory_mb: 184\n", 184 * bytesPerMB / heldDivisor, ""},
		"set":             {"  memory_mb: 184\n  held_bytes: 2000000\n", 2000000, ""},
		"too small":       {"  held_bytes: 1000\n", 0, "must be 1048576 or more"},
		"negative":        {"  held_bytes: -1\n", 0, "or 0 for no bound"},
		"negative memory": {"  memory_mb: -1\n", 0, "limits.memory_mb"},
		"most of memory":  {"  memory_mb: 100\n  held_bytes: 90000000\n", 0, "at most half"},
		"timeout":         {"  unread_timeout: 1ms\n", 0, "500ms or more"},
		"stall":           {"  upload_stall: 1ms\n", 0, "500ms or more"},
		"few descriptors": {"  file_descriptors: 10\n", 0, "must be 64 or more"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Entry{}
			before, policy, _ := strings.Cut(validEntry, "policy:\n")
			err := Parse("s.yaml", []byte(before+"limits:\n"+c.limits+"policy:\n"+policy+"  subset_size: 1\n"), s)
			if c.wants != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), c.wants))
				return
			}
			is.NoErr(err)
			is.Equal(s.Limits.HeldBytes, c.held)
		})
	}
}
