package state

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/serverlist"
	"github.com/lilacbridge/lilacbridge/process/clock"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/admission"
	"github.com/lilacbridge/lilacbridge/version/config"
)

const (
	// versionsInterval is the pause between two looks at the list and the record.
	versionsInterval = 250 * time.Millisecond
	// versionsTimeout bounds one proposal.
	versionsTimeout = 2 * time.Second
)

// versionKeeper keeps the record of software versions while this process leads.
type versionKeeper struct {
	service *Service
	servers *serverlist.Store
	name    string
	logger  hclog.Logger
	core    *admission.Core
	// unrecordable is the number of listed servers whose service or version can't be recorded.
	unrecordable int
	// proposed counts changes by outcome.
	proposed func(outcome string)
}

// run looks at the list and the record until ctx ends.
func (k *versionKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(versionsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.step(ctx)
		}
	}
}

func (k *versionKeeper) step(ctx context.Context) {
	var in admission.Input
	if status := k.service.log.Status(); status.IsLeader {
		in.Term = status.Status.GetTerm()
		in.Record = k.service.machine.Versions()
		in.Listed, in.Current = k.listed()
	}
	changes := k.core.Step(clock.Boot(), in)
	if len(changes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	proposal := &lilacv1.Proposal{
		CommandId: rand.Text(), Who: "lilacbridge", Instance: k.name, Statement: versionsStatement(changes), Changes: changes,
		ProposedUnixMs: k.service.now().UnixMilli(), Recoveries: k.service.machine.Recoveries(),
	}
	if _, err := k.service.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: proposal}}); err != nil {
		k.proposed("failed")
		k.logger.Info("software versions not recorded; trying again", "statement", proposal.GetStatement(), "error", err)
		return
	}
	k.proposed("recorded")
	k.logger.Info("software versions recorded", "statement", proposal.GetStatement())
}

// listed returns the versions that the list shows, and false if there is no current list.
func (k *versionKeeper) listed() ([]admission.Version, bool) {
	list, current := k.servers.Current()
	versions := make([]admission.Version, 0, len(list))
	var problem error
	for _, server := range list {
		if err := config.CheckVersionName(server.Service, server.SoftwareVersion); err != nil {
			problem = err
			continue
		}
		versions = append(versions, admission.Version{Service: server.Service, Version: server.SoftwareVersion})
	}
	if unrecordable := len(list) - len(versions); unrecordable != k.unrecordable {
		k.unrecordable = unrecordable
		k.logger.Warn("software versions that can't be recorded; streams that may be resumed don't begin there", "servers", unrecordable, "error", problem)
	}
	return versions, current
}

// versionsStatement describes the changes for the audit trail.
func versionsStatement(changes []*lilacv1.Change) string {
	parts := make([]string, 0, len(changes))
	for _, change := range changes {
		verb, version := "DROP", change.GetDropVersion()
		if set := change.GetSetVersion(); set != nil {
			verb, version = strings.TrimPrefix(set.GetState().String(), "VERSION_STATE_"), set
		}
		parts = append(parts, fmt.Sprintf("%s VERSION %q OF %q", verb, version.GetVersion(), version.GetService()))
	}
	return strings.Join(parts, "; ")
}

// countVersions returns the number of software versions of all services, by state.
func (s *Service) countVersions() map[string]int {
	record := s.machine.Versions()
	return admission.CountStates(record)
}

// warnWithoutList warns that no software version is ever admitted, since no process reads the list
// that shows them.
func warnWithoutList(s *settings.State, logger hclog.Logger) {
	if s.Control.Value != "" && s.ServerList.Value == "" {
		logger.Warn("no server_list in the settings: no software version is recorded, and gateways begin no stream that callers may resume; set server_list on all state processes")
	}
}
