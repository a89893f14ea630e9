package entry

import (
	"context"
	"sync"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/operator"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/relay"
)

// dialer caches one link client per address.
type dialer struct {
	id link.Identity

	mu sync.Mutex
	// clients is guarded by mu.
	clients map[string]*link.Client
}

func newDialer(id link.Identity) *dialer {
	return &dialer{id: id, clients: make(map[string]*link.Client)}
}

func (d *dialer) dial(address string) link.Caller { return d.client(address) }

func (d *dialer) client(address string) *link.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.clients[address]
	if !ok {
		client = link.NewClient(address, d.id)
		d.clients[address] = client
	}
	return client
}

func (d *dialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, client := range d.clients {
		client.Close()
	}
}

// peers returns the processes as peers to which operators' queries are sent.
func (d *dialer) peers(list []settings.Peer) []operator.Peer {
	peers := make([]operator.Peer, 0, len(list))
	for _, p := range list {
		peers = append(peers, operator.Peer{Name: p.Name, DataCenter: p.DataCenter, Caller: d.dial(p.Address.Value)})
	}
	return peers
}

// query returns this instance's part of an operator's SHOW statement.
func (d *Daemon) query(ctx context.Context, request *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
	newest, age := d.watcher.LatestKnown()
	reply := &lilacv1.QueryReply{
		Instance: d.settings.Name, DataCenter: d.settings.DataCenter, Revision: d.watcher.Revision(),
		Newest: newest, AgeMs: uint32(age.Milliseconds()),
	}
	switch request.GetSubject() {
	case "requests":
		reply.Columns, reply.Rows = d.entry.relay.Requests()
	case "servers":
		stats, err := d.entry.relay.Stats(ctx)
		if err != nil {
			return nil, err
		}
		reply.Columns, reply.Rows = d.entry.relay.Servers(stats.Paces)
	case "instances":
		reply.Columns, reply.Rows = d.instanceRow()
	case "shares":
		rows, err := d.entry.relay.Shares(ctx)
		if err != nil {
			return nil, err
		}
		reply.Columns, reply.Rows = relay.ShareColumns, rows
	default:
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "unknown subject %q: instances answer requests, servers, instances or shares", request.GetSubject())
	}
	return reply, operator.FilterReply(request, d.settings.Name, reply)
}
