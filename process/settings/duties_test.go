package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const stateSettings = "name: s\ndata_center: a\nlink: 10.0.0.1:7100\nadmin: 10.0.0.1:9464\nlink_key: 0123456789abcdef\ndata: /data\n"

// Guards against duties that silently do not run.
func TestInvalidDutiesNameTheRemedy(t *testing.T) {
	for text, want := range map[string]string{
		"duties: {perform: [billing], platform: \"10.0.0.9:80\"}":                                                 "not a duty",
		"duties: {perform: [autoscaling]}":                                                                        "duties.platform",
		"duties: {perform: [usage_reporting], platform: \"10.0.0.9:80\"}":                                         "duties.usage_window",
		"duties: {perform: [autoscaling], platform: \"10.0.0.9:80\", target_use: 1.5}":                            "duties.target_use",
		"duties: {perform: [usage_reporting], platform: \"10.0.0.9:80\", usage_window: 5s, calls_per_second: -1}": "duties.calls_per_second",
	} {
		is := is.New(t)
		err := Parse("state.yaml", []byte(stateSettings+text+"\n"), &State{})
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want))
	}
}

// Guards against settings such as an infinite rate, which pass checks of their range and mean
// something else on each kind of machine.
func TestNumbersThatAreNotFiniteAreRefused(t *testing.T) {
	for _, value := range []string{".nan", ".inf", "-.inf", "-1"} {
		for field, parse := range map[string]func(text string) error{
			"duties.calls_per_second":  func(text string) error { return parseDuties("calls_per_second: " + text) },
			"duties.target_use":        func(text string) error { return parseDuties("target_use: " + text) },
			"duties.ordinary_use":      func(text string) error { return parseDuties("ordinary_use: " + text) },
			"policy.attainment_weight": func(text string) error { return parsePolicy("attainment_weight: " + text) },
			"policy.waste_weight":      func(text string) error { return parsePolicy("waste_weight: " + text) },
			"policy.retry_share":       func(text string) error { return parsePolicy("retry_share: " + text) },
			"policy.retry_extra":       func(text string) error { return parsePolicy("retry_extra: " + text) },
		} {
			is := is.New(t)
			is.NoErr(parse("0.5"))
			err := parse(value)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), field))
		}
	}
}

func parseDuties(text string) error {
	return Parse("state.yaml", []byte(stateSettings+"duties: {"+text+"}\n"), &State{})
}

func parsePolicy(text string) error {
	const entrySettings = "name: e\ndata_center: a\nlink: 10.0.0.1:7100\nadmin: 10.0.0.1:9464\nlink_key: 0123456789abcdef\n" +
		"state: [{name: s, address: \"10.0.0.2:7100\", data_center: a}]\ngateway: {callers: \"10.0.0.1:80\", readiness: \"10.0.0.1:81\", server_list: \"10.0.0.3:80\"}\n"
	return Parse("entry.yaml", []byte(entrySettings+"policy: {"+text+"}\n"), &Entry{})
}

func TestDutiesHaveDefaults(t *testing.T) {
	is := is.New(t)
	s := &State{}
	is.NoErr(Parse("state.yaml", []byte(stateSettings+"duties: {perform: [usage_reporting, autoscaling], platform: \"10.0.0.9:80\", usage_window: 5s}\n"), s))
	is.Equal(s.Duties.Holder, "s")
	is.Equal(s.Duties.UsageDelay.Duration, 10*time.Second)
	is.True(!s.Duties.Fenced)
}
