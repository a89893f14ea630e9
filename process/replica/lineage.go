package replica

import (
	"fmt"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// rivalElections is the silence, in election timeouts, after which a rival
// group counts as gone.
const rivalExpiryElectionTimeouts = 4

// announcements is how often a recovered group is announced in the shortest
// wait before a candidacy.
const announcementsPerElectionTimeout = 4

// lineage is what a process knows of groups related to its own by a recovery
// from a lost majority.
type lineage struct {
	// former are the groups that the own one replaced, oldest first.
	former []string
	// replacedBy is the recovered group that replaced the own one; set once.
	replacedBy     string
	nextAnnounceAt time.Duration
	rival          string
	rivalHeardAt   time.Duration
}

// announce tells the processes of the settings which groups are replaced, but
// for those that the leader's heartbeats tell.
//
// It guards against voters taken for lost that come back with their old disks,
// find a quorum of the old group among themselves, and accept changes and claims
// beside the recovered group. It holds, as far as messages pass, because they
// come four times in the shortest wait before a first candidacy, and whoever
// belongs to a replaced group gives up for good.
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

// otherGroup handles what a message tells of groups beside the own one; true if
// nothing else is to be done with it.
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

// replaced ends this process's part in its group; the shell syncs that first.
func (c *Core) markReplaced(by string) {
	c.lineage.replacedBy, c.hardDirty = by, true
	c.becomeFollower(c.term, "", "")
	c.emit(Replaced{By: by})
}

// noteRival remembers a group that was recovered from a group that the own one
// was recovered from as well.
//
// It guards against two survivors of one group that are recovered separately:
// both would grant claims and give numbers to revisions without knowing of each
// other. It holds, as far as messages pass, because both announce themselves to
// all processes of their settings, and neither takes a change while it hears the other.
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

// rival returns the rival group that was heard lately, if any.
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
