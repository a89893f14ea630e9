package operator

import (
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
	"github.com/lilacbridge/lilacbridge/version/statement"
)

// Guards against operators who can't see at which software versions streams may begin.
func TestShowVersionsListsStates(t *testing.T) {
	is := is.New(t)
	_, err := statement.Parse("SHOW VERSIONS")
	is.NoErr(err)
	view := model.NewView(&lilacv1.Snapshot{Versions: []*lilacv1.ServiceVersion{
		{State: lilacv1.VersionState_VERSION_STATE_LEAVING, Lost: true},
		{Service: "llm", Version: "v1", State: lilacv1.VersionState_VERSION_STATE_LEAVING},
		{Service: "llm", Version: "v2", State: lilacv1.VersionState_VERSION_STATE_ANNOUNCED},
	}})
	is.Equal(configTable(view, "versions").Rows, [][]string{{"", "", "lost"}, {"llm", "v1", "leaving"}, {"llm", "v2", "announced"}})
}
