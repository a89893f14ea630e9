package member

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Event is something that happened; see the types below.
type Event interface{ event() }

// Platform brings a fresh copy of the platform's list.
type PlatformList struct {
	Entries []Peer
	// Leaving names entries that the platform is about to take away.
	Leaving []string
	Servers []ListedServer
}

// Received is a digest that the peer From sent; the shell answers with Reply.
type DigestReceived struct {
	From   string
	Digest *lilacv1.Digest
}

// Answered is the answer to an Exchange.
type ReplyReceived struct {
	Peer   string
	Digest *lilacv1.Digest
}

// Failed tells that an Exchange had no answer.
type ExchangeFailed struct{ Peer string }

// Tick lets time pass; the shell sends one each TickInterval. Own is the own
// digest where it is newer than the last one given, else nil; it was asked for
// at Asked, or now if that is zero.
type Tick struct {
	Own         *lilacv1.Digest
	RequestedAt time.Time
}

// TickInterval is how often the shell sends a Tick.
const TickInterval = 100 * time.Millisecond

func (PlatformList) event()   {}
func (DigestReceived) event() {}
func (ReplyReceived) event()  {}
func (ExchangeFailed) event() {}
func (Tick) event()           {}

// Action is something the shell must do; see the types below.
type Action interface{ action() }

// Exchange tells the shell to send the digest to the peer.
type Exchange struct {
	Peer   Peer
	Digest *lilacv1.Digest
}

// Digest is to be given to the policy: a peer's, or a combined one of Others.
// Its cutoffs bind for BindsMs from At on.
type PolicyDigest struct {
	Digest *lilacv1.Digest
	At     time.Time
}

// Gone tells that a peer whose digest was given is no longer heard.
type DigestExpired struct{ Instance string }

// Server tells that a backend server began or ended to be leaving, by the list
// or by a peer's word.
type ServerState struct {
	Name    string
	Leaving bool
}

// Live names the entries of all data centres to be taken for alive.
type LivePeers struct{ Peers []Peer }

func (Exchange) action()      {}
func (PolicyDigest) action()  {}
func (DigestExpired) action() {}
func (ServerState) action()   {}
func (LivePeers) action()     {}
