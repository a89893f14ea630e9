package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

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
