package state

import (
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/serverlist"
	"github.com/lilacbridge/lilacbridge/version/admission"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

func newVersionKeeper(p *process) *versionKeeper {
	return &versionKeeper{service: p.service, servers: serverlist.NewStore(), name: p.peer.Name, logger: hclog.NewNullLogger(), core: admission.NewCore(), proposed: func(string) {}}
}

// Guards against versions that no process records, or that a process records which doesn't lead, and
// against one server whose version can't be recorded and that keeps all others from being admitted.
func TestLeaderRecordsTheListedVersions(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 2)
	leader, follower := newVersionKeeper(all[0]), newVersionKeeper(all[1])
	for _, keeper := range []*versionKeeper{follower, leader} {
		keeper.servers.Set([]routing.Server{
			{Name: "a", Service: "llm", SoftwareVersion: "v1"},
			{Name: "b", Service: "llm", SoftwareVersion: strings.Repeat("v", 4096)},
			{Name: "c", Service: "desk"},
		})
	}
	follower.step(t.Context())
	is.Equal(len(all[1].service.machine.Versions()), 0)
	leader.step(t.Context())
	leader.step(t.Context())
	versions := all[1].service.machine.Versions()
	is.Equal(len(versions), 2)
	for _, version := range versions {
		is.Equal(version.GetState(), lilacv1.VersionState_VERSION_STATE_ADMITTED)
	}
	audit := all[0].service.machine.Audit(0, 10)
	is.Equal(len(audit), 1)
	is.Equal(audit[0].GetStatement(), `ADMITTED VERSION "" OF "desk"; ADMITTED VERSION "v1" OF "llm"`)
}
