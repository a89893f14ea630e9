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

func TestDutiesHaveDefaults(t *testing.T) {
	is := is.New(t)
	s := &State{}
	is.NoErr(Parse("state.yaml", []byte(stateSettings+"duties: {perform: [usage_reporting, autoscaling], platform: \"10.0.0.9:80\", usage_window: 5s}\n"), s))
	is.Equal(s.Duties.Holder, "s")
	is.Equal(s.Duties.UsageDelay.Duration, 10*time.Second)
	is.True(!s.Duties.Fenced)
}
