package config

import (
	"fmt"
	"net/netip"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// maxNameBytes is the maximum length of an item's name.
	maxNameBytes = 128
	// maxChanges is the maximum number of changes in a proposal.
	maxChanges = 10000
	// maxProposalBytes keeps a revision within one message on the link.
	maxProposalBytes = 1 << 20
	// maxTotalShare is the maximum sum of the shares of all classes, in permille.
	maxTotalShare = 1000
	// maxConvictions bounds the convictions, which instances add on their own.
	maxConvictions = 10000
	// MaxVersions bounds the software versions of all services, which the leader adds as the
	// list of backend servers shows them.
	MaxVersions = 4096
)

func invalid(format string, args ...any) error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, fmt.Sprintf(format, args...),
		fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
}

func checkName(kind, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return invalid("a %s needs a name of 1 to %d bytes", kind, maxNameBytes)
	}
	return nil
}

func checkExists[T any](items map[string]*T, kind, name string) error {
	if _, ok := items[name]; !ok {
		return invalid("there is no %s %q; SHOW lists those that there are", kind, name)
	}
	return nil
}

// check returns an error if the change is not valid for the current tables.
func (t *tables) check(c *lilacv1.Change) error {
	switch op := c.GetOp().(type) {
	case *lilacv1.Change_SetClass:
		return t.checkClass(op.SetClass)
	case *lilacv1.Change_DropClass:
		return checkExists(t.classes, "class", op.DropClass)
	case *lilacv1.Change_SetTeam:
		return checkName("team", op.SetTeam.GetName())
	case *lilacv1.Change_DropTeam:
		return checkExists(t.teams, "team", op.DropTeam)
	case *lilacv1.Change_SetServer:
		return checkServer(op.SetServer)
	case *lilacv1.Change_DropServer:
		return checkExists(t.servers, "server", op.DropServer)
	case *lilacv1.Change_DrainServer:
		return checkExists(t.servers, "server", op.DrainServer.GetServer())
	case *lilacv1.Change_SetInstance:
		return checkName("instance", op.SetInstance.GetName())
	case *lilacv1.Change_Convict:
		return t.checkConviction(op.Convict)
	case *lilacv1.Change_TryConviction:
		return t.checkTrial(op.TryConviction)
	case *lilacv1.Change_LiftConviction:
		return checkExists(t.convictions, "conviction", op.LiftConviction)
	case *lilacv1.Change_SetDocument:
		if op.SetDocument.GetVersion() == 0 {
			return invalid("the document has no version; number it from 1")
		}
		return nil
	case *lilacv1.Change_OrderModel:
		return t.checkOrder(op.OrderModel)
	case *lilacv1.Change_SetVersion:
		return t.checkVersion(op.SetVersion)
	case *lilacv1.Change_DropVersion:
		return t.checkDropVersion(op.DropVersion)
	case *lilacv1.Change_ForgetKeysBeforeUnixMs:
		return nil // Checked by the ledger; see daemon/state.
	}
	return invalid("a change of a kind that this version does not know; run one version on all instances")
}

func (t *tables) checkClass(class *lilacv1.Class) error {
	if err := checkName("class", class.GetName()); err != nil {
		return err
	}
	if class.GetTier() >= model.Tiers {
		return invalid("class %q has tier %d; write 0 (most urgent) to %d", class.GetName(), class.GetTier(), model.Tiers-1)
	}
	if class.GetFirstTokenMs() == 0 {
		return invalid("class %q has no target for the first token; write one in ms", class.GetName())
	}
	// 64 bits, so that a huge share can't overflow and pass the check.
	others := uint64(t.shares) - uint64(t.classes[class.GetName()].GetSharePermille())
	if total := others + uint64(class.GetSharePermille()); total > maxTotalShare {
		return invalid("the classes' shares would add up to %d permille; lower one, %d is all", total, maxTotalShare)
	}
	return nil
}

