package member

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Event is something that happened; see the types below.
type Event interface{ event() }

// Platform brings a fresh copy of the platform's list.
type Platform struct {
	Entries []Peer
	// Leaving names entries that the platform is about to take away.
	Leaving []string
	Servers []Listed
}

// Received is a digest that the peer From sent; the shell answers with Reply.
type Received struct {
	From   string
	Digest *lilacv1.Digest
}

// Answered is the answer to an Exchange.
type Answered struct {
	Peer   string
	Digest *lilacv1.Digest
}

// Failed tells that an Exchange had no answer.
type Failed struct{ Peer string }

// Tick lets time pass; the shell sends one each TickInterval. Own is the own
// digest where it is newer than the last one given, else nil; it was asked for
// at Asked, or now if that is zero.
type Tick struct {
	Own   *lilacv1.Digest
	Asked time.Time
}

// TickInterval is how often the shell sends a Tick.
const TickInterval = 100 * time.Millisecond

func (Platform) event() {}
func (Received) event() {}
func (Answered) event() {}
func (Failed) event()   {}
func (Tick) event()     {}

// Action is something the shell must do; see the types below.
type Action interface{ action() }

// Exchange tells the shell to send the digest to the peer.
type Exchange struct {
	Peer   Peer
	Digest *lilacv1.Digest
}

// Digest is to be given to the policy: a peer's, or a combined one of Others.
// Its cutoffs bind for BindsMs from At on.
type Digest struct {
	Digest *lilacv1.Digest
	At     time.Time
}

// Gone tells that a peer whose digest was given is no longer heard.
type Gone struct{ Instance string }

// Server tells that a backend server began or ended to be leaving, by the list
// or by a peer's word.
type Server struct {
	Name    string
	Leaving bool
}

// Live names the entries of all data centres to be taken for alive.
type Live struct{ Peers []Peer }

func (Exchange) action() {}
func (Digest) action()   {}
func (Gone) action()     {}
func (Server) action()   {}
func (Live) action()     {}
