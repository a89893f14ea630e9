package settings

import (
	"errors"
	"fmt"
	"time"

	"github.com/lilacbridge/lilacbridge/process/replica"
)

// State holds the settings of a state process.
type State struct {
	Common `yaml:",inline"`
	// Data is the folder for all durable files. No default.
	Data string `yaml:"data"`
	// Peers lists the other state processes. Default none, which is a group of one.
	Peers []Peer `yaml:"peers"`
	// Bootstrap lets the process create the group from itself and Peers if its data folder
	// is empty. Default false: a process with an empty folder joins as a new member.
	Bootstrap bool `yaml:"bootstrap"`
	// Heartbeat is the interval of the leader's heartbeats. Default 200ms.
	Heartbeat Duration `yaml:"heartbeat"`
	// Election is the minimum time without a heartbeat before an election. Default 1s.
	Election Duration `yaml:"election"`
	// CatchUp is the time in which a process that is back with an empty folder must be a voter
	// again, as another one may lose its folder then. Default 0, which checks nothing.
	CatchUp Duration `yaml:"catch_up"`
	// ClaimRetention is how long results of non-idempotent requests are kept. Default 24h.
	ClaimRetention Duration `yaml:"claim_retention"`
	// Control is the listen address at which the platform's operators write and read the
	// gateway document. Default none.
	Control Address `yaml:"control"`
	// ServerList is the address of the platform's list of backend servers, which the
	// leader reads for all instances. Default none.
	ServerList Address `yaml:"server_list"`
	// ListInterval is the polling interval of that list. Default 1s.
	ListInterval Duration `yaml:"list_every"`
	// AutoMembers lets the group add every state process that asks to join, and remove a
	// lost one while enough others remain. Default false: operators change the members.
	AutoMembers bool `yaml:"auto_members"`
	// AuditRetention is the number of revisions in the audit trail. Default 100000.
	AuditRetention int `yaml:"audit_retention"`
	// Limits is what the process may use of its machine.
	Limits ProcessLimits `yaml:"limits"`
	// Duties configures what the leader does towards the platform. Default nothing.
	Duties StateDuties `yaml:"duties"`
}

const (
	// stateHeldDivisor is the part of the memory that documents may take while they are received and
	// decoded. It has room for the largest one on a machine of 280 MB.
	stateHeldDivisor      = 4
	defaultHeartbeat      = 200 * time.Millisecond
	defaultElection       = time.Second
	defaultClaimRetention = 24 * time.Hour
	defaultAuditRetention = 100000
)

// Validate checks the settings beyond what their types do, and sets defaults.
func (s *State) Validate() error {
	all := s.validateCommon()
	all = append(all, validatePeers("peers", s.Peers)...)
	if s.Data == "" {
		all = append(all, &Problem{Line: 1, Field: "data", Message: "missing; set the folder for durable files"})
	}
	if len(s.Seeds) > 0 {
		s.Peers = append(s.Peers, s.seedPeers()...)
		// Only the seeds create the group; other processes join it.
		s.Bootstrap = s.Bootstrap && s.isSeed()
	}
	s.ListInterval.Duration = s.ListInterval.Or(defaultListInterval)
	s.Heartbeat.Duration = s.Heartbeat.Or(defaultHeartbeat)
	s.Election.Duration = s.Election.Or(defaultElection)
	s.ClaimRetention.Duration = s.ClaimRetention.Or(defaultClaimRetention)
	if s.AuditRetention == 0 {
		s.AuditRetention = defaultAuditRetention
	}
	if s.Election.Duration < 3*s.Heartbeat.Duration {
		all = append(all, &Problem{Line: max(s.Election.Line, 1), Field: "election", Message: "must be at least three heartbeats, or a single lost message starts an election"})
	}
	if need := replica.ReplacementTime(s.Heartbeat.Duration, s.Election.Duration); s.CatchUp.Duration > 0 && need > s.CatchUp.Duration {
		all = append(all, &Problem{Line: max(s.CatchUp.Line, 1), Field: "catch_up", Message: fmt.Sprintf("a process with an empty folder may need %s to be a voter again; shorten election or heartbeat", need)})
	}
	all = append(all, s.Limits.validate()...)
	all = append(all, s.Duties.validate(s.Name)...)
	return errors.Join(all...)
}

// HeldBytes returns the most that the process holds for operators, in bytes.
func (s *State) HeldBytes() int64 {
	if s.Limits.MemoryMB == 0 {
		return unknownHeldBytes
	}
	return max(s.Limits.MemoryBytes()/stateHeldDivisor, minHeldBytes)
}
