package state

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/replicalink"
	"github.com/lilacbridge/lilacbridge/process/replica"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// replicaLog implements RunningLog on a replica node.
type replicaLog struct {
	node      *replica.Node
	transport *replicalink.Transport
	name      string
	dc        string
}

// OpenReplica is an OpenLog that opens the log in the data folder of the settings.
func OpenReplica(s *settings.State, machine *Machine, mux *link.Mux, id link.Identity, logger hclog.Logger, registry prometheus.Registerer) (RunningLog, error) {
	folder, err := wal.OSFolder(s.Data)
	if err != nil {
		return nil, err
	}
	return openReplica(folder, s, machine, mux, id, logger, registry)
}

// openReplica opens the log in the folder, which takes the place of the one in the settings.
func openReplica(folder wal.Folder, s *settings.State, machine *Machine, mux *link.Mux, id link.Identity, logger hclog.Logger, registry prometheus.Registerer) (RunningLog, error) {
	peers := replicaPeers(s.Peers)
	transport := replicalink.New(func(address string) link.Caller { return link.NewClient(address, id) }, s.Election.Duration)
	node, err := replica.Open(replica.Options{
		Name: s.Name, Address: s.AdvertisedLink().Value, DataCenter: s.DataCenter,
		Peers: peers, Bootstrap: s.Bootstrap, AutoMembers: s.AutoMembers,
		Heartbeat: s.Heartbeat.Duration, Election: s.Election.Duration,
		Folder: folder, Machine: machine, Transport: transport,
		Logger: logger, Registerer: registry,
	})
	if err != nil {
		transport.Close()
		return nil, err
	}
	replicalink.Handle(mux, node)
	transport.Connect(otherVoters(node.Status().Members, s.AdvertisedLink().Value))
	return &replicaLog{node: node, transport: transport, name: s.Name, dc: s.DataCenter}, nil
}

// otherVoters returns the addresses of all voters except own.
func otherVoters(members []*lilacv1.RaftMember, own string) []string {
	var addresses []string
	for _, member := range members {
		if member.GetVoter() && member.GetAddress() != own {
			addresses = append(addresses, member.GetAddress())
		}
	}
	return addresses
}

// Propose implements Log.
func (l *replicaLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return l.node.Propose(ctx, command)
}

// SetPeers implements RunningLog.
func (l *replicaLog) SetPeers(peers []settings.Peer) { l.node.SetPeers(replicaPeers(peers)) }

func replicaPeers(list []settings.Peer) []replica.Peer {
	var peers []replica.Peer
	for _, peer := range list {
		peers = append(peers, replica.Peer{Name: peer.Name, Address: peer.Address.Value})
	}
	return peers
}

// Barrier implements Log. Reads after it are linearizable.
func (l *replicaLog) Barrier(ctx context.Context) error { return l.node.Barrier(ctx) }

// Status implements Log.
func (l *replicaLog) Status() LogStatus {
	s := l.node.Status()
	return LogStatus{
		IsLeader:  s.Role == replica.Leader,
		Staleness: s.Staleness,
		Members:   stateMembers(s.Members),
		Status: &lilacv1.StateStatus{
			Process: l.name, DataCenter: l.dc, Role: s.Role.String(), Term: s.Term, Leader: s.LeaderAddress,
			CommitIndex: s.CommitIndex, AppliedIndex: s.AppliedIndex,
			Voters: s.Voters(), Learners: s.Learners(), DiskFull: s.DiskFull,
			Group: s.Group, Recoveries: uint32(s.Recoveries), Rival: s.RivalGroup,
		},
	}
}

// Run implements RunningLog. The node runs since it was opened; Run only waits for it.
func (l *replicaLog) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-l.node.Done():
		return l.node.Err()
	}
}

// Close implements RunningLog.
func (l *replicaLog) Close() error {
	err := l.node.Close()
	l.transport.Close()
	return err
}

// stateMembers converts the members for entries.
func stateMembers(members []*lilacv1.RaftMember) []*lilacv1.StateMember {
	list := make([]*lilacv1.StateMember, 0, len(members))
	for _, member := range members {
		list = append(list, &lilacv1.StateMember{Name: member.GetName(), Address: member.GetAddress(), DataCenter: member.GetDataCenter()})
	}
	return list
}
