package config

import (
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// undo reverts one change.
type undo func()

// put sets items[name], or deletes it if item is nil, and returns the undo.
func put[K comparable, T any](items map[K]*T, name K, item *T) undo {
	old, existed := items[name]
	if item == nil {
		delete(items, name)
	} else {
		items[name] = item
	}
	return func() {
		if existed {
			items[name] = old
		} else {
			delete(items, name)
		}
	}
}

// apply applies a change that check has accepted, and returns its undos.
func (t *tables) apply(c *lilacv1.Change) []undo {
	switch op := c.GetOp().(type) {
	case *lilacv1.Change_SetClass:
		return t.putClass(op.SetClass.GetName(), op.SetClass)
	case *lilacv1.Change_DropClass:
		return t.putClass(op.DropClass, nil)
	case *lilacv1.Change_SetTeam:
		return []undo{put(t.teams, op.SetTeam.GetName(), op.SetTeam)}
	case *lilacv1.Change_DropTeam:
		return []undo{put(t.teams, op.DropTeam, nil)}
	case *lilacv1.Change_SetServer:
		return []undo{put(t.servers, op.SetServer.GetName(), op.SetServer)}
	case *lilacv1.Change_DropServer:
		return t.dropServer(op.DropServer)
	case *lilacv1.Change_DrainServer:
		return t.drainServer(op.DrainServer)
	case *lilacv1.Change_SetInstance:
		return []undo{t.setInstance(op.SetInstance)}
	case *lilacv1.Change_Convict:
		return []undo{t.convict(op.Convict)}
	case *lilacv1.Change_TryConviction:
		return []undo{t.claimTrial(op.TryConviction)}
	case *lilacv1.Change_LiftConviction:
		return []undo{put(t.convictions, op.LiftConviction, nil)}
	case *lilacv1.Change_SetDocument:
		return []undo{t.setDocument(op.SetDocument)}
	case *lilacv1.Change_OrderModel:
		return []undo{put(t.orders, keyOf(op.OrderModel), op.OrderModel)}
	case *lilacv1.Change_SetVersion:
		return []undo{put(t.versions, versionKeyOf(op.SetVersion), op.SetVersion)}
	case *lilacv1.Change_DropVersion:
		return []undo{put(t.versions, versionKeyOf(op.DropVersion), nil)}
	}
	return nil
}

// convict sets a conviction. Claimed trials of an earlier one with the same digest stay claimed.
func (t *tables) convict(conviction *lilacv1.Conviction) undo {
	if trials := t.convictions[conviction.GetDigest()].GetTrials(); trials > conviction.GetTrials() {
		conviction = proto.CloneOf(conviction)
		conviction.Trials = trials
	}
	return put(t.convictions, conviction.GetDigest(), conviction)
}

func (t *tables) claimTrial(trial *lilacv1.ConvictionTrial) undo {
	conviction := proto.CloneOf(t.convictions[trial.GetDigest()])
	conviction.Trials = trial.GetTrial()
	return put(t.convictions, trial.GetDigest(), conviction)
}

// setDocument replaces the document if the new version is higher.
//
// An older document that arrives late or again must not replace a newer one, which
// would bring removed routes back. Every process compares the versions in log order.
func (t *tables) setDocument(document *lilacv1.Document) undo {
	old := t.document
	if document.GetVersion() > old.GetVersion() {
		t.document = document
	}
	return func() { t.document = old }
}

func (t *tables) putClass(name string, class *lilacv1.Class) []undo {
	shares := t.shares
	t.shares += class.GetSharePermille() - t.classes[name].GetSharePermille()
	return []undo{put(t.classes, name, class), func() { t.shares = shares }}
}

// dropServer also drops the orders for the server, which could never be carried out.
func (t *tables) dropServer(name string) []undo {
	undos := []undo{put(t.servers, name, nil)}
	for key := range t.orders {
		if key.server == name {
			undos = append(undos, put(t.orders, key, nil))
		}
	}
	return undos
}

func (t *tables) drainServer(drain *lilacv1.ServerDrain) []undo {
	server := proto.CloneOf(t.servers[drain.GetServer()])
	if server == nil {
		return nil
	}
	server.Draining = drain.GetDraining()
	return []undo{put(t.servers, server.GetName(), server)}
}

// setInstance keeps only draining instances. Otherwise the names of replaced instances
// would accumulate.
func (t *tables) setInstance(state *lilacv1.InstanceState) undo {
	if !state.GetDraining() {
		return put(t.instances, state.GetName(), nil)
	}
	return put(t.instances, state.GetName(), state)
}

// dropExpired drops convictions that have expired at nowUnixMs, the time of the
// proposal.
func (t *tables) dropExpired(nowUnixMs int64) []undo {
	var undos []undo
	for digest, conviction := range t.convictions {
		if conviction.GetExpiresUnixMs() <= nowUnixMs {
			undos = append(undos, put(t.convictions, digest, nil))
		}
	}
	return undos
}

func rollBack(undos []undo) {
	for i := len(undos) - 1; i >= 0; i-- {
		undos[i]()
	}
}