func checkServer(server *lilacv1.Server) error {
	if err := checkName("server", server.GetName()); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(server.GetAddress()); err != nil {
		return invalid("server %q has address %q; write an IP number with a port, such as 10.1.0.4:8000", server.GetName(), server.GetAddress())
	}
	if server.GetDataCenter() == "" {
		return invalid("server %q has no data centre; name the one that it stands in", server.GetName())
	}
	kind := server.GetKind()
	if kind != lilacv1.ServerKind_SERVER_KIND_ENGINE && kind != lilacv1.ServerKind_SERVER_KIND_SERVICE {
		return invalid("server %q is neither engine nor service; say which", server.GetName())
	}
	if len(server.GetServes()) == 0 {
		return invalid("server %q serves nothing; name its models or services", server.GetName())
	}
	return nil
}

func (t *tables) checkConviction(conviction *lilacv1.Conviction) error {
	if err := checkName("conviction's digest", conviction.GetDigest()); err != nil {
		return err
	}
	if conviction.GetExpiresUnixMs() <= 0 {
		return invalid("conviction %q has no expiry; give one", conviction.GetDigest())
	}
	if _, known := t.convictions[conviction.GetDigest()]; !known && len(t.convictions) >= maxConvictions {
		return invalid("%d convictions stand already; lift some, or find what crashes the servers", maxConvictions)
	}
	return nil
}

func (t *tables) checkTrial(trial *lilacv1.ConvictionTrial) error {
	if err := checkExists(t.convictions, "conviction", trial.GetDigest()); err != nil {
		return err
	}
	if claimed := t.convictions[trial.GetDigest()].GetTrials(); trial.GetTrial() <= claimed {
		return invalid("trial %d of conviction %q is claimed already; the next one is %d", trial.GetTrial(), trial.GetDigest(), claimed+1)
	}
	return nil
}

func (t *tables) checkVersion(v *lilacv1.ServiceVersion) error {
	if v.GetLost() {
		return invalid("lost versions are added by a recovery only")
	}
	if err := CheckVersionName(v.GetService(), v.GetVersion()); err != nil {
		return err
	}
	held, known := t.versions[versionKeyOf(v)]
	if !known && len(t.versions) >= MaxVersions {
		return invalid("%d software versions of services are known already; find out who lists so many", MaxVersions)
	}
	valid := false
	switch v.GetState() {
	case lilacv1.VersionState_VERSION_STATE_ANNOUNCED:
		valid = !known
	case lilacv1.VersionState_VERSION_STATE_ADMITTED:
		// Beside others, a version that no instance has heard of must be announced first. A former
		// leader's proposal may be committed late, after another version was admitted.
		valid = known && held.GetState() != v.GetState() || !known && !t.countsVersions(v.GetService())
	case lilacv1.VersionState_VERSION_STATE_LEAVING:
		valid = known && held.GetState() != v.GetState()
	}
	if !valid {
		return invalid("version %q of service %q can't go from %s to %s", v.GetVersion(), v.GetService(), held.GetState(), v.GetState())
	}
	return nil
}

// countsVersions reports whether the service has a version, or may have had one before a recovery.
func (t *tables) countsVersions(service string) bool {
	for key := range t.versions {
		if key.service == service || key.lost {
			return true
		}
	}
	return false
}

// CheckVersionName returns an error if the names of a service and its software version can't be
// recorded.
func CheckVersionName(service, version string) error {
	if err := checkName("version's service", service); err != nil {
		return err
	}
	if len(version) > maxNameBytes {
		return invalid("the version of service %q has more than %d bytes; use a shorter one", service, maxNameBytes)
	}
	return nil
}

// checkDropVersion refuses to drop a version at which streams may begin.
func (t *tables) checkDropVersion(v *lilacv1.ServiceVersion) error {
	if t.versions[versionKeyOf(v)].GetState() != lilacv1.VersionState_VERSION_STATE_LEAVING {
		return invalid("version %q of service %q is not leaving", v.GetVersion(), v.GetService())
	}
	return nil
}

func (t *tables) checkOrder(order *lilacv1.ModelOrder) error {
	if err := checkName("model", order.GetModel()); err != nil {
		return err
	}
	server, ok := t.servers[order.GetServer()]
	if !ok {
		return invalid("there is no server %q; SHOW servers lists those that there are", order.GetServer())
	}
	if server.GetKind() != lilacv1.ServerKind_SERVER_KIND_ENGINE {
		return invalid("server %q is no engine; only engines load models", order.GetServer())
	}
	return nil
}
