// Package examples contains the settings of two complete fleets, which run on loopback.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/loadgen"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/fleet"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("*/*.yaml")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(files), 2*(3+7+2))
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			i := is.New(t)
			switch base := filepath.Base(file); {
			case strings.HasPrefix(base, "state-"):
				i.NoErr(settings.Load(file, &settings.State{}))
			case strings.HasPrefix(base, "entry-"):
				i.NoErr(settings.Load(file, &settings.Entry{}))
			case base == "load.yaml":
				i.NoErr(settings.Load(file, &loadgen.Plan{}))
			default:
				data, err := os.ReadFile(file)
				i.NoErr(err)
				_, err = fleet.Parse(data)
				i.NoErr(err)
			}
		})
	}
}
