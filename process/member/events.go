package member

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// PlatformList carries a new copy of the platform's list.
type PlatformList struct {
	Entries []Peer
	// Leaving names the entry instances that the platform is about to stop.
	Leaving []string
	Servers []ListedServer
}

// DigestReceived carries a digest that the peer From sent. The caller answers it
// with Core.Reply.
type DigestReceived struct {
	From   string
	Digest *lilacv1.Digest
}

// ReplyReceived carries the reply to an Exchange.
type ReplyReceived struct {
	Peer   string
	Digest *lilacv1.Digest
}

// ExchangeFailed reports that an Exchange got no reply.
type ExchangeFailed struct{ Peer string }

// Tick advances time; the caller sends one every TickInterval. Own is this
// instance's digest if it is newer than the last one, else nil. RequestedAt is when
// it was requested; zero means now.
type Tick struct {
	Own         *lilacv1.Digest
	RequestedAt time.Time
}

// TickInterval is the time between two Ticks.
const TickInterval = 100 * time.Millisecond

func (PlatformList) event()   {}
func (DigestReceived) event() {}
func (ReplyReceived) event()  {}
func (ExchangeFailed) event() {}
func (Tick) event()           {}

// Action is an output of Core.Step that the caller must perform.
type Action interface{ action() }

// Exchange sends the digest to the peer. The caller reports ReplyReceived or
// ExchangeFailed.
type Exchange struct {
	Peer   Peer
	Digest *lilacv1.Digest
}

// PolicyDigest passes a digest to the policy: one of a peer, or the combined one of
// Others. Its cutoffs are valid for BindsMs after At.
type PolicyDigest struct {
	Digest *lilacv1.Digest
	At     time.Time
}

// DigestExpired tells the policy to drop the digest of an instance.
type DigestExpired struct{ Instance string }

// ServerState reports that a backend server has begun or ceased leaving, according
// to the platform's list or to a peer.
type ServerState struct {
	Name    string
	Leaving bool
}

// LivePeers lists the live entry instances of all data centres, without this one.
type LivePeers struct{ Peers []Peer }

func (Exchange) action()      {}
func (PolicyDigest) action()  {}
func (DigestExpired) action() {}
func (ServerState) action()   {}
func (LivePeers) action()     {}
