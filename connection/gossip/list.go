package gossip

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/jsonsplit"
	"github.com/lilacbridge/lilacbridge/process/member"
)

const (
	// listInterval is the shortest time between two reads of the platform's list.
	listInterval = time.Second
	// listRate bounds the average traffic of reading the list, in bytes per second: a
	// long list is read less often, unless the platform answers "not modified".
	listRate = 4 << 10
	// listTimeout bounds one read.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the size of the list.
	maxListBytes = 8 << 20
	// maxListHeaderBytes bounds the header of the reply.
	maxListHeaderBytes = 64 << 10
)

// listedInstance is one item of the platform's list.
type listedInstance struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
	Role       string `json:"role"`
	State      string `json:"state"`
}

const (
	roleEntry    = "entry"
	roleServer   = "server"
	stateLeaving = "leaving"
)

// pollList reads the list periodically until ctx ends. A failed read changes nothing,
// since the list is only a hint.
func (g *Gossip) pollList(ctx context.Context) {
	dialer := &net.Dialer{Timeout: listTimeout}
	client := &http.Client{
		Timeout:   listTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxListHeaderBytes},
	}
	tag := ""
	for {
		list, newTag, size, err := g.readList(ctx, client, tag)
		if err == nil && list != nil {
			tag = newTag
			g.mu.Lock()
			g.stats.ListRead = time.Now()
			g.step(platformEvent(list))
			g.mu.Unlock()
		}
		if err != nil && ctx.Err() == nil {
			g.options.Logger.Debug("failed to read the platform's list", "error", err)
		}
		wait := max(listInterval, time.Duration(size)*time.Second/listRate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// readList reads the list. It returns a nil list without an error if the list has not
// changed since the version with the given entity tag. size is in bytes.
func (g *Gossip) readList(ctx context.Context, client *http.Client, tag string) (list []listedInstance, newTag string, size int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.options.InstanceList, nil)
	if err != nil {
		return nil, "", 0, err
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, tag, 0, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", 0, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "reading the platform's list failed with status %s; check instance_list", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, "", len(data), err
	}
	if len(data) > maxListBytes {
		return nil, "", len(data), fault.Newf(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the platform's list exceeds %d bytes; check instance_list", maxListBytes)
	}
	list, err = decodeList(data)
	if err != nil {
		return nil, "", len(data), fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "cannot decode the platform's list; check instance_list")
	}
	return list, resp.Header.Get("ETag"), len(data), nil
}

const (
	// maxItemDepth bounds the nesting of an item, maxNameBytes its name.
	maxItemDepth = 64
	maxNameBytes = 128
)

// decodeList returns the items that name an instance; others must not hide them.
func decodeList(data []byte) ([]listedInstance, error) {
	list := []listedInstance{}
	text := jsonsplit.New(data)
	err := text.Object(func(key string) error {
		raw, _, err := text.Value()
		if err != nil || key != "instances" || string(bytes.TrimSpace(raw)) == "null" {
			return err
		}
		return jsonsplit.New(raw).Array(func(item []byte, depth int) {
			var listed listedInstance
			if depth <= maxItemDepth && json.Unmarshal(item, &listed) == nil && listed.usable() {
				list = append(list, listed)
			}
		})
	})
	if err == nil && !text.Ended() {
		err = errors.New("the list goes on after its end")
	}
	return list, err
}

// usable reports whether the item names an instance, and an address where an entry can be called.
func (i *listedInstance) usable() bool {
	if i.Name == "" || len(i.Name) > maxNameBytes {
		return false
	}
	address, err := netip.ParseAddrPort(i.Address)
	return i.Role != roleEntry || err == nil && address.Port() != 0
}

func platformEvent(list []listedInstance) member.PlatformList {
	var event member.PlatformList
	for _, item := range list {
		leaving := item.State == stateLeaving
		switch item.Role {
		case roleEntry:
			event.Entries = append(event.Entries, member.Peer{Name: item.Name, Address: item.Address, DataCenter: item.DataCenter})
			if leaving {
				event.Leaving = append(event.Leaving, item.Name)
			}
		case roleServer:
			event.Servers = append(event.Servers, member.ListedServer{Name: item.Name, Leaving: leaving})
		}
	}
	return event
}
