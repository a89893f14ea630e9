package replica

import (
	"fmt"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// rivalExpiryElectionTimeouts is the silence, in election timeouts, after which a rival
// group is considered gone.
const rivalExpiryElectionTimeouts = 4

// announcementsPerElectionTimeout is how often a recovered group announces itself per
// minimum election timeout.
const announcementsPerElectionTimeout = 4

// lineage holds what a process knows of groups related to its own by a recovery after
// the loss of a majority.
type lineage struct {
	// former lists the groups that this one replaced, oldest first.
	former []string
	// replacedBy is the recovered group that replaced this one; never reset.
	replacedBy     string
	nextAnnounceAt time.Duration
	rival          string
	rivalHeardAt   time.Duration
}

// announce sends the list of replaced groups to the peers. Members are skipped by the
// leader, whose heartbeats carry the same information.
//
// Voters that were presumed lost may return with their old disks, form a quorum of the
// old group, and accept changes and claims beside the recovered group. Announcements
// are sent four times per minimum election timeout, so that (unless messages are lost)
// one arrives before such a voter's first candidacy, and a member of a replaced group
// stops permanently.
func (c *Core) announce() {
	follows := c.role != Leader && c.hasRecentLeader()
	if len(c.lineage.former) == 0 || follows || c.now < c.lineage.nextAnnounceAt {
		return
	}
	c.lineage.nextAnnounceAt = c.now + c.cfg.Election/announcementsPerElectionTimeout
	for _, peer := range c.cfg.Peers {
		if c.role == Leader && c.hasMemberAddress(peer.Address) {
			continue
		}
		c.sendHello(peer.Address)
	}
}

func (c *Core) hasMemberAddress(address string) bool {
	return slices.ContainsFunc(c.Members(), func(m *lilacv1.RaftMember) bool { return m.GetAddress() == address })
}

// handleOtherGroup processes the information about other groups in a message. It returns true if
// the message needs no further processing.
func (c *Core) handleOtherGroup(m *message) bool {
	if m.GetGroup() == "" || c.group == "" || m.GetGroup() == c.group {
		return false
	}
	if slices.Contains(m.GetFormer(), c.group) {
		c.markReplaced(m.GetGroup())
		return true
	}
	if slices.Contains(c.lineage.former, m.GetGroup()) {
		c.IgnoredMessages++
		if m.GetKind() != kindHelloReply {
			c.sendHello(m.GetFromAddress())
		}
		return true
	}
	c.recordRival(m)
	return false
}

// markReplaced ends this process's membership in its group. The caller persists this
// before it stops.
func (c *Core) markReplaced(by string) {
	c.lineage.replacedBy, c.hardDirty = by, true
	c.becomeFollower(c.term, "", "")
	c.emit(Replaced{By: by})
}

// recordRival records a group that was recovered from the same original group as this
// one.
//
// Two survivors of one group may be recovered separately; both groups would grant
// claims and assign revision numbers independently. Both announce themselves to all
// their peers, and neither accepts changes while it hears from the other.
func (c *Core) recordRival(m *message) {
	shared := slices.ContainsFunc(m.GetFormer(), func(group string) bool { return slices.Contains(c.lineage.former, group) })
	if !shared {
		return
	}
	if c.rivalGroup() != m.GetGroup() {
		c.emit(RivalGroupDetected{Group: m.GetGroup(), Address: m.GetFromAddress()})
	}
	c.lineage.rival, c.lineage.rivalHeardAt = m.GetGroup(), c.now
}

// rivalGroup returns the rival group heard from recently, or "".
func (c *Core) rivalGroup() string {
	if c.lineage.rival == "" || c.now-c.lineage.rivalHeardAt > rivalExpiryElectionTimeouts*c.cfg.Election {
		return ""
	}
	return c.lineage.rival
}

func replacedError(path, group, by string) error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, fmt.Sprintf(
		"data folder %s belongs to group %s, which was recovered as group %s after its majority was lost; move the folder away and start with an empty one, so that this process joins that group", path, group, by))
}
