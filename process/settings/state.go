package settings

import (
	"errors"
	"time"
)

// State holds the settings of a state process.
type State struct {
	Common `yaml:",inline"`
	// Data is the folder that holds all durable files. No default.
	Data string `yaml:"data"`
	// Peers lists the other state processes. Default none: a group of one.
	Peers []Peer `yaml:"peers"`
	// Bootstrap lets the process found the group from itself and Peers when its
	// data folder is empty. Default false: an empty folder joins as a new member.
	Bootstrap bool `yaml:"bootstrap"`
	// Heartbeat is the leader's interval. Default 200ms.
	Heartbeat Duration `yaml:"heartbeat"`
	// Election is the shortest silence before a vote. Default 1s.
	Election Duration `yaml:"election"`
	// ClaimRetention is how long answers of non-idempotent requests are kept. Default 24h.
	ClaimRetention Duration `yaml:"claim_retention"`
	// Control is the address at which the platform's operators write and read the
	// gateway's document. Default none.
	Control Address `yaml:"control"`
	// ServerList is the address of the platform's list of backend servers, which
	// the leader reads for all. Default none.
	ServerList Address `yaml:"server_list"`
	// ListInterval is the pause between two readings of that list. Default 1s.
	ListInterval Duration `yaml:"list_every"`
	// AutoMembers has the group take in every state process that asks, and let go
	// of one that is lost while enough others remain. Default false: operators
	// change the members.
	AutoMembers bool `yaml:"auto_members"`
	// AuditRetention is how many revisions the audit trail keeps. Default 100000.
	AuditRetention int `yaml:"audit_retention"`
}

const (
	defaultHeartbeat      = 200 * time.Millisecond
	defaultElection       = time.Second
	defaultClaimRetention = 24 * time.Hour
	defaultAuditRetention = 100000
)

// Validate checks the fields that their types can't, and fills in defaults.
func (s *State) Validate() error {
	all := s.problems()
	all = append(all, peerProblems("peers", s.Peers)...)
	if s.Data == "" {
		all = append(all, &Problem{Line: 1, Field: "data", Message: "missing; name the folder for durable files"})
	}
	if len(s.Seeds) > 0 {
		s.Peers = append(s.Peers, s.seedPeers()...)
		// Only the seeds found the group; the other processes join it.
		s.Bootstrap = s.Bootstrap && s.isSeed()
	}
	s.ListInterval.Duration = s.ListInterval.Or(defaultListEvery)
	s.Heartbeat.Duration = s.Heartbeat.Or(defaultHeartbeat)
	s.Election.Duration = s.Election.Or(defaultElection)
	s.ClaimRetention.Duration = s.ClaimRetention.Or(defaultClaimRetention)
	if s.AuditRetention == 0 {
		s.AuditRetention = defaultAuditRetention
	}
	if s.Election.Duration < 3*s.Heartbeat.Duration {
		all = append(all, &Problem{Line: max(s.Election.Line, 1), Field: "election", Message: "must be at least three heartbeats, or one lost message starts a vote"})
	}
	return errors.Join(all...)
}
