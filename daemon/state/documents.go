package state

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/packed"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// documentTimeout bounds one write or read of the document. Operators' clients try
// another process after one second without an answer, so this process has to answer
// earlier.
const documentTimeout = 900 * time.Millisecond

// documentWriter is recorded in the audit trail as the author of documents, because the
// platform's interface does not identify operators.
const documentWriter = "gateway-operator"

// documents implements gateway.Documents on the replicated log.
type documents struct {
	service *Service
	decode  func([]byte) (*routing.Document, error)
	logger  hclog.Logger
	name    string
	// control is this process's address for operators; all state processes use the
	// same port.
	control netip.AddrPort

	// mu guards unpacked and its text, which all readers share. It is held while a text is unpacked.
	mu       sync.Mutex
	unpacked *lilacv1.Document
	text     []byte
}

var _ gateway.DocumentStore = (*documents)(nil)

// Put implements gateway.DocumentStore.
func (d *documents) Put(ctx context.Context, content []byte) error {
	decoded, err := d.decode(content)
	if err == nil {
		err = decoded.Validate()
	}
	if err != nil {
		d.logger.Warn("document refused", "error", err)
		return err
	}
	proposal, err := d.proposal(decoded.Version, content)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	reply, err := d.service.propose(ctx, link.Peer{}, proposal)
	if err != nil {
		d.logger.Info("document not accepted", "version", decoded.Version, "error", err)
		return d.redirectToLeader(err)
	}
	d.logger.Info("document accepted", "version", decoded.Version, "revision", reply.GetRevision(), "repeated", reply.GetRepeatedCommand(), "bytes", len(content))
	return nil
}

// proposal derives the command id from the content, so that a repeated document creates
// no second revision.
func (d *documents) proposal(version uint64, content []byte) (*lilacv1.Proposal, error) {
	document, err := packed.Document(version, content)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(content)
	return &lilacv1.Proposal{
		CommandId: fmt.Sprintf("document/%d/%s", version, hex.EncodeToString(sum[:8])),
		Who:       documentWriter, Instance: d.name, Statement: fmt.Sprintf("PUT DOCUMENT %d", version),
		Changes:        []*lilacv1.Change{{Op: &lilacv1.Change_SetDocument{SetDocument: document}}},
		ProposedUnixMs: d.service.now().UnixMilli(),
	}, nil
}

// Get implements gateway.DocumentStore.
func (d *documents) Get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	if err := d.service.log.Barrier(ctx); err != nil {
		return nil, d.redirectToLeader(err)
	}
	document := d.service.machine.Document()
	if document == nil {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "no document has been accepted yet; put one first")
	}
	return d.textOf(document)
}

// textOf returns the text of a document. Readers that don't read on would each hold a copy.
func (d *documents) textOf(document *lilacv1.Document) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unpacked == document {
		return d.text, nil
	}
	text, err := packed.Text(document)
	if err == nil {
		d.unpacked, d.text = document, text
	}
	return text, err
}

// redirectToLeader turns a NOT_LEADER error into a redirect to the leader's address for
// operators if the leader is known; it returns other errors unchanged.
func (d *documents) redirectToLeader(err error) error {
	leader, parseErr := netip.ParseAddrPort(fault.LeaderOf(err))
	if !fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER) || parseErr != nil {
		return err
	}
	return &gateway.NotLeaderError{Address: netip.AddrPortFrom(leader.Addr(), d.control.Port()).String()}
}
