package link

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
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
	// maxHandshakeFrame bounds the messages of a peer that has not proved a key, bytes.
	maxHandshakeFrame = 4 << 10
	// dialerRole and acceptorRole are signed with each proof, so that a proof that is
	// reflected to its sender is rejected.
	dialerRole   = "dialer"
	acceptorRole = "acceptor"
)

// Identity is the name of a process and the keys that it shares with all others.
type Identity struct {
	Peer Peer
	// Keys returns the accepted keys, the one to sign with first. It is called at each
	// handshake.
	Keys func() secret.Keys
	// Traffic counts the bytes of all links of the process; may be nil.
	Traffic *Traffic
}

// provenKey returns the key that the peer signed its proof with, or nil if it is not one of
// keys.
func provenKey(keys secret.Keys, signature []byte, role string, peer, own *lilacv1.LinkHello) []byte {
	for _, key := range keys {
		if hmac.Equal(signature, sign(key, role, peer, own)) {
			return key
		}
	}
	return nil
}

// unbufferedReader reads byte by byte, so that the handshake does not consume bytes of the
// yamux session that follows.
type unbufferedReader struct{ io.Reader }

func (r unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// readFrame reads one message. A stream ends regularly only with its closing status, so the end
// of its bytes is io.ErrUnexpectedEOF.
func readFrame(r protodelim.Reader, m proto.Message) error { return readFrameUpTo(MaxFrame, r, m) }

// readFrameUpTo reads one message of at most so many bytes.
func readFrameUpTo(size int64, r protodelim.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: size}.UnmarshalFrom(r, m)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func writeFrame(w io.Writer, m proto.Message) error { return writeFrames(w, m) }

// writeFrames writes all frames with one Write, so that they share a packet.
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

// handshake authenticates both ends of conn by a shared key. It returns the peer and the
// key that the peer proved.
//
// Each side signs the fresh nonce of the other together with its own role, so that a
// replayed or reflected proof is rejected. A side that receives no valid proof returns an
// UNAUTHENTICATED error.
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
	if err := readFrameUpTo(maxHandshakeFrame, r, other); err != nil {
		return Peer{}, nil, err
	}
	if err := writeFrame(conn, &lilacv1.LinkProof{Signature: sign(keys[0], role, own, other)}); err != nil {
		return Peer{}, nil, err
	}
	proof := &lilacv1.LinkProof{}
	if err := readFrameUpTo(maxHandshakeFrame, r, proof); err != nil {
		return Peer{}, nil, err
	}
	key := provenKey(keys, proof.GetSignature(), otherRole, other, own)
	if len(other.GetNonce()) != nonceSize || key == nil {
		return Peer{}, nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "the other process proved none of the keys of this process; give all processes the same key file, and reload it with SIGHUP")
	}
	return Peer{Process: other.GetProcess(), DataCenter: other.GetDataCenter()}, key, conn.SetDeadline(time.Time{})
}
