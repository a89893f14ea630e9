package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

// Guards against an instance that takes a record of versions for young which no quorum has confirmed.
func TestRecordOfVersionsHasTheAgeOfTheConfiguration(t *testing.T) {
	is := is.New(t)
	now := 2 * time.Hour
	d := &Daemon{watcher: spreadlink.NewWatcher(spreadlink.Options{Clock: func() time.Duration { return now }})}
	first := d.versions("llm").Age
	is.True(first >= admission.InferenceLease)
	is.True(!d.versions("llm").MayBegin())
	now += time.Minute
	is.Equal(d.versions("llm").Age, first+time.Minute)
}
