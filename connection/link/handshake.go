package link

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

const (
	handshakeTimeout = 3 * time.Second
	nonceSize        = 32
	// dialerRole and acceptorRole keep a proof from being reflected to its sender.
	dialerRole   = "dialer"
	acceptorRole = "acceptor"
)

// Identity is what a process shows of itself, with the keys that it shares with
// all others.
type Identity struct {
	Peer Peer
	// Keys returns the keys in force; it is asked at each handshake.
	Keys func() secret.Keys
	// Traffic counts the bytes of all links of the process; may be nil.
	Traffic *Traffic
}

// proving returns the key of which the proof of peer is made, and nil if there is none.
func proving(keys secret.Keys, signature []byte, role string, peer, own *lilacv1.LinkHello) []byte {
	for _, key := range keys {
		if hmac.Equal(signature, sign(key, role, peer, own)) {
			return key
		}
	}
	return nil
}

// unbufferedReader reads byte by byte, so that no byte of the yamux session is
// swallowed by a buffer of the handshake.
type unbufferedReader struct{ io.Reader }

func (r unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

func readFrame(r protodelim.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(r, m)
}

func writeFrame(w io.Writer, m proto.Message) error { return writeFrames(w, m) }

// writeFrames writes all frames at once, so that they share a packet.
func writeFrames(w io.Writer, frames ...proto.Message) error {
	var buffer bytes.Buffer
	for _, m := range frames {
		buffer.Grow(proto.Size(m) + binary.MaxVarintLen64)
		if _, err := protodelim.MarshalTo(&buffer, m); err != nil {
			return err
		}
	}
	_, err := w.Write(buffer.Bytes())
	return err
}

func messageFrame(payload []byte) *lilacv1.LinkFrame {
	return &lilacv1.LinkFrame{Body: &lilacv1.LinkFrame_Message{Message: payload}}
}

func sign(key []byte, role string, own, other *lilacv1.LinkHello) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(other.GetNonce())
	mac.Write(own.GetNonce())
	mac.Write([]byte(own.GetProcess() + "\x00" + own.GetDataCenter()))
	return mac.Sum(nil)
}

// handshake proves a shared key to the other end and checks its proof. It
// returns the peer and the key that the peer proved.
//
// It guards against a stranger on the network who speaks as one of our
// processes: it shows as ErrorKind_ERROR_KIND_UNAUTHENTICATED on both sides.
// It holds because each side signs the other's fresh nonce with its own role,
// so an old or reflected proof does not pass.
func handshake(conn net.Conn, id Identity, role, otherRole string) (Peer, []byte, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Peer{}, nil, err
	}
	keys := id.Keys()
	own := &lilacv1.LinkHello{Process: id.Peer.Process, DataCenter: id.Peer.DataCenter, Nonce: make([]byte, nonceSize)}
	if _, err := rand.Read(own.Nonce); err != nil {
		return Peer{}, nil, err
	}
	if err := writeFrame(conn, own); err != nil {
		return Peer{}, nil, err
	}
	r := unbufferedReader{conn}
	other := &lilacv1.LinkHello{}
	if err := readFrame(r, other); err != nil {
		return Peer{}, nil, err
	}
	if err := writeFrame(conn, &lilacv1.LinkProof{Signature: sign(keys[0], role, own, other)}); err != nil {
		return Peer{}, nil, err
	}
	proof := &lilacv1.LinkProof{}
	if err := readFrame(r, proof); err != nil {
		return Peer{}, nil, err
	}
	key := proving(keys, proof.GetSignature(), otherRole, other, own)
	if len(other.GetNonce()) != nonceSize || key == nil {
		return Peer{}, nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "the other process proves none of the keys known here; give all processes the same key file, and reload it by SIGHUP")
	}
	return Peer{Process: other.GetProcess(), DataCenter: other.GetDataCenter()}, key, conn.SetDeadline(time.Time{})
}
